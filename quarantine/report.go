package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Report tells another process of a request. Clocks differ, so times travel as ages.
type Report struct {
	Key       Key
	Epoch     uint64
	Strikes   []ReportedStrike
	Remaining time.Duration // Of its quarantine; zero if it is in none.
}

// ReportedStrike is a Strike as it travels.
type ReportedStrike struct {
	Replica string
	Round   int
	Age     time.Duration
}

// Bounds of what one message tells: some 100 bytes a report.
const (
	mostReports = 8 // In one message,
	// toldTimes is in how many messages a change is told, and toldFor for how long at most.
	// Whoever learns of it tells it as often, so that it reaches all even where some messages
	// are lost. When a hall loses power, thousands of requests are told of that never come
	// again.
	toldTimes = 16
	toldFor   = 10 * time.Second
	soon      = 2 // Others should hear soon of a request with so many ends, and all have to.
)

// tell has a change of s told to others. The caller holds t.mu.
func (t *Table) tell(now time.Time, s *suspect) {
	t.note(now, s)
	if s.weighs(now) {
		t.held[s.key] = s
		t.hurry()
	}
}

// note has s be among what is told next. The caller holds t.mu.
func (t *Table) note(now time.Time, s *suspect) {
	s.changed, s.untold = now, toldTimes
	t.news[s.key] = s
}

// hurry has others told soon. The caller holds t.mu.
func (t *Table) hurry() {
	close(t.urgent)
	t.urgent = make(chan struct{})
}

// weighs reports whether all should know of s, also those that start: of a request with one
// end only, of which there are many, it is enough to be told when it happens. A gateway that
// started knew of no ends before, and sent a request under which four replicas had ended.
func (s *suspect) weighs(now time.Time) bool { return len(s.strikes) >= soon || s.until.After(now) }

// UrgentUpdate returns a channel that is closed when others should hear of a change soon.
func (t *Table) UrgentUpdate() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.urgent
}

// Digest stands for the requests of which all should know: it is the same at processes that
// know of the same ones, and 0 where there is none.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest(now)
}

func (t *Table) digest(now time.Time) uint64 {
	var d uint64
	for k, s := range t.held {
		switch {
		case s.until.After(now):
			d ^= binary.LittleEndian.Uint64(k[:])
		case s.weighs(now):
			d ^= binary.LittleEndian.Uint64(k[8:])
		default:
			delete(t.held, k)
		}
	}
	return d
}

// PendingReports returns what to tell a process whose Digest was last heard to be digest: late
// changes, those with the most ends first, and, if that process does not know of the same
// requests, some of those of which all should.
func (t *Table) PendingReports(now time.Time, digest uint64) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*suspect
	for k, s := range t.news { // In no order, so that all are told in time.
		if s.untold == 0 || now.Sub(s.changed) >= toldFor {
			delete(t.news, k)
			continue
		}
		chosen = rank(chosen, s)
	}
	if t.digest(now) != digest {
		for _, s := range t.held {
			if !slices.Contains(chosen, s) {
				chosen = rank(chosen, s)
			}
		}
	}
	var out []Report
	for _, s := range chosen {
		s.untold = max(0, s.untold-1)
		out = append(out, s.report(now))
	}
	return out
}

// Quarantined returns the requests that are quarantined, for a process that only keeps them
// for others: of too many the ones that were quarantined last, in the order of their keys.
func (t *Table) Quarantined(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, s := range t.held {
		if s.until.After(now) {
			out = append(out, s.report(now))
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(b.Remaining, a.Remaining) })
	out = out[:min(mostReports, len(out))]
	slices.SortFunc(out, func(a, b Report) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}

// rank puts a request among the chosen ones, by its ends, and drops one too many.
func rank(chosen []*suspect, s *suspect) []*suspect {
	at := len(chosen)
	for at > 0 && chosen[at-1].count < s.count {
		at--
	}
	if at == mostReports {
		return chosen
	}
	chosen = slices.Insert(chosen, at, s)
	return chosen[:min(mostReports, len(chosen))]
}

func (s *suspect) report(now time.Time) Report {
	r := Report{Key: s.key, Epoch: s.epoch, Remaining: max(0, s.until.Sub(now))}
	for _, strike := range s.strikes {
		r.Strikes = append(r.Strikes, ReportedStrike{Replica: strike.Replica, Round: strike.Round, Age: now.Sub(strike.At)})
	}
	return r
}

// Merge takes what another process tells, by an answer to what was asked at a time or
// unasked, with the time of now. It returns the requests that are quarantined by it, and
// with Served those that are no longer.
func (t *Table) Merge(asked, now time.Time, rs []Report) map[Key]Status {
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
		was := s.until.After(now)
		if t.take(asked, now, s, r) {
			t.judge(now, s)
			t.tell(now, s)
		}
		if is := s.until.After(now); was != is {
			v := s.verdict(now)
			v.Cleared = was
			out[r.Key] = v
		}
	}
	return out
}

// take joins a report to what is known of its request, and reports whether it held news.
func (t *Table) take(asked, now time.Time, s *suspect, r *Report) bool {
	if r.Epoch < s.epoch { // The other one must hear that it was cleared.
		t.note(now, s)
		return false
	}
	news := r.Epoch > s.epoch
	if news {
		s.forget(r.Epoch)
	}
	for _, strike := range r.Strikes {
		at := asked.Add(-max(0, strike.Age))
		t.ended(strike.Replica, at)
		if s.add(Strike{Replica: strike.Replica, Round: max(1, strike.Round), At: at}) {
			news = true
		}
	}
	left := min(r.Remaining, Duration)
	if until := asked.Add(left); left > 0 && until.After(now) && !s.until.After(now) {
		s.until, news = until, true
	}
	return news
}
