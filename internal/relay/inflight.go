package relay

import (
	"sync"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
)

// requestsInFlight holds the requests that are being handled, so that a process that ends can
// name those that it cuts off.
type requestsInFlight struct {
	mu       sync.Mutex
	requests map[*request]string // The replica that each was last sent to.
}

func (f *requestsInFlight) add(rq *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[*request]string{}
	}
	f.requests[rq] = ""
}

func (f *requestsInFlight) setReplica(rq *request, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[rq] = id
}

func (f *requestsInFlight) remove(rq *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, rq)
}

// logCut counts and logs each request that the end of the process cuts off.
func (g *Relay) logCut(reason string) {
	now := time.Now()
	f := &g.inFlight
	f.mu.Lock()
	defer f.mu.Unlock()
	for rq, replica := range f.requests {
		g.Metrics.Event("request_cut", reason)
		telemetry.Log("request_cut", "id", rq.id, "route", rq.routeName, "service", rq.service, "replica", replica, "reason", reason,
			"age_ms", now.Sub(rq.arrivedAt).Milliseconds(), "left_ms", rq.deadline.Sub(now).Milliseconds())
	}
}
