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

// bound returns when requests of a service may no longer begin on a version,
// zero for never.
func (g *Relay) bound(rq *request, version uint64) time.Time {
	w := g.holder.Get().Wanted[rq.catalog.Config.Services[rq.service].Model]
	t := w.Overtaken(version)
	if t.IsZero() {
		return t
	}
	return t.Add(g.bounds.Load().VersionWithin - versionMargin)
}

// untilMargin is for how long a request may be on its way to a replica whose version ends.
const untilMargin = 200 * time.Millisecond

// until returns the latest deadline with which a request that waits at a replica does not begin
// on a version after the time of that, zero for any.
func (g *Relay) until(rq *request, version uint64) time.Time {
	b := g.bound(rq, version)
	if b.IsZero() {
		return b
	}
	return b.Add(versionMargin - untilMargin)
}

// Admission, in parts of a route's aim: a request is sent only if what is ahead of it at
// the chosen replica is predicted to take no longer. The answer to a new one is then most
// likely in time. One that comes back after a refusal waits less: under lasting overload
// they would else fill the replicas, all of them late, and new ones would be refused for
// them.
const (
	firstTryWait  = 0.55
	secondTryWait = 0.4
)

// admits reports whether the request is worth sending now.
func admits(rq *request, c route.Choice) bool {
	if !c.Engine || rq.route.Aim <= 0 {
		return true
	}
	part := firstTryWait
	if rq.retried {
		part = secondTryWait
	}
	return c.Wait <= time.Duration(part*float64(rq.route.Aim))
}

// callerWaits remembers how long callers of each route usually say they wait.
type callerWaits struct {
	mu    sync.Mutex
	usual map[string]time.Duration // By route; bounded by the configuration.
}

// spent reports whether a caller has less time left than the callers of its
// route begin with: it has most likely been here before.
func (u *callerWaits) spent(routeName string, left time.Duration) bool {
	const whole = 0.96
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.usual == nil {
		u.usual = map[string]time.Duration{}
	}
	if left > u.usual[routeName] {
		u.usual[routeName] = left
	}
	return float64(left) < whole*float64(u.usual[routeName])
}

// forget drops routes that are no longer configured.
func (u *callerWaits) forget(routes map[string]config.Route) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.usual {
		if _, ok := routes[name]; !ok {
			delete(u.usual, name)
		}
	}
}

// afterRest is when a caller should try again whose request all replicas that could run it
// have asked not to be sent before a time. Callers are spread from then on: the replicas
// would else have all of them at once again.
func afterRest(now, back time.Time) time.Time {
	const least, most = 350 * time.Millisecond, 1500 * time.Millisecond
	spread := max(least, min(most, back.Sub(now)/2))
	return times.Later(back, now.Add(least)).Add(rand.N(spread))
}

// comeBack is when a refused caller should try again: when what was ahead of it
// is done, or, where no replica may be used at all, a good while later.
func (g *Relay) comeBack(now time.Time, rq *request, ahead time.Duration) time.Time {
	const least, most, none = 350 * time.Millisecond, 1500 * time.Millisecond, 1400 * time.Millisecond
	wait := none
	if ahead > 0 {
		wait = max(least, min(most, ahead))
	}
	return now.Add(wait + rand.N(wait/2+1))
}
