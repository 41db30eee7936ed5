package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// versionMargin is how long before the bound no request may begin on an older
// version: this process heard of the newer one later than the platform said so.
const versionMargin = 800 * time.Millisecond

// versionDeadline returns when requests of a service may no longer begin on a version,
// zero for never.
func (g *Relay) versionDeadline(rq *request, version uint64) time.Time {
	w := g.catalog.Get().Targets[rq.catalog.Config.Services[rq.service].Model]
	t := w.SupersededAt(version)
	if t.IsZero() {
		return t
	}
	return t.Add(g.bounds.Load().VersionWithin - versionMargin)
}

// transitMargin is for how long a request may be on its way to a replica whose version ends.
const transitMargin = 200 * time.Millisecond

// queueDeadline returns the latest deadline with which a request that waits at a replica does not begin
// on a version after the time of that, zero for any.
func (g *Relay) queueDeadline(rq *request, version uint64) time.Time {
	b := g.versionDeadline(rq, version)
	if b.IsZero() {
		return b
	}
	return b.Add(versionMargin - transitMargin)
}

// Admission, in parts of a route's aim: a request is sent only if what is ahead of it at
// the chosen replica is predicted to take no longer. The answer to a new one is then most
// likely in time. One that comes back after a refusal waits less: under lasting overload
// they would else fill the replicas, all of them late, and new ones would be refused for
// them.
const (
	firstTryShare = 0.55
	retryTryShare = 0.4
)

// admits reports whether the request is worth sending now.
func admits(rq *request, c route.Choice) bool {
	if !c.Engine || rq.route.Aim <= 0 {
		return true
	}
	part := firstTryShare
	if rq.retried {
		part = retryTryShare
	}
	return c.QueueWait <= time.Duration(part*float64(rq.route.Aim))
}

// callerTimeouts remembers how long callers of each route usually say they wait.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration // By route; bounded by the configuration.
}

// isRetry reports whether a caller has less time left than the callers of its
// route begin with: it has most likely been here before.
func (u *callerTimeouts) isRetry(routeName string, left time.Duration) bool {
	const whole = 0.96
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.longest == nil {
		u.longest = map[string]time.Duration{}
	}
	if left > u.longest[routeName] {
		u.longest[routeName] = left
	}
	return float64(left) < whole*float64(u.longest[routeName])
}

// prune drops routes that are no longer configured.
func (u *callerTimeouts) prune(routes map[string]config.Route) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.longest {
		if _, ok := routes[name]; !ok {
			delete(u.longest, name)
		}
	}
}

// retryAfterRest is when a caller should try again whose request all replicas that could run it
// have asked not to be sent before a time. Callers are spread from then on: the replicas
// would else have all of them at once again.
func retryAfterRest(now, back time.Time) time.Time {
	const least, most = 350 * time.Millisecond, 1500 * time.Millisecond
	spread := max(least, min(most, back.Sub(now)/2))
	return times.Later(back, now.Add(least)).Add(rand.N(spread))
}

// retryTime is when a refused caller should try again: when what was ahead of it
// is done, or, where no replica may be used at all, a good while later.
func (g *Relay) retryTime(now time.Time, rq *request, ahead time.Duration) time.Time {
	const least, most, none = 350 * time.Millisecond, 1500 * time.Millisecond, 1400 * time.Millisecond
	wait := none
	if ahead > 0 {
		wait = max(least, min(most, ahead))
	}
	return now.Add(wait + rand.N(wait/2+1))
}
