package route

import (
	"sync"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/rendezvous"
)

// Parameters of a Router.
const (
	reportHalfLife  = 3 * time.Second        // The load of other gateways in a report counts half after this time.
	spillFactor     = 1.25                   // Ratio of load to the mean above which a prefix spills over to another upstream.
	spillSlack      = 2.0                    // Requests allowed in addition to spillFactor times the mean.
	slowStart       = 5 * time.Second        // Time until a new upstream gets its full share.
	slowStartMin    = 0.2                    // Share at the beginning of slow start.
	ejectBase       = 2 * time.Second        // Duration of a first ejection; doubles with each further one.
	ejectMax        = 30 * time.Second       // Longest ejection.
	ejectAfter      = 3                      // Consecutive failures.
	maxEjectedShare = 0.34                   // Share of the upstreams of a service that may be ejected at once.
	slowFactor      = 3.0                    // Ratio of the first-token time to the median from which an upstream counts as slow.
	ttftWeight      = 0.2                    // Weight of a new first-token sample.
	stallMin        = 400 * time.Millisecond // An upstream with requests in flight counts as stalled after stallMin plus
	stallFactor     = 3.0                    // stallFactor times the median first-token time without activity.
	stallCost       = 20.0                   // Cost factor of a stalled upstream.
	reportTTL       = 45 * time.Second       // An upstream without a report for this long is not used.
)

// MaxInFlightPerSlot bounds the requests that the gateways of a hall together have in flight to
// an upstream, per slot. Further requests would queue at the upstream, where the shares of
// organisations are not enforced (docs/design/load.md).
const MaxInFlightPerSlot = 1.0

// Upstream is the state that a gateway keeps for one box.
type Upstream struct {
	Box        fleet.Box
	Report     dispatch.Report
	ReportedAt time.Time // When Report was received; zero if there is none.
	InFlight   int       // Open dispatches of this gateway.
	// ownAtReport is InFlight when Report was received, so that own requests are not counted
	// twice.
	ownAtReport  int
	lastActivity time.Time // The last report, part of an answer or end of a request.
	readyAt      time.Time // When it was first reported ready in this incarnation.
	failures     int       // Consecutive.
	ejectedUntil time.Time
	ejections    int           // Consecutive; each doubles the duration of the next.
	ttft         time.Duration // Smoothed time to first token.
}

// Router is the table of upstreams. The zero value is an empty table.
type Router struct {
	// Choose overrides how Pick selects among candidates, for baselines in measurements. If
	// nil, the policy of this package is used.
	Choose func(r *Router, now time.Time, cs []*Upstream, q Query) *Upstream

	mu        sync.Mutex
	upstreams map[string]*Upstream
	order     []string // The keys of upstreams, sorted, so that choices are repeatable.
	medians   map[string]cachedMedian
}

// cachedMedian is a recently computed median first-token time of a service.
type cachedMedian struct {
	ttft    float64 // In nanoseconds; 0 if there are too few samples.
	expires time.Time
}

// Query describes the request that Pick chooses an upstream for.
type Query struct {
	Service string
	Digest  string          // Required version; empty for plain services.
	Prefix  string          // Hash key of the beginning of the prompt; may be empty.
	Exclude map[string]bool // Names of boxes that were already tried.
	Share   float64         // This gateway's share of the hall's requests; 0 means all.
}

// Sync sets the boxes that are placed in this hall. Other boxes are removed, or marked as
// leaving while they have requests in flight.
func (r *Router) Sync(boxes []fleet.Box) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstreams == nil {
		r.upstreams = map[string]*Upstream{}
	}
	keep := map[string]bool{}
	for _, b := range boxes {
		keep[b.Name] = true
		if u, ok := r.upstreams[b.Name]; ok && u.Box.Addr == b.Addr {
			u.Box = b
			continue
		}
		r.upstreams[b.Name] = &Upstream{Box: b}
	}
	for name, u := range r.upstreams {
		if !keep[name] && u.InFlight == 0 {
			delete(r.upstreams, name)
		} else if !keep[name] {
			u.Box.Leaving = true
		}
	}
	r.order = rendezvous.Sorted(r.upstreams)
}

// UpdateReport stores a report. A report that is older than the stored one, or comes from a
// replaced incarnation, is dropped.
func (r *Router) UpdateReport(now time.Time, name string, rep dispatch.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[name]
	if !ok || rep.Incarnation < u.Report.Incarnation {
		return
	}
	same := rep.Incarnation == u.Report.Incarnation
	if same && rep.At.Before(u.Report.At) {
		return
	}
	if !same {
		u.failures, u.ejectedUntil, u.ejections, u.readyAt = 0, time.Time{}, 0, time.Time{}
	}
	if rep.Ready && (u.readyAt.IsZero() || rep.Digest != u.Report.Digest) {
		u.readyAt = now
	}
	u.Report, u.ReportedAt, u.lastActivity, u.ownAtReport = rep, now, now, u.InFlight
}

// MarkDisconnected records that the connection on which an upstream reports has ended, so that
// its state is unknown.
func (r *Router) MarkDisconnected(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u, ok := r.upstreams[name]; ok {
		u.Report.Ready = false
	}
}

// CountReady returns how many upstreams are ready to serve a version of a service.
func (r *Router) CountReady(now time.Time, service, digest string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.candidates(now, Query{Service: service, Digest: digest}))
}

// Versions returns the number of ready upstreams of a service for each version.
func (r *Router) Versions(now time.Time, service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, u := range r.upstreams {
		if u.usable(now, service) {
			out[u.Report.Digest]++
		}
	}
	return out
}

// Slots returns how many requests the ready upstreams of a service run at once.
func (r *Router) Slots(now time.Time, service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.upstreams {
		if u.usable(now, service) {
			n += u.Report.Slots
		}
	}
	return n
}

func (u *Upstream) usable(now time.Time, service string) bool {
	return u.Report.Ready && !u.Report.Draining && !u.Box.Leaving && u.Report.Service == service &&
		now.Sub(u.ReportedAt) < reportTTL
}

func (r *Router) candidates(now time.Time, q Query) []*Upstream {
	var out []*Upstream
	for _, name := range r.order {
		u := r.upstreams[name]
		if u.usable(now, q.Service) && u.Report.Digest == q.Digest && !q.Exclude[name] {
			out = append(out, u)
		}
	}
	return out
}

// Pick chooses an upstream and counts a dispatch to it, which the caller must end with Done.
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
		u = r.choose(now, withCapacity(withoutEjected(now, all), q), q)
	}
	if u.InFlight == 0 {
		u.lastActivity = now // No activity is expected from an idle upstream.
	}
	u.InFlight++
	return *u, nil
}

// RecordActivity records that an upstream has shown activity.
func (r *Router) RecordActivity(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u, ok := r.upstreams[name]; ok {
		u.lastActivity = now
	}
}

// DispatchResult is the outcome of a dispatch as far as it concerns the upstream.
type DispatchResult struct {
	Failed    bool          // The upstream failed; a refusal is not a failure.
	FirstData time.Duration // Time to the first part of the answer; 0 if there was none.
}

// Done ends a dispatch.
func (r *Router) Done(now time.Time, name string, incarnation uint64, result DispatchResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[name]
	if !ok {
		return
	}
	u.InFlight = max(0, u.InFlight-1)
	if !result.Failed {
		u.lastActivity = now
	}
	if incarnation != u.Report.Incarnation {
		return
	}
	if result.FirstData > 0 {
		u.recordFirstToken(result.FirstData)
	}
	if !result.Failed {
		if result.FirstData > 0 {
			u.failures, u.ejections = 0, 0
		}
		return
	}
	u.failures++
	if u.failures >= ejectAfter {
		d := min(ejectMax, ejectBase<<min(u.ejections, 4))
		u.ejectedUntil = now.Add(d)
		u.ejections++
		u.failures = 0
	}
}

// RecordRefusal records that an upstream refused a dispatch for a lasting reason, so that it
// gets no more requests until its next report.
func (r *Router) RecordRefusal(name string, incarnation uint64, code fault.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[name]
	if !ok || u.Report.Incarnation != incarnation {
		return
	}
	switch code {
	case fault.Draining:
		u.Report.Draining = true
	case fault.NotReady, fault.WrongVersion, fault.StaleView, fault.WrongIncarnation:
		u.Report.Ready = false
	}
}

// Len returns the number of upstreams in the table.
func (r *Router) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.upstreams)
}

// Snapshot returns a copy of every upstream, by name.
func (r *Router) Snapshot() []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Upstream
	for _, name := range r.order {
		out = append(out, *r.upstreams[name])
	}
	return out
}
