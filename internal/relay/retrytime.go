package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/times"
)

// callerTimeouts records the longest timeout that callers of each route have sent.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration // Keyed by route; bounded by the configuration.
}

// isRetry reports whether a caller has less time left than callers of its route start with,
// which means that it has most likely been refused before.
func (t *callerTimeouts) isRetry(routeName string, left time.Duration) bool {
	const fullShare = 0.96
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil {
		t.longest = map[string]time.Duration{}
	}
	if left > t.longest[routeName] {
		t.longest[routeName] = left
	}
	return float64(left) < fullShare*float64(t.longest[routeName])
}

// prune removes routes that are no longer configured.
func (t *callerTimeouts) prune(routes map[string]config.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.longest {
		if _, ok := routes[name]; !ok {
			delete(t.longest, name)
		}
	}
}

// retryAfterBackoff returns when a caller should retry after all replicas that could run its
// request have requested a backoff until the given time. Retries are spread out from
// then on, so that the replicas do not receive all callers at once.
func retryAfterBackoff(now, until time.Time) time.Time {
	const minDelay, maxSpread = 350 * time.Millisecond, 1500 * time.Millisecond
	spread := max(minDelay, min(maxSpread, until.Sub(now)/2))
	return times.Later(until, now.Add(minDelay)).Add(rand.N(spread))
}

// retryTime returns when a refused caller should retry: once the predicted queue ahead of it
// is done, or, if no replica is usable, after a fixed wait. Jitter is added to both.
func (g *Relay) retryTime(now time.Time, rq *request, queueWait time.Duration) time.Time {
	const minDelay, maxDelay, defaultDelay = 350 * time.Millisecond, 1500 * time.Millisecond, 1400 * time.Millisecond
	delay := defaultDelay
	if queueWait > 0 {
		delay = max(minDelay, min(maxDelay, queueWait))
	}
	return now.Add(delay + rand.N(delay/2+1))
}
