package quarantine

import (
	"strings"
	"sync"
	"time"
)

// Bounds of a Table.
const (
	mostSuspects = 4096
	mostEnds     = 1024

	// Duration is for how long a request is quarantined after its last strike. Then it is
	// tried again, since the replicas may have been mended; one more strike quarantines it
	// at once.
	Duration = 10 * time.Minute
	// keptFor is how long strikes are remembered.
	keptFor    = 2 * Duration
	sweepEvery = 10 * time.Second
)

// Status is what a Table knows of a request.
type Status struct {
	Until   time.Time // The request is quarantined until then; zero if it is not.
	Epoch   uint64    // How often it was cleared.
	Round   int       // The highest of its strikes, 0 without any.
	Strikes []Strike  // The strikes, those of the highest rounds first.
	Cleared bool      // It has just been cleared, since it was served.
}

// Quarantined reports whether the request must not be sent.
func (v *Status) Quarantined() bool { return !v.Until.IsZero() }

// Table remembers requests under which replicas ended. The zero value is empty. Methods
// are safe for use by many goroutines.
type Table struct {
	mu       sync.Mutex
	suspects map[Key]*suspect
	news     map[Key]*suspect     // Those of which there may be something to tell.
	held     map[Key]*suspect     // Those that weigh, and some that no longer do.
	ends     map[string]time.Time // Replicas that have ended, and when.
	served   recent
	swept    time.Time
	urgent   chan struct{} // Closed and replaced when others should hear of a change soon.
}

func (t *Table) init() {
	if t.suspects == nil {
		t.suspects, t.news, t.held = map[Key]*suspect{}, map[Key]*suspect{}, map[Key]*suspect{}
		t.ends = map[string]time.Time{}
		t.urgent = make(chan struct{})
	}
}

// Lookup returns what is known of a request that is about to be sent.
func (t *Table) Lookup(now time.Time, k Key) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[k]
	if s == nil {
		return Status{}
	}
	t.judge(now, s)
	return s.verdict(now)
}

// RecordStrike takes a strike of a request that was sent in an epoch, and returns what is known of
// the request now. If it was cleared since it was sent, the strike says nothing.
func (t *Table) RecordStrike(now time.Time, k Key, epoch uint64, strike Strike) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.sweep(now)
	t.ended(strike.Replica, strike.At)
	s := t.suspects[k]
	if s == nil {
		s = t.insert(k)
	}
	if epoch == s.epoch && s.add(strike) {
		t.judge(now, s)
		t.tell(now, s)
	}
	return s.verdict(now)
}

// RecordTermination takes note of a replica that ended at a time, under whatever request, and reports
// whether that is news.
func (t *Table) RecordTermination(now time.Time, replica string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.sweep(now)
	return t.ended(replica, at)
}

// RecordSuccess takes note of a request that a replica answered with success.
func (t *Table) RecordSuccess(now time.Time, k Key) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(now, k)
	s := t.suspects[k]
	if s == nil || len(s.strikes) == 0 {
		return Status{}
	}
	v := s.verdict(now)
	v.Cleared = true
	t.clear(now, s)
	return v
}

// clear forgets the strikes of a request, here and wherever it is told. The caller holds
// t.mu.
func (t *Table) clear(now time.Time, s *suspect) {
	if s.weighs(now) {
		t.hurry() // Others may refuse it.
	}
	s.forget(s.epoch + 1)
	t.tell(now, s)
}

// ended notes when a replica last ended, by who saw that first, and reports whether no end of
// it near that time was known. The caller holds t.mu.
func (t *Table) ended(replica string, at time.Time) bool {
	old, ok := t.ends[replica]
	known := ok && at.Sub(old).Abs() <= near
	if known && !at.Before(old) {
		return false
	}
	if len(t.ends) >= mostEnds {
		t.dropOldestEnd()
	}
	t.ends[replica] = at
	return !known
}

func (t *Table) dropOldestEnd() {
	var oldest string
	for r, at := range t.ends {
		if oldest == "" || at.Before(t.ends[oldest]) {
			oldest = r
		}
	}
	delete(t.ends, oldest)
}

// insert makes room for a request. The caller holds t.mu.
func (t *Table) insert(k Key) *suspect {
	if len(t.suspects) >= mostSuspects {
		t.dropOne()
	}
	s := &suspect{key: k}
	t.suspects[k] = s
	return s
}

// dropOne forgets the least suspicious of some requests, in no order: the one with the
// fewest ends that count, and of these the oldest. The caller holds t.mu.
func (t *Table) dropOne() {
	const looked = 32
	var least *suspect
	n := 0
	for _, s := range t.suspects {
		if least == nil || s.count < least.count || s.count == least.count && s.changed.Before(least.changed) {
			least = s
		}
		if n++; n == looked {
			break
		}
	}
	t.drop(least)
}

func (t *Table) drop(s *suspect) {
	delete(t.suspects, s.key)
	delete(t.news, s.key)
	delete(t.held, s.key)
}

// sweep forgets what is old. The caller holds t.mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for _, s := range t.suspects {
		if now.Sub(s.changed) > keptFor {
			t.drop(s)
		}
	}
	for r, at := range t.ends {
		if now.Sub(at) > keptFor {
			delete(t.ends, r)
		}
	}
}

// Replicas returns the replicas of the strikes, joined by commas.
func (v *Status) Replicas() string {
	names := make([]string, len(v.Strikes))
	for i, s := range v.Strikes {
		names[i] = s.Replica
	}
	return strings.Join(names, ",")
}

// SinceLastStrike is how long ago the last strike was; 0 without any.
func (v *Status) SinceLastStrike(now time.Time) time.Duration {
	if len(v.Strikes) == 0 {
		return 0
	}
	_, last := span(v.Strikes)
	return now.Sub(last)
}

// NumTerminations returns how many ends of replicas are remembered.
func (t *Table) NumTerminations() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ends)
}

// Len returns how many requests are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}
