package relay

import (
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/route"
)

// versionMargin is how long before the bound no request may begin on an older
// version: this process heard of the newer one later than the platform said so.
const versionMargin = 300 * time.Millisecond

// bound returns when requests of a service may no longer begin on a version,
// zero for never.
func (g *Relay) bound(rq *request, version uint64) time.Time {
	w := g.holder.Get().Wanted[rq.catalog.Config.Services[rq.service].Model]
	t := w.Overtaken(version)
	if t.IsZero() {
		return t
	}
	return t.Add(g.Settings.VersionWithin - versionMargin)
}

// admits reports whether the request is worth sending: it can still be answered
// before its caller has gone.
func (g *Relay) admits(now time.Time, rq *request, c route.Choice) bool {
	if !c.Engine {
		return true
	}
	late := max(lateFactor*rq.route.Aim, lateLeast)
	return c.Predicted < min(late, rq.deadline.Sub(now)/2)
}

// Requests that would be this late are refused: their callers may come back to a
// shorter queue.
const (
	lateFactor = 4
	lateLeast  = 1500 * time.Millisecond
)

// comeBack is when a refused caller should try again.
func (g *Relay) comeBack(now time.Time, rq *request, predicted time.Duration) time.Time {
	const least, most = 300 * time.Millisecond, 1500 * time.Millisecond
	wait := max(least, min(most, predicted/2))
	return now.Add(wait + rand.N(wait/2+1))
}

// noteClosing takes an upstream's word that it ends a connection. Some say so
// only because they leave, others now and then, so it decides nothing alone.
func (g *Relay) noteClosing(string) { g.Metrics.Event("upstream_closing", "") }
