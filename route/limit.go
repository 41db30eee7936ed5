package route

import (
	"strconv"
	"time"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/limit"
)

// Limit is the request rate that a replica accepts from all gateways together, as stated in an
// answer. The zero value, used for a replica that has not answered yet, means that no limit is
// stated.
type Limit struct {
	Named     bool      // Whether a limit is stated.
	PerSecond float64   // At least 0; 0 if no limit is stated.
	Asked     time.Time // When the request was sent: the answer was made later.
	Heard     time.Time // When the answer was received: it was made earlier.
}

// String returns the limit in requests per second, or "none".
func (l Limit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// SameRate reports whether l and o allow the same rate.
func (l Limit) SameRate(o Limit) bool { return l.Named == o.Named && l.PerSecond == o.PerSecond }

// lowerThan reports whether l allows a lower rate than o.
func (l Limit) lowerThan(o Limit) bool {
	return l.Named && (!o.Named || l.PerSecond < o.PerSecond)
}

// merge returns the limit in force after o is received when l was in force. Answers can arrive
// out of order: where it is not certain which of the two is newer, the lower limit holds.
func (l Limit) merge(o Limit) Limit {
	switch {
	case !o.Asked.Before(l.Heard):
		return o
	case !l.Asked.Before(o.Heard), l.lowerThan(o):
		return l
	case o.lowerThan(l):
		return o
	}
	l.Asked, l.Heard = times.Later(l.Asked, o.Asked), times.Later(l.Heard, o.Heard)
	return l
}

// permitState is a gateway's record of the permits for a replica that has a rate limit.
type permitState struct {
	// deniedUntil is, for each rank of requests, the time until which no permit is to be
	// requested.
	deniedUntil [limit.NumRanks]time.Time
}

// deny records that requests of a rank and of less urgent ranks get no permit until a time.
func (p *permitState) deny(rank int, until time.Time) {
	for i := clampRank(rank); i < limit.NumRanks; i++ {
		p.deniedUntil[i] = times.Later(p.deniedUntil[i], until)
	}
}

// clampRank maps ranks beyond the least urgent one to the least urgent one.
func clampRank(rank int) int { return max(0, min(limit.NumRanks-1, rank)) }

// availableAt returns when a permit may be requested again for a request of a rank.
func (p *permitState) availableAt(rank int) time.Time {
	return p.deniedUntil[clampRank(rank)]
}

// RecordNoPermit records that requests of a rank and of less urgent ranks get no permit for the
// reserved replica until a time.
func (t *Table) RecordNoPermit(res *Reservation, rank int, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	res.replica.permits.deny(rank, until)
}

// RecordPermit records that a request holds a permit for its reserved replica until a time.
func (t *Table) RecordPermit(res *Reservation, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	res.permitUntil = until
}

// RecordColdPermit records that a request holds a permit for its reserved replica, which is cold,
// until a time.
func (t *Table) RecordColdPermit(res *Reservation, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	res.coldPermitUntil = until
}

// Limit returns the rate limit currently in force for an incarnation of a replica.
func (t *Table) Limit(inc fleet.Incarnation) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.replicas[inc.ID]; r != nil && r.Matches(inc) {
		return r.limit
	}
	return t.past[inc].limit
}

// sendWindow is how long a sent request is counted by RecordSend.
const sendWindow = 4 * time.Second

// recentSends is when requests were sent to a replica within sendWindow, oldest first.
type recentSends []time.Time

func (s *recentSends) add(now time.Time) {
	s.expire(now)
	*s = append(*s, now)
}

func (s *recentSends) expire(now time.Time) {
	n := 0
	for n < len(*s) && now.Sub((*s)[n]) >= sendWindow {
		n++
	}
	*s = (*s)[n:]
}
