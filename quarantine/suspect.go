package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Bounds of what is kept of one request.
const (
	mostRounds  = 6 // The highest,
	mostOfRound = 4 // and so many strikes of each.
)

// Strike is one run of a request during which its replica ended.
type Strike struct {
	Replica string    // That ended.
	Round   int       // One more than the highest that was known when the request was sent; from 1.
	At      time.Time // When it ended, by this process's clock.
}

// sameEnd reports whether two strikes are of one end of a replica: one that starts again
// under its name takes longer for that.
func (s Strike) sameEnd(o Strike) bool {
	return s.Replica == o.Replica && s.At.Sub(o.At).Abs() <= near
}

// suspect is a request under which a replica ended.
type suspect struct {
	key     Key
	epoch   uint64    // How often it was cleared. What is of an older epoch is void.
	strikes []Strike  // Those of the highest rounds first.
	count   int       // Of the strikes that count beside one another: see count.
	until   time.Time // It is quarantined until then; zero if it never was.
	changed time.Time // When something was last learnt of it,
	untold  int       // and in how many messages that is yet to be told.
}

// round returns the highest round of s, 0 without any strike.
func (s *suspect) round() int {
	if len(s.strikes) == 0 {
		return 0
	}
	return s.strikes[0].Round
}

// forget drops all strikes, and begins an epoch.
func (s *suspect) forget(epoch uint64) {
	s.epoch = epoch
	s.strikes, s.count, s.until = nil, 0, time.Time{}
}

// An end counts beside the one before it after apart, if the request was sent again in
// between by somebody who knew of that one, and after later in any case: tries that overlap
// know nothing of each other. Replicas that end sooner after one another may well have one
// cause, and a request that does no harm is met by several of them.
const (
	apart = 150 * time.Millisecond
	later = 300 * time.Millisecond
)

// count returns how many of some strikes count beside one another: see apart and later.
func count(strikes []Strike) int {
	byTime := slices.Clone(strikes)
	slices.SortFunc(byTime, func(a, b Strike) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Round, b.Round)) })
	n := 0
	var before Strike
	for _, s := range byTime {
		since := s.At.Sub(before.At)
		if n == 0 || since >= later || since >= apart && s.Round > before.Round {
			n, before = n+1, s
		}
	}
	return n
}

// span returns when the first and the last of some strikes were, zero without any.
func span(strikes []Strike) (first, last time.Time) {
	for i, k := range strikes {
		if i == 0 {
			first = k.At
		}
		first, last = times.Earlier(first, k.At), times.Later(last, k.At)
	}
	return first, last
}

// add takes a strike, and reports whether it was news. Of one end the lowest round holds:
// a replica that ends under several copies of a request is one strike. Of too many, those
// of the lowest rounds go, and of a round those with the highest names: processes that tell
// one another all that they know come to keep the same ones.
func (s *suspect) add(k Strike) bool {
	if i := slices.IndexFunc(s.strikes, k.sameEnd); i >= 0 {
		if s.strikes[i].Round <= k.Round {
			return false
		}
		s.strikes = slices.Delete(s.strikes, i, i+1)
	}
	s.strikes = append(s.strikes, k)
	slices.SortFunc(s.strikes, func(a, b Strike) int {
		return cmp.Or(cmp.Compare(b.Round, a.Round), strings.Compare(a.Replica, b.Replica))
	})
	kept := s.strikes[:0]
	seen, of := 0, 0 // Rounds, and strikes of the last one.
	for i, o := range s.strikes {
		if i == 0 || o.Round != s.strikes[i-1].Round {
			seen, of = seen+1, 0
		}
		if of++; seen <= mostRounds && of <= mostOfRound {
			kept = append(kept, o)
		}
	}
	s.strikes, s.count = kept, count(kept)
	return slices.ContainsFunc(kept, k.sameEnd)
}

// verdict returns what is known of s.
func (s *suspect) verdict(now time.Time) Status {
	v := Status{Epoch: s.epoch, Round: s.round(), Strikes: slices.Clone(s.strikes)}
	if s.until.After(now) {
		v.Until = s.until
	}
	return v
}
