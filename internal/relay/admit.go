package relay

import (
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/route"
)

// versionMargin is how long before its bound a gateway stops to send requests to
// an older version: it heard of the newer one later than the platform said so.
const versionMargin = 600 * time.Millisecond

// leastVersion is the oldest version that a request may begin on now, or 0 for
// any.
func (g *Relay) leastVersion(now time.Time, rq *request) uint64 {
	w, ok := g.holder.Get().Wanted[rq.catalog.Config.Services[rq.service].Model]
	if !ok {
		return 0
	}
	if now.Sub(w.Named) < g.Settings.VersionWithin-versionMargin {
		return 0
	}
	return w.Version
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
