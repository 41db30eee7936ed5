package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/poststand/poststand/fault"
)

// standing is whether a replica may be chosen, and if not why.
type standing int

const (
	usable standing = iota
	// These are used where there is nobody else.
	ejected // It failed of late.
	full    // It refused for want of room a moment ago.
	// These are not used at all.
	leaving
	gone     // The list lacks it.
	unfit    // It does not hold what is asked for, or could not begin in time.
	resting  // It has asked for rest.
	onTrial  // It has rested, and the first request since is under way.
	limited  // The limit that it names leaves no permit.
	excluded // By who asks.
	changing // It is about to take another version.
	standings
)

var standingNames = [standings]string{"usable", "ejected", "full", "leaving", "gone", "unfit", "resting", "on_trial", "limited", "excluded", "changing"}

// Availability is how the replicas of a service stood when one was to be chosen.
type Availability struct {
	Count [standings]int
	// BackAt is when the first of those that rest, or have no permit, takes requests again; zero
	// if there is none.
	BackAt time.Time
}

// back takes note of when a replica that rests, or has no permit, takes requests again.
func (s *Availability) back(at time.Time) {
	if s.BackAt.IsZero() || at.Before(s.BackAt) {
		s.BackAt = at
	}
}

// cause is why none could be chosen. It is rest, or a limit, only if no replica may take
// requests before one that rests or has a limit.
func (s *Availability) cause() fault.Code {
	if s.BackAt.IsZero() || s.Count[excluded] > 0 || s.Count[changing] > 0 {
		return fault.NoUpstream
	}
	if s.Count[limited] > 0 {
		return fault.UpstreamLimited
	}
	return fault.UpstreamResting
}

// String lists the counts that are not zero, as "name=count" words.
func (s Availability) String() string {
	var words []string
	for i, n := range s.Count {
		if n > 0 {
			words = append(words, fmt.Sprintf("%s=%d", standingNames[i], n))
		}
	}
	return strings.Join(words, ",")
}

// standing says whether r may be chosen.
func (t *Table) standing(now time.Time, r *Replica, a Criteria) standing {
	switch {
	case !r.leftAt.IsZero():
		return leaving
	case !t.lasts(now, r):
		return gone
	case !r.fits(now, t.engines[a.Service], a):
		return unfit
	case r.restUntil.After(now):
		return resting
	case r.untried && now.Sub(r.triedAt) < trialFor:
		return onTrial
	case r.limit.Named && r.permits.backAt(a.Rank).After(now):
		return limited
	case a.Exclude[r.ID]:
		return excluded
	case r.Engine && r.heard(now) && r.Report.Changing:
		return changing
	case r.ejected.After(now):
		return ejected
	case r.full.After(now):
		return full
	}
	return usable
}
