package route

import (
	"time"

	"github.com/poststand/poststand/internal/times"
)

// coldStart is how many requests a service's replicas bear while they are cold.
type coldStart struct {
	perSecond float64       // From all gateways together.
	lasts     time.Duration // After a start.
}

// isCold reports whether the replica is cold, so that requests to it need permits.
func (t *Table) isCold(now time.Time, r *Replica) bool { return t.coldRate(now, r) > 0 }

// coldRate returns how many requests per second the replica bears while it is cold, or 0 if it is
// not.
func (t *Table) coldRate(now time.Time, r *Replica) float64 {
	if !r.coldUntil.After(now) {
		return 0
	}
	return t.coldStarts[r.Service].perSecond
}

// SetDrainedHalls replaces the halls whose replicas get no requests. Replicas of a hall that is
// reopened had nothing to do meanwhile and may have turned cold, which their entries show later:
// until then all gateways would take them for idle.
func (t *Table) SetDrainedHalls(now time.Time, halls map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.replicas {
		if t.drainedHalls[r.Hall] && !halls[r.Hall] {
			r.coldUntil = times.Later(r.coldUntil, now.Add(t.coldStarts[r.Service].lasts))
		}
	}
	t.drainedHalls = halls
}

// needsPermit reports whether a request to the replica needs a permit.
func (t *Table) needsPermit(now time.Time, r *Replica) bool { return r.limit.Named || t.isCold(now, r) }

// withoutPermits returns those of rs that need no permit, or all if each does.
func (t *Table) withoutPermits(now time.Time, rs []*Replica) []*Replica {
	var out []*Replica
	for _, r := range rs {
		if !t.needsPermit(now, r) {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return rs
	}
	return out
}
