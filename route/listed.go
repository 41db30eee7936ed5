package route

import (
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
)

// Sync takes the list of upstreams and the engines of services. It returns the IDs
// of those that the list lacks from now on and that are used all the same.
func (t *Table) Sync(now time.Time, ups map[string]fleet.Upstream, services map[string]config.Service) (lapsed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.replicas
	t.replicas = make(map[string]*Replica, len(ups))
	t.byAddr = make(map[string]*Replica, len(ups))
	t.services = map[string][]*Replica{}
	t.engines = map[string]config.Engine{}
	for name, s := range services {
		t.engines[name] = s.Engine
	}
	for id, u := range ups {
		r := t.lived(now, old[id], u.Incarnation)
		if !u.Before(r.Incarnation) {
			r.list(now, u)
		}
		t.keep(r)
	}
	for id, r := range old {
		if t.replicas[id] == r {
			continue
		}
		if t.replicas[id] != nil || t.byAddr[r.Addr] != nil || !r.lives(now) {
			t.remember(now, r)
			continue
		}
		if r.goneAt.IsZero() {
			r.goneAt = now
			lapsed = append(lapsed, id)
		}
		if t.lasts(now, r) {
			t.keep(r)
		} else {
			t.remember(now, r)
		}
	}
	t.forget(now)
	return lapsed
}

// list takes the list's entry of the replica.
func (r *Replica) list(now time.Time, u fleet.Upstream) {
	if u.Version != r.Version {
		r.misled = time.Time{} // This is news of what it holds.
	}
	if u.Born == 0 {
		u.Born = r.Born
	}
	r.Upstream = u
	if u.Leaving && r.leftAt.IsZero() {
		r.leftAt = now
	}
	r.goneAt = time.Time{}
}

// SetDelistGrace changes Lapse from now on.
func (t *Table) SetDelistGrace(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.DelistGrace = d
}

func (t *Table) keep(r *Replica) {
	t.replicas[r.ID] = r
	t.services[r.Service] = append(t.services[r.Service], r)
	t.byAddr[r.Addr] = r
}

// lasts reports whether a replica is in the list, or has not lacked there for long.
func (t *Table) lasts(now time.Time, r *Replica) bool {
	return r.goneAt.IsZero() || now.Sub(r.goneAt) < t.DelistGrace
}

// lives reports whether a replica that does not leave has shown life of late, by its
// agent's report or by an answer.
func (r *Replica) lives(now time.Time) bool {
	return r.leftAt.IsZero() && (r.heard(now) && r.reportAge(now) < freshReport || now.Sub(r.alive) < freshReport)
}

// InUse reports whether requests may still go to a replica in this life of it.
func (t *Table) InUse(l fleet.Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[l.ID]
	return r != nil && r.Matches(l) && r.leftAt.IsZero() && t.lasts(now, r)
}

// UpdateReport takes an agent's report of the replica at an address, unless a newer one is
// here: reports come on several ways.
func (t *Table) UpdateReport(addr string, w AgentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byAddr[addr]; r != nil && !w.ReceivedAt.Before(r.Report.ReceivedAt) {
		if w.takes() && !r.Report.takes() {
			r.backAt = w.ReceivedAt
		}
		if w.SlowLink {
			r.slowUntil = w.ReceivedAt.Add(slowLinkFor)
		}
		r.Report = w
		switch {
		case !w.Changing:
			r.changing = time.Time{}
		case r.changing.IsZero():
			r.changing = w.ReceivedAt
		}
		r.ownThen = r.reading + r.writing
	}
}

// takes reports whether the replica takes requests, by its agent's report.
func (w *AgentReport) takes() bool { return w.Version > 0 && !w.Changing }

// ChangingFor returns for how long a replica has waited for what it runs, to take
// another version; 0 if it does not.
func (t *Table) ChangingFor(now time.Time, k *Reservation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.replica.changing.IsZero() {
		return 0
	}
	return now.Sub(k.replica.changing)
}

// version is what the replica holds, by the newest report of it. The caller holds
// t.mu.
func (r *Replica) version(now time.Time) uint64 {
	v := max(r.Version, r.served)
	if r.heard(now) {
		return r.Report.Version
	}
	return v
}

func (r *Replica) heard(now time.Time) bool {
	return !r.Report.ReceivedAt.IsZero() && now.Sub(r.Report.ReceivedAt) < agentReportExpires
}

func (r *Replica) reportAge(now time.Time) time.Duration {
	if r.Report.ReceivedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(r.Report.ReceivedAt)
}

// CountByVersion returns how many replicas of a service hold each version and leave
// not.
func (t *Table) CountByVersion(now time.Time, service string) map[uint64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint64]int{}
	for _, r := range t.services[service] {
		if r.leftAt.IsZero() && t.lasts(now, r) {
			out[r.version(now)]++
		}
	}
	return out
}
