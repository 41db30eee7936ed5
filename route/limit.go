package route

import (
	"strconv"
	"time"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/limit"
)

// Limit is what an answer says of how many requests its replica takes from all gateways
// together. The zero value is that of a replica of which nothing was heard: it names none.
type Limit struct {
	Named     bool
	PerSecond float64   // At least 0; 0 also where none is named.
	Asked     time.Time // The answer was made after this
	Heard     time.Time // and before this.
}

// String returns the requests a second, or "none".
func (l Limit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// SameRate reports whether l and o allow the same.
func (l Limit) SameRate(o Limit) bool { return l.Named == o.Named && l.PerSecond == o.PerSecond }

// below reports whether l allows less than o.
func (l Limit) below(o Limit) bool {
	return l.Named && (!o.Named || l.PerSecond < o.PerSecond)
}

// then returns what is believed once o is heard after l. Answers overtake one another: where
// it is not certain which is the newer one, the lower limit holds.
func (l Limit) then(o Limit) Limit {
	switch {
	case !o.Asked.Before(l.Heard):
		return o
	case !l.Asked.Before(o.Heard), l.below(o):
		return l
	case o.below(l):
		return o
	}
	l.Asked, l.Heard = times.Later(l.Asked, o.Asked), times.Later(l.Heard, o.Heard)
	return l
}

// permits is what a gateway was told of the permits for a replica that has a limit.
type permits struct {
	// noneUntil is, for each rank of requests, until when no permit is to be asked for.
	noneUntil [limit.NumRanks]time.Time
}

// none takes note that requests of a rank, and of less urgent ones, get no permit until a time.
func (p *permits) none(rank int, until time.Time) {
	for i := rankOf(rank); i < limit.NumRanks; i++ {
		p.noneUntil[i] = times.Later(p.noneUntil[i], until)
	}
}

// rankOf bounds a rank: less urgent ones count as the least urgent.
func rankOf(rank int) int { return max(0, min(limit.NumRanks-1, rank)) }

// backAt is when a permit may be asked for again for a request of a rank.
func (p *permits) backAt(rank int) time.Time {
	return p.noneUntil[rankOf(rank)]
}

// RecordNoPermit records that requests of a rank, and of less urgent ones, get no permit at a replica
// until a time.
func (t *Table) RecordNoPermit(k *Reservation, rank int, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.replica.permits.none(rank, until)
}

// RecordPermit records that a request has a permit at its replica until a time.
func (t *Table) RecordPermit(k *Reservation, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.permitUntil = until
}

// Limit returns what is believed of how much a life of a replica takes.
func (t *Table) Limit(l fleet.Incarnation) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.replicas[l.ID]; r != nil && r.Matches(l) {
		return r.limit
	}
	return t.past[l].limit
}

// sentFor is how long a send counts in what was sent of late.
const sentFor = 4 * time.Second

// sends is when requests were sent to a replica of late, the oldest first.
type sends []time.Time

func (s *sends) add(now time.Time) {
	s.forget(now)
	*s = append(*s, now)
}

func (s *sends) forget(now time.Time) {
	n := 0
	for n < len(*s) && now.Sub((*s)[n]) >= sentFor {
		n++
	}
	*s = (*s)[n:]
}
