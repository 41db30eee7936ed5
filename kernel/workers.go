package kernel

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is cancelled. It returns at once if d is not positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// WorkerSet runs one goroutine for each member of a changing set. The zero value has no
// members. It is not safe for concurrent use.
type WorkerSet[K comparable] struct {
	cancels map[K]context.CancelFunc
}

// Sync starts run for each new member and cancels the context of each member that is no
// longer listed.
func (s *WorkerSet[K]) Sync(ctx context.Context, members []K, run func(ctx context.Context, member K)) {
	if s.cancels == nil {
		s.cancels = map[K]context.CancelFunc{}
	}
	keep := map[K]bool{}
	for _, m := range members {
		keep[m] = true
		if s.cancels[m] == nil {
			memberCtx, cancel := context.WithCancel(ctx)
			s.cancels[m] = cancel
			go run(memberCtx, m)
		}
	}
	for m, cancel := range s.cancels {
		if !keep[m] {
			cancel()
			delete(s.cancels, m)
		}
	}
}

// Stop cancels the contexts of all members.
func (s *WorkerSet[K]) Stop() {
	for _, cancel := range s.cancels {
		cancel()
	}
	s.cancels = nil
}
