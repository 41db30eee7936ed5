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

// Parameters of the rolling update. The replicas load a version one after the other,
// spread over the time from when the first box has it until the older version expires, so
// that as few as possible drain their running requests at the same time.
const (
	rollMargin      = 700 * time.Millisecond // The last replica changes this long before the older version expires.
	firstCopyFactor = 1.4                    // Time until the first box has a complete copy, in times that a box's link needs for one.
)

// From nearExpiry until lastSend before a version expires, the chunks in flight to boxes whose
// replicas hold it are limited: if such a box's link slows down, requests queue behind them.
// Gateways send no request for the version later than that.
const (
	nearExpiry = 3700 * time.Millisecond
	lastSend   = time.Second
)

// expiresSoon reports whether a version that was superseded at the given time is within
// nearExpiry of its expiry, and requests may still be sent to it.
func (s *Stager) expiresSoon(now, supersededAt time.Time) bool {
	left := supersededAt.Add(s.bounds.Load().VersionWithin).Sub(now)
	return !supersededAt.IsZero() && left > lastSend && left <= nearExpiry
}

// changeTime returns when the replica may change its version, or zero for at once: a replica
// that serves nothing need not wait. Any other time is not before the weights are on the box,
// or are expected there.
func (s *Stager) changeTime(a *peers.Assignment, rep Report, target catalog.Target, next candidate) time.Time {
	if rep.Version == 0 || rep.Version == a.Version {
		return time.Time{}
	}
	position := rollPosition(a, s.exchange.Self)
	lead := time.Duration(firstCopyFactor * float64(a.VersionBytes) / s.linkRate() * float64(time.Second))
	begin := next.completeAt
	if begin.IsZero() {
		begin = times.Later(target.SupersededAt(next.version-1).Add(lead), next.completeBy)
	}
	return scheduleChange(target, rep.Version, begin, s.bounds.Load().VersionWithin-rollMargin, position)
}

// rollPosition returns a replica's position in the rolling update, from 0 to just under 1:
// the replicas of a hall follow one another, interleaved with those of the other halls. It
// is a pure function.
func rollPosition(a *peers.Assignment, self weights.Member) float64 {
	var sameHall, halls []string
	for _, r := range a.Replicas {
		if r.Leaving || r.Version == 0 {
			continue
		}
		if !slices.Contains(halls, r.Hall) {
			halls = append(halls, r.Hall)
		}
		if r.Hall == self.Hall {
			ip, _ := splitAddr(r.Addr)
			sameHall = append(sameHall, ip)
		}
	}
	index := float64(rendezvous.Position(a.Model, self.Name, sameHall))
	slices.Sort(halls)
	offset := float64(max(0, slices.Index(halls, self.Hall))) / float64(max(1, len(halls)))
	return min(1, (index+offset)/float64(max(1, len(sameHall))))
}

// scheduleChange returns when the replica at a position of the rolling update changes from
// a version. The changes are spread from begin, when the next version is on the box, to
// the expiry of the version that the replica serves, which is within after that was
// superseded. If weights arrive late, all replicas share the time that is left: with fixed
// times most would be past theirs and change at the same moment. It is a pure function.
func scheduleChange(target catalog.Target, from uint64, begin time.Time, within time.Duration, position float64) time.Time {
	supersededAt := target.SupersededAt(from)
	if supersededAt.IsZero() {
		return time.Time{}
	}
	span := max(0, supersededAt.Add(within).Sub(begin))
	return begin.Add(time.Duration(float64(span) * position))
}
