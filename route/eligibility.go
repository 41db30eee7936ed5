package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/poststand/poststand/fault"
)

// eligibility is the result of checking whether a replica may be chosen: usable, or the reason
// why not.
type eligibility int

const (
	usable eligibility = iota
	// These replicas are used only if no other is available.
	ejected // It failed recently.
	full    // It recently refused a request for lack of capacity.
	// These replicas are never used.
	leaving
	delisted    // The platform's list no longer contains it.
	unsuitable  // It does not hold the requested version, or could not start the request in time.
	backingOff  // It requested a backoff.
	probing     // Its backoff has ended and the first request since then is in progress.
	rateLimited // Its rate limit leaves no permit.
	excluded    // Excluded by the caller.
	changing    // It is about to switch to another version.
	notAllowed  // The request may not be served in its hall.
	hallDrained // The operator has drained its hall.
	numEligibilities
)

var eligibilityNames = [numEligibilities]string{"usable", "ejected", "full", "leaving", "gone", "unfit", "resting", "on_trial", "limited", "excluded", "changing", "not_allowed", "hall_drained"}

// Availability counts the replicas of a service by eligibility at the time of a choice.
type Availability struct {
	Count [numEligibilities]int
	// BackAt is the earliest time at which a replica that is backing off or has no permit
	// accepts requests again; zero if there is no such replica.
	BackAt time.Time
}

// noteBackAt records when a replica that is backing off or has no permit accepts requests
// again.
func (a *Availability) noteBackAt(at time.Time) {
	if a.BackAt.IsZero() || at.Before(a.BackAt) {
		a.BackAt = at
	}
}

// failureCode returns the reason why no replica could be chosen. It is a backoff or a rate
// limit only if no other replica could accept requests before one that is backing off or
// limited.
func (a *Availability) failureCode() fault.Code {
	total := 0
	for _, n := range a.Count {
		total += n
	}
	switch {
	case total == 0:
	case a.Count[notAllowed] == total:
		return fault.NoAllowedRegion
	case a.Count[notAllowed]+a.Count[hallDrained] == total:
		return fault.HallsDrained
	}
	if a.BackAt.IsZero() || a.Count[excluded] > 0 || a.Count[changing] > 0 {
		return fault.NoUpstream
	}
	if a.Count[rateLimited] > 0 {
		return fault.UpstreamLimited
	}
	return fault.UpstreamBackingOff
}

// String lists the non-zero counts as comma-separated "name=count" pairs.
func (a Availability) String() string {
	var words []string
	for i, n := range a.Count {
		if n > 0 {
			words = append(words, fmt.Sprintf("%s=%d", eligibilityNames[i], n))
		}
	}
	return strings.Join(words, ",")
}

// eligibility returns whether r may be chosen for a request, or why not.
func (t *Table) eligibility(now time.Time, r *Replica, crit Criteria) eligibility {
	switch {
	case crit.AllowsHall != nil && !crit.AllowsHall(r.Hall):
		return notAllowed
	case t.drainedHalls[r.Hall]:
		return hallDrained
	case !r.leavingSince.IsZero():
		return leaving
	case !t.withinGrace(now, r):
		return delisted
	case !r.suitable(now, t.engines[crit.Service], crit):
		return unsuitable
	case r.backoffUntil.After(now):
		return backingOff
	case r.needsProbe && now.Sub(r.probedAt) < probeTimeout:
		return probing
	case t.needsPermit(now, r) && r.permits.availableAt(crit.Rank).After(now):
		return rateLimited
	case crit.Exclude[r.ID]:
		return excluded
	case r.Engine && r.hasReport(now) && r.Report.Changing:
		return changing
	case r.ejectedUntil.After(now):
		return ejected
	case r.fullUntil.After(now):
		return full
	}
	return usable
}
