package route

import (
	"fmt"
	"strings"
	"time"
)

// standing is whether a replica may be chosen, and if not why.
type standing int

const (
	usable standing = iota
	// These are used where there is nobody else.
	ejected // It failed of late.
	full    // It refused for want of room a moment ago.
	// These are not used at all.
	changing // It is about to take another version.
	leaving
	gone     // The list lacks it.
	excluded // By who asks.
	unfit    // It does not hold what is asked for, or could not begin in time.
	standings
)

var standingNames = [standings]string{"usable", "ejected", "full", "changing", "leaving", "gone", "excluded", "unfit"}

// Seen counts the replicas of a service by how they stood when one was chosen.
type Seen [standings]int

// String lists the counts that are not zero, as "name=count" words.
func (s Seen) String() string {
	var words []string
	for i, n := range s {
		if n > 0 {
			words = append(words, fmt.Sprintf("%s=%d", standingNames[i], n))
		}
	}
	return strings.Join(words, ",")
}

// standing says whether r may be chosen.
func (t *Table) standing(now time.Time, r *Replica, a Ask) standing {
	switch {
	case !r.LeftAt.IsZero():
		return leaving
	case !t.lasts(now, r):
		return gone
	case a.Exclude[r.ID]:
		return excluded
	case !r.fits(now, t.engines[a.Service], a):
		return unfit
	case r.Engine && r.heard(now) && r.Report.Changing:
		return changing
	case r.ejected.After(now):
		return ejected
	case r.full.After(now):
		return full
	}
	return usable
}
