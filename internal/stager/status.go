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

// Waits of the status.
const (
	reportEvery = 100 * time.Millisecond // Between looks at the replica,
	reportBusy  = 40 * time.Millisecond  // and while it has an order.
	reportIn    = 500 * time.Millisecond
)

// status is how the replica stands.
type status struct {
	mu       sync.Mutex
	now      peers.Status
	changeAt time.Time // When the replica will change its version; zero if that is not known.
	rep      Report
	known    bool // rep is an answer since the last expire.
	reached  bool
	changed  chan struct{}
	again    chan struct{}
}

func (s *status) init() {
	if s.changed == nil {
		s.changed = make(chan struct{})
		s.again = make(chan struct{}, 1)
	}
}

func (s *status) get() peers.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// set changes the status and wakes those who tell it.
func (s *status) set(change func(st *peers.Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	before := s.now
	change(&s.now)
	if s.now != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *status) watch() (peers.Status, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	now := s.now
	if !s.changeAt.IsZero() {
		now.ChangeIn = max(time.Millisecond, time.Until(s.changeAt))
	}
	return now, s.changed
}

// report returns the replica's last word, if it is one that may be acted on.
func (s *status) report() (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rep, s.known
}

// awaitReplica returns once the replica has answered, or after a while.
func (s *status) awaitReplica(ctx context.Context, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		now, changed := s.watch()
		if now.Reached {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// changes tells when the replica will change its version.
func (s *status) changes(at time.Time) {
	const worthTelling = 100 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if d := at.Sub(s.changeAt); d.Abs() < worthTelling {
		return
	}
	s.changeAt = at
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire makes the last word one that may not be acted on, and asks anew.
func (s *status) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.known = false
	select {
	case s.again <- struct{}{}:
	default:
	}
}

// heard takes the replica's word, or that there was none.
func (s *status) heard(rep Report, err error) {
	s.mu.Lock()
	s.init()
	if reached := err == nil; reached != s.reached {
		s.reached = reached
		telemetry.Log("replica_reached", "addr", s.now.Addr, "reached", reached, "version", rep.Version, "reason", fault.CodeOf(err))
	}
	s.known = err == nil
	if err == nil {
		if rep.Version != s.rep.Version || rep.OrderPending != s.rep.OrderPending {
			telemetry.Log("replica_holds", "addr", s.now.Addr, "model", rep.Model, "version", rep.Version, "before", s.rep.Version, "ordered", rep.OrderPending, "orders", rep.OrderCount)
		}
		s.rep = rep
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

// watchReplica asks the replica how it stands, again and again.
func (s *Stager) watchReplica(ctx context.Context) error {
	s.status.set(func(st *peers.Status) { st.Addr, st.Hall = s.Settings.Replica, s.Settings.Hall })
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, reportIn)
		rep, err := s.options.Replica.Report(rctx)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		s.status.heard(rep, err)
		wait := reportEvery
		if rep.OrderPending {
			wait = reportBusy
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.status.again:
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
