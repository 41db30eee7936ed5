package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Report is the record of a key that is sent to other processes. Clocks differ between
// processes, so times are sent as ages.
type Report struct {
	Key       Key
	Epoch     uint64
	Strikes   []ReportedStrike
	Remaining time.Duration // Rest of its quarantine; zero if it is not quarantined.
}

// ReportedStrike is a Strike in a Report.
type ReportedStrike struct {
	Replica string
	Round   int
	Age     time.Duration
}

// Bounds of the reports in messages; a report takes about 100 bytes.
const (
	maxReports = 8 // Per message.
	// reportRepeats is in how many messages a change is reported, and reportFor for how long at
	// most. Every process that receives a change reports it as often, so that it reaches all
	// even if messages are lost. When a hall loses power, thousands of requests that are never
	// repeated are reported.
	reportRepeats = 16
	reportFor     = 10 * time.Second
	sharedStrikes = 2 // A request with this many strikes is reported without delay and shared with all processes.
)

// announce has a change of s reported to other processes. The caller holds t.mu.
func (t *Table) announce(now time.Time, s *suspect) {
	t.enqueue(now, s)
	if s.isShared(now) {
		t.shared[s.key] = s
		t.signalUrgent()
	}
}

// enqueue adds s to the next reports. The caller holds t.mu.
func (t *Table) enqueue(now time.Time, s *suspect) {
	s.changedAt, s.sendsLeft = now, reportRepeats
	t.pending[s.key] = s
}

// signalUrgent has changes reported soon. The caller holds t.mu.
func (t *Table) signalUrgent() {
	close(t.urgent)
	t.urgent = make(chan struct{})
}

// isShared reports whether s is shared with all processes, including those that start later.
// Requests with a single strike are numerous, and it is enough to report those when the strike
// happens. If nothing were shared, a gateway that has just started would have no record of
// strikes: one sent a request under which four replicas had already terminated.
func (s *suspect) isShared(now time.Time) bool {
	return len(s.strikes) >= sharedStrikes || s.quarantinedUntil.After(now)
}

// UrgentUpdate returns a channel that is closed when a change should be reported soon.
func (t *Table) UrgentUpdate() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.urgent
}

// Digest returns a digest of the shared requests. It is equal at processes that have the same
// ones, and 0 if there are none.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest(now)
}

func (t *Table) digest(now time.Time) uint64 {
	var d uint64
	for k, s := range t.shared {
		switch {
		case s.quarantinedUntil.After(now):
			d ^= binary.LittleEndian.Uint64(k[:])
		case s.isShared(now):
			d ^= binary.LittleEndian.Uint64(k[8:])
		default:
			delete(t.shared, k)
		}
	}
	return d
}

// PendingReports returns the reports for a process whose last received Digest is digest: recent
// changes, those with the most independent strikes first, and, if its digest differs from the
// one of t, some of the shared requests.
func (t *Table) PendingReports(now time.Time, digest uint64) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*suspect
	for k, s := range t.pending { // In random order, so that all are reported in time.
		if s.sendsLeft == 0 || now.Sub(s.changedAt) >= reportFor {
			delete(t.pending, k)
			continue
		}
		chosen = insertRanked(chosen, s)
	}
	if t.digest(now) != digest {
		for _, s := range t.shared {
			if !slices.Contains(chosen, s) {
				chosen = insertRanked(chosen, s)
			}
		}
	}
	var out []Report
	for _, s := range chosen {
		s.sendsLeft = max(0, s.sendsLeft-1)
		out = append(out, s.report(now))
	}
	return out
}

// Reports returns the reports of some keys, for all processes at once.
func (t *Table) Reports(now time.Time, keys []Key) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, k := range keys {
		if s := t.suspects[k]; s != nil {
			out = append(out, s.report(now))
		}
	}
	return out
}

// Quarantined returns the quarantined keys, for a process that only keeps them for others.
// If there are too many, those that were quarantined last are returned, in the order of their
// keys.
func (t *Table) Quarantined(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, s := range t.shared {
		if s.quarantinedUntil.After(now) {
			out = append(out, s.report(now))
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(b.Remaining, a.Remaining) })
	out = out[:min(maxReports, len(out))]
	slices.SortFunc(out, func(a, b Report) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}

// insertRanked inserts a suspect into the chosen ones, ordered by independent strikes, and
// drops the last one if there are too many.
func insertRanked(chosen []*suspect, s *suspect) []*suspect {
	i := len(chosen)
	for i > 0 && chosen[i-1].independent < s.independent {
		i--
	}
	if i == maxReports {
		return chosen
	}
	chosen = slices.Insert(chosen, i, s)
	return chosen[:min(maxReports, len(chosen))]
}

func (s *suspect) report(now time.Time) Report {
	r := Report{Key: s.key, Epoch: s.epoch, Remaining: max(0, s.quarantinedUntil.Sub(now))}
	for _, strike := range s.strikes {
		r.Strikes = append(r.Strikes, ReportedStrike{Replica: strike.Replica, Round: strike.Round, Age: now.Sub(strike.At)})
	}
	return r
}

// Merge records the reports of another process, received at now in response to a request sent
// at requestedAt, or unsolicited with requestedAt equal to now. It returns the requests that
// became quarantined and, with Cleared set, those that no longer are.
func (t *Table) Merge(requestedAt, now time.Time, rs []Report) map[Key]Status {
	if len(rs) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.sweep(now)
	out := map[Key]Status{}
	for i := range rs {
		r := &rs[i]
		s := t.suspects[r.Key]
		if s == nil {
			s = t.insert(r.Key)
		}
		wasQuarantined := s.quarantinedUntil.After(now)
		if t.mergeReport(requestedAt, now, s, r) {
			t.evaluate(now, s)
			t.announce(now, s)
		}
		if isQuarantined := s.quarantinedUntil.After(now); wasQuarantined != isQuarantined {
			st := s.status(now)
			st.Cleared = wasQuarantined
			out[r.Key] = st
		}
	}
	return out
}

// mergeReport merges a report into s, and reports whether it contained anything new.
func (t *Table) mergeReport(requestedAt, now time.Time, s *suspect, r *Report) bool {
	if r.Epoch < s.epoch { // The sender has not received the report that the request was cleared.
		t.enqueue(now, s)
		return false
	}
	changed := r.Epoch > s.epoch
	if changed {
		s.reset(r.Epoch)
	}
	for _, strike := range r.Strikes {
		at := requestedAt.Add(-max(0, strike.Age))
		t.recordTermination(strike.Replica, at)
		if s.add(Strike{Replica: strike.Replica, Round: max(1, strike.Round), At: at}) {
			changed = true
		}
	}
	remaining := min(r.Remaining, Duration)
	if until := requestedAt.Add(remaining); remaining > 0 && until.After(now) && !s.quarantinedUntil.After(now) {
		s.quarantinedAt, s.quarantinedUntil, changed = now, until, true
	}
	return changed
}
