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

// Intervals and limits for forwarding reports.
const (
	reportInterval          = 150 * time.Millisecond // Interval between messages to a gateway in the same hall if only loads change.
	otherHallReportInterval = time.Second            // The same for a gateway in another hall.
	urgentReportDelay       = 20 * time.Millisecond  // Delay of an urgent change, to send those that occur together in one message.
	forwardCheckInterval    = 500 * time.Millisecond // Interval between updates of the set of receivers.
	maxReportAge            = 2 * time.Second        // Older reports are not forwarded.
	forwardRetryDelay       = 300 * time.Millisecond // Pause after the stream to a gateway was lost.
)

// reportBuffer holds reports from agents, to be forwarded to gateways that those agents do not
// report to. The zero value is ready for use.
type reportBuffer struct {
	mu      sync.Mutex
	lastSeq uint64 // Sequence number of the last report added.
	reports map[string]bufferedReport
	urgent  chan struct{} // Closed and replaced when an urgent report is added.
}

type bufferedReport struct {
	route.AgentReport
	seq    uint64
	direct bool // Received from the agent itself.
}

func (b *reportBuffer) init() {
	if b.reports == nil {
		b.reports = map[string]bufferedReport{}
		b.urgent = make(chan struct{})
	}
}

// add stores a report about the replica at an address, unless a newer one is stored. It is
// urgent if more than the load has changed.
func (b *reportBuffer) add(addr string, r route.AgentReport, direct bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	old, ok := b.reports[addr]
	if ok && r.ReceivedAt.Before(old.ReceivedAt) {
		return
	}
	b.lastSeq++
	b.reports[addr] = bufferedReport{AgentReport: r, seq: b.lastSeq, direct: direct}
	if !ok || !old.EqualExceptLoad(&r) {
		close(b.urgent)
		b.urgent = make(chan struct{})
	}
}

// since returns the reports added after seq, the sequence number to continue from, and a
// channel that is closed when an urgent report is added. If directOnly is set, it returns only
// reports received from agents themselves. There is at most one report for each replica, the
// newest.
func (b *reportBuffer) since(seq uint64, directOnly bool, now time.Time) (out []peers.Report, last uint64, urgent <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	for addr, r := range b.reports {
		switch {
		case now.Sub(r.ReceivedAt) > maxReportAge:
			delete(b.reports, addr)
		case r.seq > seq && (r.direct || !directOnly):
			out = append(out, peers.Report{
				Addr: addr, Version: r.Version, Changing: r.Changing, ChangeIn: changeIn(r.ChangeAt, now),
				Queued: r.Queued, Running: r.Running, Pace: r.Slowdown, FetchingWeights: r.ReceivingWeights, SlowLink: r.SlowLink, Age: now.Sub(r.ReceivedAt),
			})
		}
	}
	return out, b.lastSeq, b.urgent
}

// changeIn returns the time left until a replica changes its version, or 0 if that is not
// known.
func changeIn(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(time.Millisecond, at.Sub(now))
}

// has reports whether there are reports to forward. If directOnly is set, only reports
// received from agents themselves count.
func (b *reportBuffer) has(directOnly bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.reports {
		if r.direct || !directOnly {
			return true
		}
	}
	return false
}

// serveReports receives reports that another gateway forwards.
func (g *Relay) serveReports(ctx context.Context, s *wire.Stream, m *peers.Reports) {
	for {
		now := time.Now()
		for _, r := range m.Replicas {
			if !r.Valid() {
				telemetry.Log("report_ignored", "from", s.Conn().Remote().Box, "addr", r.Addr, "queued", r.Queued, "running", r.Running, "pace", r.Pace, "age", r.Age)
				continue
			}
			report := route.AgentReport{
				Version: r.Version, Changing: r.Changing, ChangeAt: changeAt(r.ChangeIn, now),
				Queued: r.Queued, Running: r.Running, Slowdown: r.Pace, ReceivingWeights: r.FetchingWeights, SlowLink: r.SlowLink, ReceivedAt: now.Add(-r.Age),
			}
			g.table.UpdateReport(r.Addr, report)
			if m.ForwardInHall {
				g.reports.add(r.Addr, report, false)
			}
		}
		next, err := s.Recv(ctx)
		var ok bool
		if m, ok = next.(*peers.Reports); err != nil || !ok {
			return
		}
	}
}

// forwardReports forwards the reports of agents to each gateway in the same hall and to one
// gateway in each other hall. It does nothing where agents report to all gateways themselves.
func (g *Relay) forwardReports(ctx context.Context) error {
	var hallWorkers kernel.WorkerSet[peers.Member]
	var otherWorkers kernel.WorkerSet[string]
	defer hallWorkers.Stop()
	defer otherWorkers.Stop()
	for ctx.Err() == nil {
		live := g.gossip.Live()
		hallWorkers.Sync(ctx, g.hallReceivers(live), g.forwardTo)
		otherWorkers.Sync(ctx, g.otherHalls(live), g.forwardToHall)
		kernel.Sleep(ctx, forwardCheckInterval)
	}
	return nil
}

// hallReceivers returns the other gateways of this hall, or none if there is nothing to
// forward.
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

// otherHalls returns the other halls, or none if there is nothing to forward.
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

// forwardTo forwards reports to a gateway in the same hall until ctx ends.
func (g *Relay) forwardTo(ctx context.Context, m peers.Member) {
	for ctx.Err() == nil {
		g.streamReports(ctx, m, false)
		kernel.Sleep(ctx, forwardRetryDelay)
	}
}

// forwardToHall forwards reports to another hall until ctx ends, through the first of its
// gateways, in their common order, that can be reached.
func (g *Relay) forwardToHall(ctx context.Context, hall string) {
	for ctx.Err() == nil {
		for _, m := range peers.CollectorOrder(hall, g.gossip.Live()) {
			if g.streamReports(ctx, m, true) {
				break // The stream was lost; start again with the first gateway.
			}
		}
		kernel.Sleep(ctx, forwardRetryDelay)
	}
}

// streamReports opens a stream of reports to a gateway and sends on it until it is lost. It
// reports whether the stream could be opened.
func (g *Relay) streamReports(ctx context.Context, m peers.Member, otherHall bool) bool {
	c, err := g.pool.Get(ctx, m.Addr)
	if err != nil {
		return false
	}
	interval := reportInterval
	if otherHall {
		interval = otherHallReportInterval
	}
	reports, seq, urgent := g.reports.since(0, otherHall, time.Now())
	st, err := c.Open(ctx, &peers.Reports{Replicas: reports, ForwardInHall: otherHall})
	if err != nil {
		return false
	}
	defer st.Close()
	telemetry.Log("reports_passed", "peer", m.Name, "hall", m.Hall, "replicas", len(reports))
	for {
		if !waitToSend(ctx, c, interval, urgent) {
			return true
		}
		reports, seq, urgent = g.reports.since(seq, otherHall, time.Now())
		if len(reports) == 0 {
			continue
		}
		if st.Send(ctx, &peers.Reports{Replicas: reports, ForwardInHall: otherHall}) != nil {
			return true
		}
	}
}

// waitToSend waits until the next message is due, and reports whether to send it.
func waitToSend(ctx context.Context, c *wire.Conn, interval time.Duration, urgent <-chan struct{}) bool {
	t := time.NewTimer(interval)
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
