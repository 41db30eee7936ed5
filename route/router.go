package route

import (
	"sync"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/rendezvous"
)

// Tuning of a Router.
const (
	reportHalfLife = 3 * time.Second        // A report of others' load counts half after this.
	boundFactor    = 1.25                   // Load over the mean at which a prefix spills over.
	boundSlack     = 2.0                    // Requests over the bound that are always allowed.
	slowStart      = 5 * time.Second        // A fresh upstream reaches its full share after this.
	slowStartLeast = 0.2                    // The share that it begins with.
	ejectFor       = 2 * time.Second        // First time an upstream is left out; doubles.
	ejectMost      = 30 * time.Second       // Bound of that.
	ejectAfter     = 3                      // Failures in a row.
	ejectShare     = 0.34                   // Of a service's upstreams that may be out at once.
	slowFactor     = 3.0                    // Times the median first-token time that counts as slow.
	slowWeight     = 0.2                    // Weight of a new first-token sample.
	silentLeast    = 400 * time.Millisecond // Without a sign of life for this and some first-token
	silentFactor   = 3.0                    // times, an upstream with work is taken to be stuck.
	silentCost     = 20.0                   // Times the cost of a stuck upstream.
	reportExpires  = 45 * time.Second       // A silent upstream counts as unknown after this.
)

// MaxInFlightPerSlot is how many requests the gateways of a hall together have in flight to
// an upstream, for each of its slots. More would wait at the upstream, where
// shares between organisations no longer count (docs/design/load.md).
const MaxInFlightPerSlot = 1.0

// Upstream is what a gateway knows of one box.
type Upstream struct {
	Box        fleet.Box
	Report     dispatch.Report
	ReportedAt time.Time // When Report came; zero if none did.
	InFlight   int       // Dispatches of this gateway that are open.
	// ownThen is InFlight when Report came, so that own work is not counted twice.
	ownThen   int
	sign      time.Time     // The last sign of life: a report, a part of an answer, an end.
	readyAt   time.Time     // When it was first seen ready in this incarnation.
	failures  int           // In a row.
	ejected   time.Time     // Left out until then.
	ejections int           // In a row, for doubling.
	first     time.Duration // Smoothed time to the first token.
}

// Router is the table of upstreams. The zero value is empty.
type Router struct {
	// Choose overrides how Pick selects among candidates, for baselines in
	// measurements. Nil is the policy of this package.
	Choose func(r *Router, now time.Time, cs []*Upstream, q Query) *Upstream

	mu      sync.Mutex
	ups     map[string]*Upstream
	order   []string // The names of ups, sorted, so that choices are repeatable.
	medians map[string]typical
}

// typical is the median first-token time of a service, kept for a moment.
type typical struct {
	first float64 // Nanoseconds; 0 while too few are known.
	until time.Time
}

// Query is what Pick needs to know of a request.
type Query struct {
	Service string
	Digest  string          // The version that must answer; empty for plain services.
	Prefix  string          // Hash key of the prompt's beginning, or empty.
	Exclude map[string]bool // Boxes that were tried.
	Share   float64         // This gateway's part of the hall's requests; 0 is all.
}

// Sync takes the boxes that are placed in this hall; others are forgotten.
func (r *Router) Sync(boxes []fleet.Box) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ups == nil {
		r.ups = map[string]*Upstream{}
	}
	keep := map[string]bool{}
	for _, b := range boxes {
		keep[b.Name] = true
		if u, ok := r.ups[b.Name]; ok && u.Box.Addr == b.Addr {
			u.Box = b
			continue
		}
		r.ups[b.Name] = &Upstream{Box: b}
	}
	for name, u := range r.ups {
		if !keep[name] && u.InFlight == 0 {
			delete(r.ups, name)
		} else if !keep[name] {
			u.Box.Leaving = true
		}
	}
	r.order = rendezvous.Sorted(r.ups)
}

// UpdateReport takes a report. One that is older than the last, or from an incarnation
// that was replaced, is dropped.
func (r *Router) UpdateReport(now time.Time, name string, rep dispatch.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.ups[name]
	if !ok || rep.Incarnation < u.Report.Incarnation {
		return
	}
	same := rep.Incarnation == u.Report.Incarnation
	if same && rep.At.Before(u.Report.At) {
		return
	}
	if !same {
		u.failures, u.ejected, u.ejections, u.readyAt = 0, time.Time{}, 0, time.Time{}
	}
	if rep.Ready && (u.readyAt.IsZero() || rep.Digest != u.Report.Digest) {
		u.readyAt = now
	}
	u.Report, u.ReportedAt, u.sign, u.ownThen = rep, now, now, u.InFlight
}

// MarkDisconnected records that the connection on which an upstream reports has ended, so
// nothing is known of it.
func (r *Router) MarkDisconnected(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u, ok := r.ups[name]; ok {
		u.Report.Ready = false
	}
}

// CountReady returns how many upstreams are ready for a service at a version.
func (r *Router) CountReady(now time.Time, service, digest string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.candidates(now, Query{Service: service, Digest: digest}))
}

// Versions returns the versions that are ready for a service, with how many.
func (r *Router) Versions(now time.Time, service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, u := range r.ups {
		if u.usable(now, service) {
			out[u.Report.Digest]++
		}
	}
	return out
}

// Slots returns the requests that the ready upstreams of a service run at once.
func (r *Router) Slots(now time.Time, service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.ups {
		if u.usable(now, service) {
			n += u.Report.Slots
		}
	}
	return n
}

func (u *Upstream) usable(now time.Time, service string) bool {
	return u.Report.Ready && !u.Report.Draining && !u.Box.Leaving && u.Report.Service == service &&
		now.Sub(u.ReportedAt) < reportExpires
}

func (r *Router) candidates(now time.Time, q Query) []*Upstream {
	var out []*Upstream
	for _, name := range r.order {
		u := r.ups[name]
		if u.usable(now, q.Service) && u.Report.Digest == q.Digest && !q.Exclude[name] {
			out = append(out, u)
		}
	}
	return out
}

// Pick chooses an upstream and counts a dispatch to it, which Done must end.
// The returned value is a copy.
func (r *Router) Pick(now time.Time, q Query) (Upstream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.candidates(now, q)
	if len(all) == 0 {
		return Upstream{}, fault.New(fault.NoUpstream, q.Service)
	}
	var u *Upstream
	if r.Choose != nil {
		u = r.Choose(r, now, all, q)
	} else {
		u = r.choose(now, withRoom(inService(now, all), q), q)
	}
	if u.InFlight == 0 {
		u.sign = now // Silence counts from when there is something to say.
	}
	u.InFlight++
	return *u, nil
}

// RecordActivity records a sign of life.
func (r *Router) RecordActivity(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u, ok := r.ups[name]; ok {
		u.sign = now
	}
}

// DispatchResult is how a dispatch went, as far as it speaks of the upstream.
type DispatchResult struct {
	Failed    bool          // The upstream failed; a refusal is not a failure.
	FirstData time.Duration // Until the first part of the answer, or 0.
}

// Done ends a dispatch.
func (r *Router) Done(now time.Time, name string, incarnation uint64, e DispatchResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.ups[name]
	if !ok {
		return
	}
	u.InFlight = max(0, u.InFlight-1)
	if !e.Failed {
		u.sign = now
	}
	if incarnation != u.Report.Incarnation {
		return
	}
	if e.FirstData > 0 {
		u.sample(e.FirstData)
	}
	if !e.Failed {
		if e.FirstData > 0 {
			u.failures, u.ejections = 0, 0
		}
		return
	}
	u.failures++
	if u.failures >= ejectAfter {
		d := min(ejectMost, ejectFor<<min(u.ejections, 4))
		u.ejected = now.Add(d)
		u.ejections++
		u.failures = 0
	}
}

// RecordRefusal records that an upstream refused a dispatch for a reason that lasts,
// so that it gets no more work until its next report.
func (r *Router) RecordRefusal(name string, incarnation uint64, why fault.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.ups[name]
	if !ok || u.Report.Incarnation != incarnation {
		return
	}
	switch why {
	case fault.Draining:
		u.Report.Draining = true
	case fault.NotReady, fault.WrongVersion, fault.StaleView, fault.WrongIncarnation:
		u.Report.Ready = false
	}
}

// Size returns how many upstreams the table holds.
func (r *Router) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ups)
}

// Snapshot returns a copy of every upstream, by name.
func (r *Router) Snapshot() []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Upstream
	for _, name := range r.order {
		out = append(out, *r.ups[name])
	}
	return out
}
