package relay

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// Waits of passing reports on.
const (
	passHere   = 150 * time.Millisecond // Between two messages to a gateway of the own hall that tell of loads,
	passAfar   = time.Second            // and to one of another hall.
	passUrgent = 20 * time.Millisecond  // A change of what a replica takes waits no longer; others of that moment go along.
	passLook   = 500 * time.Millisecond // Between two looks at who is to be told.
	passKeep   = 2 * time.Second        // A report that is older is no longer passed on.
	passRetry  = 300 * time.Millisecond // After a gateway was lost.
)

// collected is what agents have told this gateway, to be passed on to gateways that
// they do not tell. The zero value is ready for use.
type collected struct {
	mu      sync.Mutex
	last    uint64 // Numbers what was held, in its order.
	reports map[string]heldReport
	urgent  chan struct{} // Closed and replaced when something came that cannot wait.
}

type heldReport struct {
	route.AgentReport
	number uint64
	direct bool // Its agent told this gateway itself.
}

func (h *collected) init() {
	if h.reports == nil {
		h.reports = map[string]heldReport{}
		h.urgent = make(chan struct{})
	}
}

// hold takes a report of the replica at an address.
func (h *collected) hold(addr string, r route.AgentReport, direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	old, ok := h.reports[addr]
	if ok && r.At.Before(old.At) {
		return
	}
	h.last++
	h.reports[addr] = heldReport{AgentReport: r, number: h.last, direct: direct}
	if !ok || !old.OnlyLoadDiffers(&r) {
		close(h.urgent)
		h.urgent = make(chan struct{})
	}
}

// since returns the reports that came after a number, those from agents themselves
// alone if direct is set, and the number to go on from. Of reports that wait for their
// turn the newest one of each replica is left. The channel is closed when something
// comes that cannot wait.
func (h *collected) since(number uint64, direct bool, now time.Time) (out []peers.Report, last uint64, urgent <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	for addr, r := range h.reports {
		switch {
		case now.Sub(r.At) > passKeep:
			delete(h.reports, addr)
		case r.number > number && (r.direct || !direct):
			out = append(out, peers.Report{
				Addr: addr, Version: r.Version, Changing: r.Changing, ChangeIn: changeIn(r.ChangeAt, now),
				Queued: r.Queued, Running: r.Running, Pace: r.Pace, Moving: r.Moving, SlowLink: r.SlowLink, Age: now.Sub(r.At),
			})
		}
	}
	return out, h.last, h.urgent
}

// changeIn is how long it is until a replica changes its version, or 0 where that is
// not known.
func changeIn(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(time.Millisecond, at.Sub(now))
}

// any reports whether there is something to pass on.
func (h *collected) any(direct bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.reports {
		if r.direct || !direct {
			return true
		}
	}
	return false
}

// serveReports takes what another gateway passes on.
func (g *Relay) serveReports(ctx context.Context, s *wire.Stream, m *peers.Reports) {
	for {
		now := time.Now()
		for _, r := range m.Replicas {
			held := route.AgentReport{
				Version: r.Version, Changing: r.Changing, ChangeAt: changeAt(r.ChangeIn, now),
				Queued: r.Queued, Running: r.Running, Pace: r.Pace, Moving: r.Moving, SlowLink: r.SlowLink, At: now.Add(-r.Age),
			}
			g.table.Heard(r.Addr, held)
			if m.Onward {
				g.collected.hold(r.Addr, held, false)
			}
		}
		next, err := s.Recv(ctx)
		var ok bool
		if m, ok = next.(*peers.Reports); err != nil || !ok {
			return
		}
	}
}

// passReports keeps passing on what agents tell: to each gateway of the own hall, and
// to one of each other hall. It does nothing where agents tell all gateways themselves.
func (g *Relay) passReports(ctx context.Context) error {
	var here kernel.Each[peers.Member]
	var afar kernel.Each[string]
	defer here.Stop()
	defer afar.Stop()
	for ctx.Err() == nil {
		live := g.gossip.Live()
		here.Sync(ctx, g.passedHere(live), g.passTo)
		afar.Sync(ctx, g.passedAfar(live), g.passToHall)
		kernel.Sleep(ctx, passLook)
	}
	return nil
}

// passedHere returns the gateways of the own hall that are told.
func (g *Relay) passedHere(live []peers.Member) []peers.Member {
	if !g.collected.any(false) {
		return nil
	}
	var out []peers.Member
	for _, m := range live {
		if m.Hall == g.Settings.Hall && m.Addr != g.Settings.Listen {
			out = append(out, m)
		}
	}
	return out
}

// passedAfar returns the other halls that are told.
func (g *Relay) passedAfar(live []peers.Member) []string {
	if !g.collected.any(true) {
		return nil
	}
	halls := map[string]bool{}
	var out []string
	for _, m := range live {
		if m.Hall != g.Settings.Hall && !halls[m.Hall] {
			halls[m.Hall] = true
			out = append(out, m.Hall)
		}
	}
	return out
}

// passTo tells one gateway of the own hall until ctx ends.
func (g *Relay) passTo(ctx context.Context, m peers.Member) {
	for ctx.Err() == nil {
		g.pass(ctx, m, false)
		kernel.Sleep(ctx, passRetry)
	}
}

// passToHall tells one gateway of another hall until ctx ends: the first one of its
// order that can be reached.
func (g *Relay) passToHall(ctx context.Context, hall string) {
	for ctx.Err() == nil {
		for _, m := range peers.CollectOrder(hall, g.gossip.Live()) {
			if g.pass(ctx, m, true) {
				break // It was reached; the order is looked at anew.
			}
		}
		kernel.Sleep(ctx, passRetry)
	}
}

// pass opens a stream of reports to a gateway and keeps it until it is lost. It reports
// whether there was one.
func (g *Relay) pass(ctx context.Context, m peers.Member, afar bool) bool {
	c, err := g.pool.Get(ctx, m.Addr)
	if err != nil {
		return false
	}
	pause := passHere
	if afar {
		pause = passAfar
	}
	reports, number, urgent := g.collected.since(0, afar, time.Now())
	st, err := c.Open(ctx, &peers.Reports{Replicas: reports, Onward: afar})
	if err != nil {
		return false
	}
	defer st.Close()
	telemetry.Log("reports_passed", "peer", m.Name, "hall", m.Hall, "replicas", len(reports))
	for {
		if !passWait(ctx, c, pause, urgent) {
			return true
		}
		reports, number, urgent = g.collected.since(number, afar, time.Now())
		if len(reports) == 0 {
			continue
		}
		if st.Send(ctx, &peers.Reports{Replicas: reports, Onward: afar}) != nil {
			return true
		}
	}
}

// passWait waits for the next message's time, and reports whether there is to be one.
func passWait(ctx context.Context, c *wire.Conn, pause time.Duration, urgent <-chan struct{}) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-urgent:
		kernel.Sleep(ctx, passUrgent)
	case <-c.Done():
		return false
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
