package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the requests that wait at a gateway.
const (
	maxWaiting      = 256
	maxWaitingBytes = 4 << 20 // Of bodies.
)

// Pool identifies requests that may be sent to the same replicas, so that they wait for the same
// room.
type Pool struct {
	Service string
	Regions string // Where they may be served; see config.Residency.
}

// Waiting is a request that waits at the gateway for room at a replica.
type Waiting struct {
	Pool
	Level        int  // Number of more urgent ranks of the service; see Service.Level.
	First        bool // It goes before the others of its level: a retry on time.
	Organisation string
	Weight       int // Fair-share weight of the organisation; at least 1.
	Work         int // Prompt and expected answer tokens.
	Deadline     time.Time
	Bytes        int // Size of the body.

	seq uint64
}

// compareUrgency returns a negative number if w goes before o whatever their organisations.
func (w *Waiting) compareUrgency(o *Waiting) int {
	if c := cmp.Compare(w.Level, o.Level); c != 0 || w.First == o.First {
		return c
	}
	if w.First {
		return -1
	}
	return 1
}

// compareInOrganisation returns a negative number if w goes before o of the same urgency and
// organisation.
func (w *Waiting) compareInOrganisation(o *Waiting) int {
	return cmp.Or(w.Deadline.Compare(o.Deadline), cmp.Compare(w.seq, o.seq))
}

// WaitingList holds the requests that wait at a gateway. Those of one pool are ordered by level,
// within a level by First, then by the fair shares of their organisations, then by deadline. The
// zero value is an empty list. It is not safe for concurrent use.
type WaitingList struct {
	waiting []*Waiting // Of all services, in order of arrival.
	bytes   int
	orders  map[string]*FairOrder // Keyed by service.
	lastSeq uint64
}

// Add adds a request, and returns those that are removed because the list exceeds its bounds,
// which may include w: the newest ones of the least urgent level.
func (l *WaitingList) Add(w *Waiting) (removed []*Waiting) {
	if w.Bytes > maxWaitingBytes {
		return []*Waiting{w}
	}
	l.lastSeq++
	w.seq = l.lastSeq
	l.waiting = append(l.waiting, w)
	l.bytes += w.Bytes
	for len(l.waiting) > maxWaiting || l.bytes > maxWaitingBytes {
		last := slices.MaxFunc(l.waiting, func(a, b *Waiting) int {
			return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.seq, b.seq))
		})
		l.Remove(last)
		removed = append(removed, last)
	}
	return removed
}

// Remove removes a request, if it is in the list.
func (l *WaitingList) Remove(w *Waiting) {
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.bytes -= w.Bytes
	}
}

// Len returns the number of waiting requests.
func (l *WaitingList) Len() int { return len(l.waiting) }

// Waits reports whether any request of a pool waits.
func (l *WaitingList) Waits(p Pool) bool {
	return slices.ContainsFunc(l.waiting, func(o *Waiting) bool { return o.Pool == p })
}

// MustWait reports whether a request that arrives must join the list without a try: others of at
// least its urgency wait in the same pool.
func (l *WaitingList) MustWait(w *Waiting) bool {
	return slices.ContainsFunc(l.waiting, func(o *Waiting) bool { return o.Pool == w.Pool && o.compareUrgency(w) <= 0 })
}

// First returns the request of a pool that is to be tried next, except those that skip reports;
// nil if there is none.
func (l *WaitingList) First(p Pool, skip func(*Waiting) bool) *Waiting {
	next := map[string]*Waiting{} // The next request of each organisation, all of the same urgency.
	var most *Waiting
	for _, w := range l.waiting {
		if w.Pool != p || skip(w) {
			continue
		}
		if most == nil || w.compareUrgency(most) < 0 {
			clear(next)
			most = w
		}
		if w.compareUrgency(most) > 0 {
			continue
		}
		if o := next[w.Organisation]; o == nil || w.compareInOrganisation(o) < 0 {
			next[w.Organisation] = w
		}
	}
	var first *Waiting
	for _, w := range next {
		if first == nil || l.compareShare(w, first) < 0 {
			first = w
		}
	}
	return first
}

// compareShare compares requests of different organisations by their fair shares.
func (l *WaitingList) compareShare(a, b *Waiting) int {
	o := l.order(a.Service)
	return cmp.Or(
		cmp.Compare(o.Next(a.Organisation), o.Next(b.Organisation)),
		a.compareInOrganisation(b),
	)
}

// Start records that a request was sent, whether it waited or not.
func (l *WaitingList) Start(w *Waiting) {
	l.order(w.Service).Start(w.Organisation, float64(max(1, w.Weight)), float64(max(1, w.Work)))
}

func (l *WaitingList) order(service string) *FairOrder {
	o, ok := l.orders[service]
	if !ok {
		if l.orders == nil {
			l.orders = map[string]*FairOrder{}
		}
		o = &FairOrder{}
		l.orders[service] = o
	}
	return o
}

// Keep forgets the fair shares of services for which configured returns false.
func (l *WaitingList) Keep(configured func(service string) bool) {
	maps.DeleteFunc(l.orders, func(service string, _ *FairOrder) bool { return !configured(service) })
}
