package route

import (
	"strconv"
	"time"

	"github.com/poststand/poststand/internal/times"
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

// same reports whether l and o allow the same.
func (l Limit) same(o Limit) bool { return l.Named == o.Named && l.PerSecond == o.PerSecond }

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
