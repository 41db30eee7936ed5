package kernel

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends. It returns at once if d is not positive.
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

// WorkerSet runs a goroutine for each member of a set that changes. The zero value runs
// none. It is not safe for concurrent use.
type WorkerSet[K comparable] struct {
	open map[K]context.CancelFunc
}

// Sync starts run for members that are new, and ends it for those that are gone.
func (e *WorkerSet[K]) Sync(ctx context.Context, members []K, run func(ctx context.Context, member K)) {
	if e.open == nil {
		e.open = map[K]context.CancelFunc{}
	}
	keep := map[K]bool{}
	for _, m := range members {
		keep[m] = true
		if e.open[m] == nil {
			own, cancel := context.WithCancel(ctx)
			e.open[m] = cancel
			go run(own, m)
		}
	}
	for m, cancel := range e.open {
		if !keep[m] {
			cancel()
			delete(e.open, m)
		}
	}
}

// Stop ends all.
func (e *WorkerSet[K]) Stop() {
	for _, cancel := range e.open {
		cancel()
	}
	e.open = nil
}
