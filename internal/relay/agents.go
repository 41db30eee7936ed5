package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// serveSubscribe tells an agent what concerns it, now and at each change.
func (g *Relay) serveSubscribe(ctx context.Context, s *wire.Stream, m *peers.Subscribe) {
	const look = 500 * time.Millisecond
	telemetry.Log("agent_gained", "addr", m.Addr, "service", m.Service)
	defer telemetry.Log("agent_lost", "addr", m.Addr)
	var sent peers.Assignment
	for {
		c, changed := g.holder.Watch()
		if a := peers.Assign(c, m.Service, g.gossip.Live(), time.Now()); a != nil && !a.Same(&sent) {
			if s.Send(ctx, a) != nil {
				return
			}
			sent = *a
		}
		t := time.NewTimer(look)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// slowDelay is how long a ping of an agent takes when what is sent to its box is long
// on its way. While weights move it takes up to 0.2 s.
const slowDelay = 400 * time.Millisecond

// serveStatus takes an agent's reports of its replica, again and again.
func (g *Relay) serveStatus(ctx context.Context, s *wire.Stream, m *peers.Status) {
	var old peers.Status
	for {
		m.SlowLink = m.SlowLink || s.Conn().Delay(time.Now()) >= slowDelay
		if m.Reached {
			g.table.Heard(m.Addr, route.AgentReport{
				Version: m.Version, Changing: m.Changing, ChangeAt: changeAt(m, time.Now()),
				Queued: m.Queued, Running: m.Running, Pace: m.Pace, SlowLink: m.SlowLink, At: time.Now(),
			})
		}
		if m.Version != old.Version || m.Changing != old.Changing || m.Reached != old.Reached || m.SlowLink != old.SlowLink {
			telemetry.Log("replica_told", "addr", m.Addr, "weights", m.Version, "changing", m.Changing, "reached", m.Reached, "slow_link", m.SlowLink, "missing", m.Missing)
		}
		old = *m
		next, err := s.Recv(ctx)
		var ok bool
		if m, ok = next.(*peers.Status); err != nil || !ok {
			return
		}
	}
}

func changeAt(m *peers.Status, now time.Time) time.Time {
	if m.ChangeIn <= 0 {
		return time.Time{}
	}
	return now.Add(m.ChangeIn)
}
