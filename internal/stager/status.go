package stager

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
)

// Intervals and timeouts of the replica's reports.
const (
	reportEvery        = 100 * time.Millisecond // Interval of requests for a report.
	reportEveryOrdered = 40 * time.Millisecond  // The same while the replica carries out an order.
	reportTimeout      = 500 * time.Millisecond
)

// status holds the current status of the replica.
type status struct {
	mu       sync.Mutex
	current  peers.Status
	changeAt time.Time // When the replica will change its version; zero if not known.
	last     Report
	valid    bool // Whether last answers the latest request and has not been invalidated since.
	reached  bool
	changed  chan struct{}
	poll     chan struct{}
}

func (s *status) init() {
	if s.changed == nil {
		s.changed = make(chan struct{})
		s.poll = make(chan struct{}, 1)
	}
}

func (s *status) get() peers.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// set changes the status and notifies those that watch it.
func (s *status) set(change func(st *peers.Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	before := s.current
	change(&s.current)
	if s.current != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *status) watch() (peers.Status, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	current := s.current
	if !s.changeAt.IsZero() {
		current.ChangeIn = max(time.Millisecond, time.Until(s.changeAt))
	}
	return current, s.changed
}

// report returns the last report of the replica, and whether it is still valid.
func (s *status) report() (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last, s.valid
}

// awaitReplica waits until the replica has answered, for at most the given time.
func (s *status) awaitReplica(ctx context.Context, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		current, changed := s.watch()
		if current.Reached {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// setChangeAt sets when the replica will change its version. It ignores small differences.
func (s *status) setChangeAt(at time.Time) {
	const minShift = 100 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if d := at.Sub(s.changeAt); d.Abs() < minShift {
		return
	}
	s.changeAt = at
	close(s.changed)
	s.changed = make(chan struct{})
}

// invalidate marks the last report as no longer valid, and has a new one requested.
func (s *status) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.valid = false
	select {
	case s.poll <- struct{}{}:
	default:
	}
}

// update records a report of the replica, or the error of the request for it.
func (s *status) update(rep Report, err error) {
	s.mu.Lock()
	s.init()
	if reached := err == nil; reached != s.reached {
		s.reached = reached
		telemetry.Log("replica_reached", "addr", s.current.Addr, "reached", reached, "version", rep.Version, "reason", fault.CodeOf(err))
	}
	s.valid = err == nil
	if err == nil {
		if rep.Born != s.last.Born {
			telemetry.Log("replica_started", "addr", s.current.Addr, "born", rep.Born, "before", s.last.Born, "orders", rep.OrderCount)
		}
		if rep.Version != s.last.Version || rep.OrderPending != s.last.OrderPending {
			telemetry.Log("replica_holds", "addr", s.current.Addr, "model", rep.Model, "version", rep.Version, "before", s.last.Version, "ordered", rep.OrderPending, "orders", rep.OrderCount)
		}
		s.last = rep
	}
	s.mu.Unlock()
	s.set(func(st *peers.Status) {
		st.Reached = err == nil
		if err != nil {
			return
		}
		st.Model, st.Version, st.Pace = rep.Model, rep.Version, rep.Slowdown
		st.Queued, st.Running, st.UsedTokens, st.TotalTokens = rep.Queued, rep.Running, rep.UsedTokens, rep.TotalTokens
		st.Changing = st.Changing || rep.OrderPending
	})
}

// watchReplica requests reports from the replica at intervals.
func (s *Stager) watchReplica(ctx context.Context) error {
	s.status.set(func(st *peers.Status) { st.Addr, st.Hall = s.Settings.Replica, s.Settings.Hall })
	for ctx.Err() == nil {
		sentAt := time.Now()
		rctx, cancel := context.WithTimeout(ctx, reportTimeout)
		rep, err := s.options.Replica.Report(rctx)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		s.unanswered.observe(sentAt, time.Now(), rep, err)
		s.status.update(rep, err)
		wait := reportEvery
		if rep.OrderPending {
			wait = reportEveryOrdered
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.status.poll:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

func splitAddr(addr string) (ip, port string) {
	ip, port, err := net.SplitHostPort(addr)
	if err != nil {
		return addr, ""
	}
	return ip, port
}
