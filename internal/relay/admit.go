package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// versionMargin is subtracted from the deadline for starting requests on an older version,
// because this gateway learns of a newer version later than the platform announces it.
const versionMargin = 800 * time.Millisecond

// versionDeadline returns the time after which no request of the service may start on a
// version, or zero if there is no such time.
func (g *Relay) versionDeadline(rq *request, version uint64) time.Time {
	target := g.catalog.Get().Targets[rq.catalog.Config.Services[rq.service].Model]
	supersededAt := target.SupersededAt(version)
	if supersededAt.IsZero() {
		return supersededAt
	}
	return supersededAt.Add(g.bounds.Load().VersionWithin - versionMargin)
}

// transitMargin allows for the transit time of a request to a replica whose version is about
// to reach its deadline.
const transitMargin = 200 * time.Millisecond

// queueDeadline returns the latest request deadline with which a request queued at a replica
// can't start on a version after the version's deadline, or zero if any request deadline will
// do.
func (g *Relay) queueDeadline(rq *request, version uint64) time.Time {
	deadline := g.versionDeadline(rq, version)
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(versionMargin - transitMargin)
}

// Admission thresholds, as fractions of the route's latency target. A request is sent only if
// the predicted queue wait at the chosen replica is within the threshold, so that a new
// request is most likely answered in time. A retry after a refusal has the lower threshold:
// under sustained overload, retries would otherwise fill the replicas, all of them late, and
// new requests would be refused on their account.
const (
	firstTryShare = 0.55
	retryTryShare = 0.4
)

// admits reports whether the predicted queue wait at the chosen replica is short enough to
// send the request.
func admits(rq *request, c route.Choice) bool {
	if !c.Engine || rq.route.TargetLatency <= 0 {
		return true
	}
	share := firstTryShare
	if rq.retried {
		share = retryTryShare
	}
	return c.QueueWait <= time.Duration(share*float64(rq.route.TargetLatency))
}

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
