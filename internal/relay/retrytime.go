package relay

import (
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/internal/times"
)

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
