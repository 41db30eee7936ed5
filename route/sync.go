package route

import (
	"maps"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/times"
)

// Sync replaces the list of upstreams and the engine settings of services. It returns the IDs
// of replicas that have just disappeared from the list but are still used for DelistGrace.
func (t *Table) Sync(now time.Time, ups map[string]fleet.Upstream, services map[string]config.Service) (inGrace []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.replicas
	t.replicas = make(map[string]*Replica, len(ups))
	t.byAddr = make(map[string]*Replica, len(ups))
	t.services = map[string][]*Replica{}
	t.engines = map[string]config.Engine{}
	t.coldStarts = map[string]coldStart{}
	t.rankings = nil
	for name, s := range services {
		t.engines[name] = s.Engine
		if s.ColdRate > 0 {
			t.coldStarts[name] = coldStart{s.ColdRate, s.ColdFor}
		}
	}
	maps.DeleteFunc(t.toldRetries, func(name string, _ *toldRetries) bool {
		_, configured := services[name]
		return !configured
	})
	for id, u := range ups {
		r := t.replicaFor(now, old[id], u.Incarnation)
		if !u.Before(r.Incarnation) {
			r.updateListing(now, u)
		}
		t.add(r)
	}
	for id, r := range old {
		if t.replicas[id] == r {
			continue
		}
		if t.replicas[id] != nil || t.byAddr[r.Addr] != nil || !r.recentlyActive(now) {
			t.retain(now, r)
			continue
		}
		if r.delistedAt.IsZero() {
			r.delistedAt = now
			inGrace = append(inGrace, id)
		}
		if t.withinGrace(now, r) {
			t.add(r)
		} else {
			t.retain(now, r)
		}
	}
	t.expirePast(now)
	return inGrace
}

// updateListing applies the platform's list entry for the replica.
func (r *Replica) updateListing(now time.Time, u fleet.Upstream) {
	if u.Version != r.Version {
		r.notHeldAt = time.Time{} // The entry is newer than the refusal.
	}
	if u.Born == 0 {
		u.Born = r.Born
	}
	if u.ColdFor != r.ColdFor {
		r.coldUntil = times.Later(r.coldUntil, now.Add(u.ColdFor))
	}
	r.Upstream = u
	if u.Leaving && r.leavingSince.IsZero() {
		r.leavingSince = now
	}
	r.delistedAt = time.Time{}
}

// SetDelistGrace changes DelistGrace.
func (t *Table) SetDelistGrace(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.DelistGrace = d
}

func (t *Table) add(r *Replica) {
	t.replicas[r.ID] = r
	t.services[r.Service] = append(t.services[r.Service], r)
	t.byAddr[r.Addr] = r
}

// withinGrace reports whether a replica is in the list, or has been absent from it for less
// than DelistGrace.
func (t *Table) withinGrace(now time.Time, r *Replica) bool {
	return r.delistedAt.IsZero() || now.Sub(r.delistedAt) < t.DelistGrace
}

// recentlyActive reports whether a replica that is not leaving has recently been reported by
// its agent or has answered a request.
func (r *Replica) recentlyActive(now time.Time) bool {
	return r.leavingSince.IsZero() && (r.hasReport(now) && r.reportAge(now) < freshReportAge || now.Sub(r.answeredAt) < freshReportAge)
}

// InUse reports whether requests may still be sent to an incarnation of a replica.
func (t *Table) InUse(inc fleet.Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[inc.ID]
	return r != nil && r.Matches(inc) && r.leavingSince.IsZero() && t.withinGrace(now, r)
}

// UpdateReport stores an agent's report of the replica at an address, unless a newer one is
// already stored: reports arrive by several paths. Shortly after an answer to a load query, the load
// in a report is older than the answer and is not stored.
func (t *Table) UpdateReport(addr string, rep AgentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byAddr[addr]
	if r == nil || rep.ReceivedAt.Before(r.Report.ReceivedAt) {
		return
	}
	if !r.loadReadAt.IsZero() && rep.ReceivedAt.Sub(r.loadReadAt) < agentSampleInterval {
		rep.Queued, rep.Running, rep.Slowdown = r.Report.Queued, r.Report.Running, r.Report.Slowdown
		r.update(rep)
		return
	}
	r.update(rep)
	r.ownAtReport = r.prefilling + r.decoding
}

// update stores a report.
func (r *Replica) update(rep AgentReport) {
	if rep.accepting() && !r.Report.accepting() {
		r.availableSince = rep.ReceivedAt
	}
	if rep.SlowLink {
		r.slowLinkUntil = rep.ReceivedAt.Add(slowLinkFor)
	}
	r.Report = rep
	switch {
	case !rep.Changing:
		r.changingSince = time.Time{}
	case r.changingSince.IsZero():
		r.changingSince = rep.ReceivedAt
	}
}

// accepting reports whether the replica accepts requests according to the report.
func (rep *AgentReport) accepting() bool { return rep.Version > 0 && !rep.Changing }

// ChangingFor returns for how long a replica has waited for its running requests to end in
// order to switch to another version; 0 if it is not about to switch.
func (t *Table) ChangingFor(now time.Time, res *Reservation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if res.replica.changingSince.IsZero() {
		return 0
	}
	return now.Sub(res.replica.changingSince)
}

// Report returns the newest agent report of the replica that was chosen; zero if there is none.
func (t *Table) Report(res *Reservation) AgentReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return res.replica.Report
}

// version returns the version that the replica holds according to its agent's report or, without
// a current one, the newer of its list entry and its last answer. The caller holds t.mu.
func (r *Replica) version(now time.Time) uint64 {
	v := max(r.Version, r.servedVersion)
	if r.hasReport(now) {
		return r.Report.Version
	}
	return v
}

// hasReport reports whether there is an agent report that has not expired.
func (r *Replica) hasReport(now time.Time) bool {
	return !r.Report.ReceivedAt.IsZero() && now.Sub(r.Report.ReceivedAt) < agentReportTTL
}

// reportAge returns the age of the agent's report, or a negative duration if there is none.
func (r *Replica) reportAge(now time.Time) time.Duration {
	if r.Report.ReceivedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(r.Report.ReceivedAt)
}

// CountByVersion returns how many replicas of a service hold each version, without those that
// are leaving.
func (t *Table) CountByVersion(now time.Time, service string) map[uint64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint64]int{}
	for _, r := range t.services[service] {
		if r.leavingSince.IsZero() && t.withinGrace(now, r) {
			out[r.version(now)]++
		}
	}
	return out
}
