package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Bounds of the strikes kept for one request.
const (
	maxRounds   = 6 // The highest rounds are kept,
	maxPerRound = 4 // with this many strikes each.
)

// Strike is one execution of a request during which the replica terminated.
type Strike struct {
	Replica string    // The replica that terminated.
	Round   int       // One more than the highest round known to the sender when it sent the request; from 1.
	At      time.Time // Time of the termination, by the clock of this process.
}

// sameTermination reports whether two strikes are of the same termination of a replica. A
// replica that restarts under the same name takes longer than coincidence to do so.
func (s Strike) sameTermination(o Strike) bool {
	return s.Replica == o.Replica && s.At.Sub(o.At).Abs() <= coincidence
}

// KeyStrike is a strike against one key of a request that was sent in an epoch of that key.
type KeyStrike struct {
	Key   Key
	Epoch uint64
	Strike
}

// suspect is a key of requests under which a replica terminated.
type suspect struct {
	key              Key
	epoch            uint64    // How often it was cleared. Strikes of an older epoch are void.
	strikes          []Strike  // Highest rounds first.
	independent      int       // Number of independent strikes; see countIndependent.
	quarantinedAt    time.Time // When its quarantine began here; zero if it was never quarantined.
	quarantinedUntil time.Time // Zero if it was never quarantined.
	changedAt        time.Time // When new information about it was last recorded.
	sendsLeft        int       // In how many messages that is still to be reported.
	trialUntil       time.Time // Until when a request that was sent on trial may be running.
}

// round returns the highest round of s, or 0 if it has no strikes.
func (s *suspect) round() int {
	if len(s.strikes) == 0 {
		return 0
	}
	return s.strikes[0].Round
}

// reset drops all strikes and starts an epoch.
func (s *suspect) reset(epoch uint64) {
	s.epoch = epoch
	s.strikes, s.independent = nil, 0
	s.quarantinedAt, s.quarantinedUntil, s.trialUntil = time.Time{}, time.Time{}, time.Time{}
}

// compareEvidence compares the strikes of two suspects by their number, of independent ones first.
func (s *suspect) compareEvidence(o *suspect) int {
	return cmp.Or(cmp.Compare(s.independent, o.independent), cmp.Compare(len(s.strikes), len(o.strikes)))
}

// sameReplicas reports whether the strikes of two suspects are at the same replicas.
func (s *suspect) sameReplicas(o *suspect) bool {
	if len(s.strikes) != len(o.strikes) {
		return false
	}
	for _, strike := range s.strikes {
		if !slices.ContainsFunc(o.strikes, func(other Strike) bool { return other.Replica == strike.Replica }) {
			return false
		}
	}
	return true
}

// quarantineEnd returns when a quarantine for the strikes of s ends. Each trial that failed, which
// is a strike that came after the end of a quarantine, doubles its length.
func (s *suspect) quarantineEnd() time.Time {
	const maxDoublings = 2
	byTime := slices.SortedFunc(slices.Values(s.strikes), func(a, b Strike) int { return a.At.Compare(b.At) })
	doublings := 0
	for i := 1; i < len(byTime) && doublings < maxDoublings; i++ {
		if byTime[i].At.Sub(byTime[i-1].At) >= Duration<<doublings {
			doublings++
		}
	}
	return byTime[len(byTime)-1].At.Add(Duration << doublings)
}

// A strike is independent of the one before it after minGapNextRound if the request was sent
// again in between by a process that had a record of the earlier strike, and after minGap in
// any case, since overlapping attempts are sent without a record of each other. Replicas that
// terminate closer together may well have one common cause, in which case a harmless request
// meets several of them.
const (
	minGapNextRound = 150 * time.Millisecond
	minGap          = 300 * time.Millisecond
)

// countIndependent returns how many strikes are independent of each other; see minGap.
func countIndependent(strikes []Strike) int {
	byTime := slices.Clone(strikes)
	slices.SortFunc(byTime, func(a, b Strike) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Round, b.Round)) })
	n := 0
	var prev Strike
	for _, s := range byTime {
		since := s.At.Sub(prev.At)
		if n == 0 || since >= minGap || since >= minGapNextRound && s.Round > prev.Round {
			n, prev = n+1, s
		}
	}
	return n
}

// span returns the times of the first and the last strike; zero if there is none.
func span(strikes []Strike) (first, last time.Time) {
	for i, strike := range strikes {
		if i == 0 {
			first = strike.At
		}
		first, last = times.Earlier(first, strike.At), times.Later(last, strike.At)
	}
	return first, last
}

// add records a strike and reports whether it is new. Of several strikes of one termination,
// the one with the lowest round is kept: a replica that terminates under several copies of a
// request is one strike. If there are too many strikes, those of the lowest rounds are dropped,
// and within a round those with the highest replica names, so that processes that exchange all
// their records end up with the same strikes.
func (s *suspect) add(strike Strike) bool {
	if i := slices.IndexFunc(s.strikes, strike.sameTermination); i >= 0 {
		if s.strikes[i].Round <= strike.Round {
			return false
		}
		s.strikes = slices.Delete(s.strikes, i, i+1)
	}
	s.strikes = append(s.strikes, strike)
	slices.SortFunc(s.strikes, func(a, b Strike) int {
		return cmp.Or(cmp.Compare(b.Round, a.Round), strings.Compare(a.Replica, b.Replica))
	})
	kept := s.strikes[:0]
	rounds, inRound := 0, 0 // Rounds so far, and strikes in the last of them.
	for i, o := range s.strikes {
		if i == 0 || o.Round != s.strikes[i-1].Round {
			rounds, inRound = rounds+1, 0
		}
		if inRound++; rounds <= maxRounds && inRound <= maxPerRound {
			kept = append(kept, o)
		}
	}
	s.strikes, s.independent = kept, countIndependent(kept)
	return slices.ContainsFunc(kept, strike.sameTermination)
}

// status returns the current Status of s.
func (s *suspect) status(now time.Time) Status {
	st := Status{Epoch: s.epoch, Round: s.round(), Strikes: slices.Clone(s.strikes)}
	if s.quarantinedUntil.After(now) {
		st.Until = s.quarantinedUntil
	}
	return st
}
