package stager

import (
	"slices"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/weights"
)

// Rolling: the replicas take a version one after the other, spread over the time
// between the first that can have it and the end of the older ones' time, so that
// as few as possible finish what they run at the same moment.
const (
	rollMargin  = 700 * time.Millisecond // Before the older versions' time is over.
	spreadLinks = 1.4                    // Copies that a box's link carries until the first has a whole.
)

// fewWithin is for how long before the end of a version's time few pieces are on their way
// to a box whose replica holds it: if its link narrows, they lie before requests.
const fewWithin = 3700 * time.Millisecond

// nearEnd reports whether the time of a version that was overtaken then is nearly over.
func (s *Stager) nearEnd(now, overtaken time.Time) bool {
	left := overtaken.Add(s.bounds.Load().VersionWithin).Sub(now)
	return !overtaken.IsZero() && left > 0 && left <= fewWithin
}

// turn is when the replica may change, or zero for at once: one that serves
// nothing need not wait. It is never before the weights are here.
func (s *Stager) turn(a *peers.Assignment, rep Report, wanted catalog.Target, to candidate) time.Time {
	if rep.Version == 0 || rep.Version == a.Version {
		return time.Time{}
	}
	place := placeOf(a, s.exchange.Self)
	lead := time.Duration(spreadLinks * float64(a.VersionBytes) / s.linkRate() * float64(time.Second))
	begin := to.wholeAt
	if begin.IsZero() {
		begin = times.Later(wanted.SupersededAt(to.version-1).Add(lead), to.wholeBy)
	}
	return turnOf(wanted, rep.Version, begin, s.bounds.Load().VersionWithin-rollMargin, place)
}

// placeOf is a replica's place among all that change, from 0 to under 1: those of
// a hall one after the other, and the halls by turns. It is pure.
func placeOf(a *peers.Assignment, self weights.Member) float64 {
	var here, halls []string
	for _, r := range a.Replicas {
		if r.Leaving || r.Version == 0 {
			continue
		}
		if !slices.Contains(halls, r.Hall) {
			halls = append(halls, r.Hall)
		}
		if r.Hall == self.Hall {
			ip, _ := splitAddr(r.Addr)
			here = append(here, ip)
		}
	}
	place := float64(rendezvous.Position(a.Model, self.Name, here))
	slices.Sort(halls)
	turn := float64(max(0, slices.Index(halls, self.Hall))) / float64(max(1, len(halls)))
	return min(1, (place+turn)/float64(max(1, len(here))))
}

// turnOf is when the replica at a place among all changes from a version: spread from
// begin, when the next one is here, to when the time of its own version is over, within
// after that was overtaken. Where weights come late, what time is left is shared by all:
// if each kept to the turn that it would have had, most would have their turns behind
// them and change at the same moment. It is pure.
func turnOf(w catalog.Target, from uint64, begin time.Time, within time.Duration, place float64) time.Time {
	overtaken := w.SupersededAt(from)
	if overtaken.IsZero() {
		return time.Time{}
	}
	span := max(0, overtaken.Add(within).Sub(begin))
	return begin.Add(time.Duration(float64(span) * place))
}
