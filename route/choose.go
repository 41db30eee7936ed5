package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// withoutEjected drops ejected upstreams, but never more than maxEjectedShare of them. Beyond
// that share, those whose ejection ends soonest are kept.
func withoutEjected(now time.Time, all []*Upstream) []*Upstream {
	var in, out []*Upstream
	for _, u := range all {
		if u.ejectedUntil.After(now) {
			out = append(out, u)
		} else {
			in = append(in, u)
		}
	}
	for len(out) > int(maxEjectedShare*float64(len(all))) {
		soonest := 0
		for i, u := range out {
			if u.ejectedUntil.Before(out[soonest].ejectedUntil) {
				soonest = i
			}
		}
		in = append(in, out[soonest])
		out = append(out[:soonest], out[soonest+1:]...)
	}
	return in
}

// withCapacity drops upstreams to which this gateway already has its full share of requests in
// flight, so that a stuck upstream cannot tie up more of the gateway than that. If all are
// full, none is dropped.
func withCapacity(cs []*Upstream, q Query) []*Upstream {
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

// stalled reports whether an upstream has requests in flight but has shown no activity for too
// long.
func (u *Upstream) stalled(now time.Time, median float64) bool {
	return u.InFlight > 0 && now.Sub(u.lastActivity) > stallMin+time.Duration(stallFactor*median)
}

func (r *Router) choose(now time.Time, cs []*Upstream, q Query) *Upstream {
	median := r.median(now, cs, q.Service)
	if q.Prefix != "" {
		if u := byPrefix(now, cs, q.Prefix, median); u != nil {
			return u
		}
	}
	i := rand.IntN(len(cs))
	j := (i + 1 + rand.IntN(max(1, len(cs)-1))) % len(cs) // A second candidate, if there is one.
	a, b := cs[i], cs[j]
	if b.cost(now, median) < a.cost(now, median) {
		return b
	}
	return a
}

// byPrefix returns the first of the two upstreams that the prefix hashes to whose load is
// within the bound, so that a hot prefix spills over. It returns nil if neither qualifies.
func byPrefix(now time.Time, cs []*Upstream, prefix string, median float64) *Upstream {
	total := 0.0
	var first, second *Upstream
	var firstScore, secondScore uint64
	for _, u := range cs {
		total += u.Load(now)
		switch s := rendezvous.Score(prefix, u.Box.Name); {
		case first == nil || s > firstScore:
			first, second, firstScore, secondScore = u, first, s, firstScore
		case second == nil || s > secondScore:
			second, secondScore = u, s
		}
	}
	bound := spillFactor*total/float64(len(cs)) + spillSlack
	slow := slowFactor * median
	for _, u := range []*Upstream{first, second} {
		if u != nil && !u.stalled(now, median) && u.Load(now) <= bound && u.rampUp(now) >= 1 && (median == 0 || float64(u.ttft) < slow) {
			return u
		}
	}
	return nil
}

// Load estimates the requests at an upstream: this gateway's own requests, which are known
// exactly, plus those of other gateways from the last report, whose weight decays with its age.
func (u *Upstream) Load(now time.Time) float64 {
	others := float64(max(0, u.Report.Running+u.Report.Queued-u.ownAtReport))
	age := now.Sub(u.ReportedAt)
	return float64(u.InFlight) + others*math.Exp2(-float64(age)/float64(reportHalfLife))
}

// rampUp returns the share of its full load that an upstream is given during slow start.
func (u *Upstream) rampUp(now time.Time) float64 {
	up := float64(now.Sub(u.readyAt)) / float64(slowStart)
	return min(1, max(slowStartMin, up))
}

// cost ranks upstreams; lower is better. It is the load per slot, weighted by the upstream's
// latency relative to the median and by its slow-start share.
func (u *Upstream) cost(now time.Time, median float64) float64 {
	c := (u.Load(now) + 1) / float64(max(1, u.Report.Slots)) / u.rampUp(now)
	if median > 0 && u.ttft > 0 {
		slowdown := max(1, float64(u.ttft)/median)
		c *= slowdown * slowdown // Squared, so that an idle slow upstream does not look better than a busy fast one.
	}
	if u.stalled(now, median) {
		c *= stallCost
	}
	return c
}

// median returns the median of the smoothed first-token times of a service, or 0 if there are
// too few samples. The median changes slowly, so it is cached rather than computed for each
// request.
func (r *Router) median(now time.Time, cs []*Upstream, service string) float64 {
	if m := r.medians[service]; now.Before(m.expires) {
		return m.ttft
	}
	var samples []float64
	for _, u := range cs {
		if u.ttft > 0 {
			samples = append(samples, float64(u.ttft))
		}
	}
	const minSamples, cacheFor = 3, 100 * time.Millisecond
	m := cachedMedian{expires: now.Add(cacheFor)}
	if len(samples) >= minSamples {
		slices.Sort(samples)
		m.ttft = samples[len(samples)/2]
	}
	if r.medians == nil {
		r.medians = map[string]cachedMedian{}
	}
	r.medians[service] = m
	return m.ttft
}

func (u *Upstream) recordFirstToken(d time.Duration) {
	if u.ttft == 0 {
		u.ttft = d
		return
	}
	u.ttft += time.Duration(ttftWeight * float64(d-u.ttft))
}
