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
	reportInterval          = 150 * time.Millisecond // Between two messages to a gateway of the own hall that tell of loads,
	otherHallReportInterval = time.Second            // and to one of another hall.
	urgentReportDelay       = 20 * time.Millisecond  // A change of what a replica takes waits no longer; others of that moment go along.
	forwardCheckInterval    = 500 * time.Millisecond // Between two looks at who is to be told.
	maxReportAge            = 2 * time.Second        // A report that is older is no longer passed on.
	forwardRetryDelay       = 300 * time.Millisecond // After a gateway was lost.
)

// reportBuffer is what agents have told this gateway, to be passed on to gateways that
// they do not tell. The zero value is ready for use.
type reportBuffer struct {
	mu      sync.Mutex
	lastSeq uint64 // Numbers what was held, in its order.
	reports map[string]bufferedReport
	urgent  chan struct{} // Closed and replaced when something came that cannot wait.
}

type bufferedReport struct {
	route.AgentReport
	seq    uint64
	direct bool // Its agent told this gateway itself.
}

func (h *reportBuffer) init() {
	if h.reports == nil {
		h.reports = map[string]bufferedReport{}
		h.urgent = make(chan struct{})
	}
}

// add takes a report of the replica at an address.
func (h *reportBuffer) add(addr string, r route.AgentReport, direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	old, ok := h.reports[addr]
	if ok && r.ReceivedAt.Before(old.ReceivedAt) {
		return
	}
	h.lastSeq++
	h.reports[addr] = bufferedReport{AgentReport: r, seq: h.lastSeq, direct: direct}
	if !ok || !old.EqualExceptLoad(&r) {
		close(h.urgent)
		h.urgent = make(chan struct{})
	}
}

// since returns the reports that came after a number, those from agents themselves
// alone if direct is set, and the number to go on from. Of reports that wait for their
// turn the newest one of each replica is left. The channel is closed when something
// comes that cannot wait.
func (h *reportBuffer) since(number uint64, direct bool, now time.Time) (out []peers.Report, last uint64, urgent <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	for addr, r := range h.reports {
		switch {
		case now.Sub(r.ReceivedAt) > maxReportAge:
			delete(h.reports, addr)
		case r.seq > number && (r.direct || !direct):
			out = append(out, peers.Report{
				Addr: addr, Version: r.Version, Changing: r.Changing, ChangeIn: changeIn(r.ChangeAt, now),
				Queued: r.Queued, Running: r.Running, Pace: r.Slowdown, FetchingWeights: r.ReceivingWeights, SlowLink: r.SlowLink, Age: now.Sub(r.ReceivedAt),
			})
		}
	}
	return out, h.lastSeq, h.urgent
}

// changeIn is how long it is until a replica changes its version, or 0 where that is
// not known.
func changeIn(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(time.Millisecond, at.Sub(now))
}

// has reports whether there is something to pass on.
func (h *reportBuffer) has(direct bool) bool {
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
				Queued: r.Queued, Running: r.Running, Slowdown: r.Pace, ReceivingWeights: r.FetchingWeights, SlowLink: r.SlowLink, ReceivedAt: now.Add(-r.Age),
			}
			g.table.UpdateReport(r.Addr, held)
			if m.ForwardInHall {
				g.reports.add(r.Addr, held, false)
			}
		}
		next, err := s.Recv(ctx)
		var ok bool
		if m, ok = next.(*peers.Reports); err != nil || !ok {
			return
		}
	}
}

// forwardReports keeps passing on what agents tell: to each gateway of the own hall, and
// to one of each other hall. It does nothing where agents tell all gateways themselves.
func (g *Relay) forwardReports(ctx context.Context) error {
	var here kernel.WorkerSet[peers.Member]
	var afar kernel.WorkerSet[string]
	defer here.Stop()
	defer afar.Stop()
	for ctx.Err() == nil {
		live := g.gossip.Live()
		here.Sync(ctx, g.hallReceivers(live), g.forwardTo)
		afar.Sync(ctx, g.otherHalls(live), g.forwardToHall)
		kernel.Sleep(ctx, forwardCheckInterval)
	}
	return nil
}

// hallReceivers returns the gateways of the own hall that are told.
func (g *Relay) hallReceivers(live []peers.Member) []peers.Member {
	if !g.reports.has(false) {
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

// otherHalls returns the other halls that are told.
func (g *Relay) otherHalls(live []peers.Member) []string {
	if !g.reports.has(true) {
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

// forwardTo tells one gateway of the own hall until ctx ends.
func (g *Relay) forwardTo(ctx context.Context, m peers.Member) {
	for ctx.Err() == nil {
		g.streamReports(ctx, m, false)
		kernel.Sleep(ctx, forwardRetryDelay)
	}
}

// forwardToHall tells one gateway of another hall until ctx ends: the first one of its
// order that can be reached.
func (g *Relay) forwardToHall(ctx context.Context, hall string) {
	for ctx.Err() == nil {
		for _, m := range peers.CollectorOrder(hall, g.gossip.Live()) {
			if g.streamReports(ctx, m, true) {
				break // It was reached; the order is looked at anew.
			}
		}
		kernel.Sleep(ctx, forwardRetryDelay)
	}
}

// streamReports opens a stream of reports to a gateway and keeps it until it is lost. It reports
// whether there was one.
func (g *Relay) streamReports(ctx context.Context, m peers.Member, afar bool) bool {
	c, err := g.pool.Get(ctx, m.Addr)
	if err != nil {
		return false
	}
	pause := reportInterval
	if afar {
		pause = otherHallReportInterval
	}
	reports, number, urgent := g.reports.since(0, afar, time.Now())
	st, err := c.Open(ctx, &peers.Reports{Replicas: reports, ForwardInHall: afar})
	if err != nil {
		return false
	}
	defer st.Close()
	telemetry.Log("reports_passed", "peer", m.Name, "hall", m.Hall, "replicas", len(reports))
	for {
		if !waitToSend(ctx, c, pause, urgent) {
			return true
		}
		reports, number, urgent = g.reports.since(number, afar, time.Now())
		if len(reports) == 0 {
			continue
		}
		if st.Send(ctx, &peers.Reports{Replicas: reports, ForwardInHall: afar}) != nil {
			return true
		}
	}
}

// waitToSend waits for the next message's time, and reports whether there is to be one.
func waitToSend(ctx context.Context, c *wire.Conn, pause time.Duration, urgent <-chan struct{}) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-urgent:
		kernel.Sleep(ctx, urgentReportDelay)
	case <-c.Done():
		return false
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
