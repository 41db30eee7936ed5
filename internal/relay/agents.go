package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// minAssignInterval is the least time between two assignments to an agent that differ only
// in who else there is: while replicas come and go all the time, an agent needs no word
// of each, and its box's link is small.
const minAssignInterval = 400 * time.Millisecond

// serveSubscribe tells an agent what concerns it, now and at each change.
func (g *Relay) serveSubscribe(ctx context.Context, s *wire.Stream, m *peers.Subscribe) {
	const look = 500 * time.Millisecond
	telemetry.Log("agent_gained", "addr", m.Addr, "service", m.Service)
	defer telemetry.Log("agent_lost", "addr", m.Addr)
	began := time.Now()
	peers.LearnQuarantine(&g.suspects, began, began, m.Quarantined, m.Addr)
	var sent peers.Assignment
	var notBefore time.Time
	for {
		c, changed := g.catalog.Watch()
		now := time.Now()
		a := g.assignment(c, s.Conn().Remote().Hall, m, now)
		if a != nil && !a.SameForAgent(&sent) && (a.UrgentChange(&sent) || !now.Before(notBefore)) {
			a.At = g.gossip.PositionFor(s.Conn(), a.At)
			if s.Send(ctx, a) != nil {
				return
			}
			sent, notBefore = *a, now.Add(minAssignInterval)
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

// assignment works out what concerns an agent of a hall, or returns nil where that is not
// known.
func (g *Relay) assignment(c *catalog.Catalog, hall string, m *peers.Subscribe, now time.Time) *peers.Assignment {
	a := peers.Assign(c, m.Service, now)
	if a == nil {
		return nil
	}
	agents := 0
	for _, r := range a.Replicas {
		if r.Hall == hall {
			agents++
		}
	}
	a.Quarantined = g.suspects.Quarantined(now)
	a.Gateways, a.ReportTargets = peers.GatewaysFor(m.Addr, hall, agents, g.gossip.Live())
	return a
}

// slowLinkDelay is how long a ping of an agent takes when what is sent to its box is long
// on its way. While weights move it takes less.
const slowLinkDelay = 400 * time.Millisecond

// serveStatus takes an agent's reports of its replica, again and again.
func (g *Relay) serveStatus(ctx context.Context, s *wire.Stream, m *peers.Status) {
	var old peers.Status
	for {
		m.SlowLink = m.SlowLink || s.Conn().RTT(time.Now()) >= slowLinkDelay
		if m.Reached {
			now := time.Now()
			r := route.AgentReport{
				Version: m.Version, Changing: m.Changing, ChangeAt: changeAt(m.ChangeIn, now),
				Queued: m.Queued, Running: m.Running, Slowdown: m.Pace, ReceivingWeights: m.MissingChunks > 0, SlowLink: m.SlowLink, ReceivedAt: now,
			}
			g.table.UpdateReport(m.Addr, r)
			if m.Forward {
				g.reports.add(m.Addr, r, true)
			}
		}
		if m.Version != old.Version || m.Changing != old.Changing || m.Reached != old.Reached || m.SlowLink != old.SlowLink {
			telemetry.Log("replica_told", "addr", m.Addr, "weights", m.Version, "changing", m.Changing, "reached", m.Reached, "slow_link", m.SlowLink, "missing", m.MissingChunks)
		}
		old = *m
		next, err := s.Recv(ctx)
		var ok bool
		if m, ok = next.(*peers.Status); err != nil || !ok {
			return
		}
	}
}

// changeAt is when a replica will change its version, by a report that came at now.
func changeAt(in time.Duration, now time.Time) time.Time {
	if in <= 0 {
		return time.Time{}
	}
	return now.Add(in)
}
