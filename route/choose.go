package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// inService leaves out ejected upstreams, but never more than a share of them:
// past that the ones whose time is nearest its end are used.
func inService(now time.Time, all []*Upstream) []*Upstream {
	var in, out []*Upstream
	for _, u := range all {
		if u.ejected.After(now) {
			out = append(out, u)
		} else {
			in = append(in, u)
		}
	}
	for len(out) > int(ejectShare*float64(len(all))) {
		soonest := 0
		for i, u := range out {
			if u.ejected.Before(out[soonest].ejected) {
				soonest = i
			}
		}
		in = append(in, out[soonest])
		out = append(out[:soonest], out[soonest+1:]...)
	}
	return in
}

// withRoom leaves out upstreams to which this gateway has its full part in
// flight, so that one that is stuck holds no more of the gateway than that. If
// all are full it leaves out none.
func withRoom(cs []*Upstream, q Query) []*Upstream {
	share := q.Share
	if share == 0 {
		share = 1
	}
	var out []*Upstream
	for _, u := range cs {
		if float64(u.InFlight) < math.Ceil(MaxInFlightPerSlot*share*float64(u.Report.Slots)) {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return cs
	}
	return out
}

// silent reports whether an upstream has work and gives no sign of life.
func (u *Upstream) silent(now time.Time, usual float64) bool {
	return u.InFlight > 0 && now.Sub(u.sign) > silentLeast+time.Duration(silentFactor*usual)
}

func (r *Router) choose(now time.Time, cs []*Upstream, q Query) *Upstream {
	usual := r.median(now, cs, q.Service)
	if q.Prefix != "" {
		if u := byPrefix(now, cs, q.Prefix, usual); u != nil {
			return u
		}
	}
	i := rand.IntN(len(cs))
	j := (i + 1 + rand.IntN(max(1, len(cs)-1))) % len(cs) // Another one, if there is one.
	a, b := cs[i], cs[j]
	if b.cost(now, usual) < a.cost(now, usual) {
		return b
	}
	return a
}

// byPrefix takes the first of the two upstreams that a prefix hashes to whose
// load is within the bound, so that a hot prefix spills over.
func byPrefix(now time.Time, cs []*Upstream, prefix string, usual float64) *Upstream {
	total := 0.0
	var first, second *Upstream
	var high, next uint64
	for _, u := range cs {
		total += u.Load(now)
		switch s := rendezvous.Score(prefix, u.Box.Name); {
		case first == nil || s > high:
			first, second, high, next = u, first, s, high
		case second == nil || s > next:
			second, next = u, s
		}
	}
	bound := boundFactor*total/float64(len(cs)) + boundSlack
	slow := slowFactor * usual
	for _, u := range []*Upstream{first, second} {
		if u != nil && !u.silent(now, usual) && u.Load(now) <= bound && u.share(now) >= 1 && (usual == 0 || float64(u.first) < slow) {
			return u
		}
	}
	return nil
}

// Load estimates the requests at an upstream: this gateway's own, which it
// knows, and those of others by the last report, which counts less as it ages.
func (u *Upstream) Load(now time.Time) float64 {
	others := float64(max(0, u.Report.Running+u.Report.Queued-u.ownThen))
	age := now.Sub(u.ReportedAt)
	return float64(u.InFlight) + others*math.Exp2(-float64(age)/float64(reportHalfLife))
}

// share is the part of its full work that a fresh upstream is given.
func (u *Upstream) share(now time.Time) float64 {
	up := float64(now.Sub(u.readyAt)) / float64(slowStart)
	return min(1, max(slowStartLeast, up))
}

// cost compares upstreams: load for each slot, weighted by how slow it was
// against the usual and by how fresh it is.
func (u *Upstream) cost(now time.Time, usual float64) float64 {
	c := (u.Load(now) + 1) / float64(max(1, u.Report.Slots)) / u.share(now)
	if usual > 0 && u.first > 0 {
		times := max(1, float64(u.first)/usual)
		c *= times * times // An empty slow upstream must not look better than a busy good one.
	}
	if u.silent(now, usual) {
		c *= silentCost
	}
	return c
}

// median is the median smoothed first-token time of a service, or 0 while too
// few are known. It moves slowly, so it is not computed for each request.
func (r *Router) median(now time.Time, cs []*Upstream, service string) float64 {
	if m := r.medians[service]; now.Before(m.until) {
		return m.first
	}
	var known []float64
	for _, u := range cs {
		if u.first > 0 {
			known = append(known, float64(u.first))
		}
	}
	const fewest, keep = 3, 100 * time.Millisecond
	m := typical{until: now.Add(keep)}
	if len(known) >= fewest {
		slices.Sort(known)
		m.first = known[len(known)/2]
	}
	if r.medians == nil {
		r.medians = map[string]typical{}
	}
	r.medians[service] = m
	return m.first
}

func (u *Upstream) sample(d time.Duration) {
	if u.first == 0 {
		u.first = d
		return
	}
	u.first += time.Duration(slowWeight * float64(d-u.first))
}
