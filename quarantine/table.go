package quarantine

import (
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Bounds of a Table.
const (
	maxSuspects     = 4096
	maxTerminations = 1024

	// Duration is how long a suspect is quarantined after its last strike. After that it is
	// tried again, since the replicas may have been fixed; one more strike quarantines it at
	// once, for longer.
	Duration = 10 * time.Minute
	// retention is how long strikes are kept, and those of a quarantine after its end.
	retention  = 2 * Duration
	sweepEvery = 10 * time.Second
)

// Status is what a Table has recorded about a key.
type Status struct {
	Until   time.Time // End of the quarantine; zero if the key is not quarantined.
	Epoch   uint64    // How often strikes were dropped because a request ran without harm.
	Round   int       // The highest round of its strikes; 0 if there are none.
	Strikes []Strike  // Highest rounds first.
	Cleared bool      // The strikes have just been dropped because a request ran without harm.
}

// Quarantined reports whether requests with the key must not be sent.
func (st *Status) Quarantined() bool { return !st.Until.IsZero() }

// Table records the keys of requests under which replicas terminated. The zero value is an empty
// table. Its methods are safe for concurrent use.
type Table struct {
	// IsTurn reports whether this process may send a request on trial, given the time since
	// trials became possible. If several processes share their records, it lets one at a time do
	// so. Nil is always. It is set before the Table is used.
	IsTurn func(k Key, since time.Duration) bool
	// StartedAt is when this process started to record successes; it is set before the Table is used.
	StartedAt time.Time

	mu           sync.Mutex
	suspects     map[Key]*suspect
	pending      map[Key]*suspect     // May have changes to report.
	shared       map[Key]*suspect     // To be shared with all processes; may contain some that no longer qualify.
	terminations map[string]time.Time // Time of the last termination, by replica.
	successes    recentSuccesses
	sweptAt      time.Time
	urgent       chan struct{} // Closed and replaced when a change should be reported soon.
}

func (t *Table) init() {
	if t.suspects == nil {
		t.suspects, t.pending, t.shared = map[Key]*suspect{}, map[Key]*suspect{}, map[Key]*suspect{}
		t.terminations = map[string]time.Time{}
		t.urgent = make(chan struct{})
	}
}

// Lookup returns the status of a key.
func (t *Table) Lookup(now time.Time, k Key) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[k]
	if s == nil {
		return Status{}
	}
	t.evaluate(now, s)
	return s.status(now)
}

// RecordStrikes records a strike against each of several keys, and returns their new statuses in
// the same order. A strike is void if its key was cleared after the request was sent.
func (t *Table) RecordStrikes(now time.Time, strikes []KeyStrike) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.sweep(now)
	suspects := make([]*suspect, len(strikes))
	for i, strike := range strikes {
		t.recordTermination(strike.Replica, strike.At)
		s := t.suspects[strike.Key]
		if s == nil {
			s = t.insert(strike.Key)
		}
		suspects[i] = s
		if strike.Epoch == s.epoch && s.add(strike.Strike) {
			t.announce(now, s)
		}
	}
	out := make([]Status, len(strikes))
	for i, s := range suspects { // Once all strikes are known.
		t.evaluate(now, s)
		out[i] = s.status(now)
	}
	return out
}

// RecordTermination records that a replica terminated at a time, whatever request it was
// running, and reports whether this is new.
func (t *Table) RecordTermination(now time.Time, replica string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.sweep(now)
	return t.recordTermination(replica, at)
}

// RecordRefusal records that a replica refuses connections, and reports whether it was not known to
// have terminated. It did so at now or earlier, while it ran no request of this process.
func (t *Table) RecordRefusal(now time.Time, replica string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.sweep(now)
	if _, known := t.terminations[replica]; known {
		return false
	}
	return t.recordTermination(replica, now)
}

// RecordSuccess records that a request with some keys started to run at a time and did its replica
// no harm. It returns, for the keys that had strikes from before, their statuses before, with
// Cleared set.
func (t *Table) RecordSuccess(now, startedAt time.Time, keys ...Key) map[Key]Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.successes.add(now, startedAt, keys)
	var cleared map[Key]Status
	for _, k := range keys {
		s := t.suspects[k]
		if s == nil {
			continue
		}
		before := s.status(now)
		if !t.refute(now, s, startedAt) {
			continue
		}
		if cleared == nil {
			cleared = map[Key]Status{}
		}
		before.Cleared = true
		cleared[k] = before
	}
	return cleared
}

// HasTerminated reports whether a replica terminated at a time or later.
func (t *Table) HasTerminated(replica string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.terminations[replica]
	return ok && !at.Before(since)
}

// recordTermination records the earliest observation of a replica's last termination, and
// reports whether no termination of it was known near that time. The caller holds t.mu.
func (t *Table) recordTermination(replica string, at time.Time) bool {
	old, ok := t.terminations[replica]
	known := ok && at.Sub(old).Abs() <= coincidence
	if known && !at.Before(old) {
		return false
	}
	if len(t.terminations) >= maxTerminations {
		t.evictOldestTermination()
	}
	t.terminations[replica] = at
	return !known
}

func (t *Table) evictOldestTermination() {
	var oldest string
	for r, at := range t.terminations {
		if oldest == "" || at.Before(t.terminations[oldest]) {
			oldest = r
		}
	}
	delete(t.terminations, oldest)
}

// insert adds a suspect, evicting another one if the table is full. The caller holds t.mu.
func (t *Table) insert(k Key) *suspect {
	if len(t.suspects) >= maxSuspects {
		t.evictSuspect()
	}
	s := &suspect{key: k}
	t.suspects[k] = s
	return s
}

// evictSuspect drops the least suspicious of a random sample: the request with the fewest
// independent strikes, and among equals the oldest. The caller holds t.mu.
func (t *Table) evictSuspect() {
	const maxSampled = 32
	var least *suspect
	n := 0
	for _, s := range t.suspects {
		if least == nil || s.independent < least.independent || s.independent == least.independent && s.changedAt.Before(least.changedAt) {
			least = s
		}
		if n++; n == maxSampled {
			break
		}
	}
	t.drop(least)
}

func (t *Table) drop(s *suspect) {
	delete(t.suspects, s.key)
	delete(t.pending, s.key)
	delete(t.shared, s.key)
}

// sweep drops expired entries. The caller holds t.mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepEvery {
		return
	}
	t.sweptAt = now
	for _, s := range t.suspects {
		if now.Sub(times.Later(s.changedAt, s.quarantinedUntil)) > retention {
			t.drop(s)
		}
	}
	for r, at := range t.terminations {
		if now.Sub(at) > retention {
			delete(t.terminations, r)
		}
	}
}

// Replicas returns the replicas of the strikes, separated by commas.
func (st *Status) Replicas() string {
	names := make([]string, len(st.Strikes))
	for i, s := range st.Strikes {
		names[i] = s.Replica
	}
	return strings.Join(names, ",")
}

// SinceLastStrike returns the time since the last strike; 0 if there is none.
func (st *Status) SinceLastStrike(now time.Time) time.Duration {
	if len(st.Strikes) == 0 {
		return 0
	}
	_, last := span(st.Strikes)
	return now.Sub(last)
}

// NumTerminations returns how many terminations of replicas are recorded.
func (t *Table) NumTerminations() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.terminations)
}

// Len returns how many requests are recorded.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}
