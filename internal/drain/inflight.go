package drain

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
)

// Request is a request that a process handles.
type Request struct {
	ID        string
	Service   string
	ArrivedAt time.Time
	Deadline  time.Time

	upstream string // The one that it was last sent to; guarded by InFlight.mu.
}

// InFlight holds the requests that a process handles, so that a process that ends can name those
// that it cuts off. The zero value has none.
type InFlight struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
}

// Add adds a request until the returned function is called.
func (f *InFlight) Add(r *Request) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[*Request]struct{}{}
	}
	f.requests[r] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, r)
	}
}

// SetUpstream records to which upstream a request is sent.
func (f *InFlight) SetUpstream(r *Request, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.upstream = id
}

// Wait waits until no request is left, ctx ends or the deadline passes.
func (f *InFlight) Wait(ctx context.Context, deadline time.Time) {
	for f.count() > 0 && ctx.Err() == nil && time.Now().Before(deadline) {
		kernel.Sleep(ctx, PollInterval)
	}
}

func (f *InFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// LogCut counts and logs each request that the end of the process cuts off.
func (f *InFlight) LogCut(m *telemetry.Metrics, reason string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for r := range f.requests {
		m.Event("request_cut", reason)
		telemetry.Log("request_cut", "id", r.ID, "service", r.Service, "upstream", r.upstream, "reason", reason,
			"age_ms", now.Sub(r.ArrivedAt).Milliseconds(), "left_ms", r.Deadline.Sub(now).Milliseconds())
	}
}
