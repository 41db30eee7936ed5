package stager

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/wire"
)

// reuseReportFor is how long a report of the replica answers further load queries. Several
// gateways may query at once, and their requests take longer than this to change the load.
const reuseReportFor = 10 * time.Millisecond

// sharedReport requests reports of the replica for load queries. Queries that arrive while a
// request is in progress share its result. The zero value is ready for use.
type sharedReport struct {
	mu   sync.Mutex
	last *reportRequest // The last request, which may be in progress; nil before the first.
}

// reportRequest is a request for a report and, once done is closed, its result.
type reportRequest struct {
	done     chan struct{}
	report   Report
	err      error
	answered time.Time // When the result arrived.
}

// isCurrent reports whether the request is in progress, or its report may still be used.
func (r *reportRequest) isCurrent(now time.Time) bool {
	select {
	case <-r.done:
		return r.err == nil && now.Sub(r.answered) <= reuseReportFor
	default:
		return true
	}
}

// get returns a current report. The request for it does not end with ctx, since others may wait
// for the same result.
func (s *sharedReport) get(ctx context.Context, request func() (Report, error)) (Report, error) {
	s.mu.Lock()
	r := s.last
	if r == nil || !r.isCurrent(time.Now()) {
		r = &reportRequest{done: make(chan struct{})}
		s.last = r
		go func() {
			r.report, r.err = request()
			r.answered = time.Now()
			close(r.done)
		}()
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.report, r.err
	case <-ctx.Done():
		return Report{}, fault.Wrap(fault.Timeout, context.Cause(ctx), "report")
	}
}

// requestReport requests a report of the replica, which fails at once while the replica has asked
// for a backoff.
func (s *Stager) requestReport() (Report, error) {
	ctx, cancel := context.WithTimeout(s.lifetime, reportTimeout)
	defer cancel()
	return s.options.Replica.Report(ctx)
}

// serveLoadQuery answers a gateway's query for the current load of the replica.
func (s *Stager) serveLoadQuery(ctx context.Context, st *wire.Stream, m *peers.LoadQuery) {
	if m.Addr != s.Settings.Replica {
		_ = st.Fail(ctx, fault.New(fault.BadRequest, "no replica at "+m.Addr))
		return
	}
	rep, err := s.freshReport.get(ctx, s.requestReport)
	if ctx.Err() != nil {
		return
	}
	current, _ := s.status.watch()
	_ = st.SendLast(ctx, loadAnswer(&current, rep, err))
}

// loadAnswer returns the answer to a load query, given the agent's status and a report of the
// replica or the error of the request for it.
func loadAnswer(current *peers.Status, rep Report, err error) *peers.LoadAnswer {
	a := &peers.LoadAnswer{
		Version: current.Version, Changing: current.Changing, ChangeIn: current.ChangeIn,
		FetchingWeights: current.MissingChunks > 0, SlowLink: current.SlowLink,
	}
	if err == nil {
		a.Reached = true
		a.Version, a.Queued, a.Running, a.Pace = rep.Version, rep.Queued, rep.Running, rep.Slowdown
		a.Changing = a.Changing || rep.OrderPending
	}
	return a
}

// servedPingInterval returns the interval of pings on a connection that another process opened,
// or zero for the default. Gateways open connections for load queries only.
func (s *Stager) servedPingInterval(peer wire.Hello) time.Duration {
	if peer.Role != roleAgent {
		return peers.LoadPingInterval
	}
	return s.pingInterval(peer)
}
