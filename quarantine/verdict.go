package quarantine

import (
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Times of trials.
const (
	trialTimeout    = 10 * time.Second // A trial whose outcome is not known by then has ended.
	trialRetryAfter = 30 * time.Second // When a request that is refused during a trial may return.
	// earlyTrialDelay is how long after the start of a quarantine, or its last strike, an early trial
	// is possible: requests that were sent before may be running until then.
	earlyTrialDelay = time.Second
)

// Verdict is whether a request with some keys may be sent.
type Verdict struct {
	Statuses []Status  // One for each key.
	Refused  bool      // The request must not be sent.
	Cause    int       // Index of the key for which it is refused or on trial.
	Until    time.Time // Until when it is refused.
	Trial    bool      // It is sent to learn whether the key at Cause still crashes replicas.
}

// Judge returns whether a request with some keys may be sent. Requests with a quarantined key are
// refused. Once the quarantine has expired, and where the verdict may be wrong, a single request is
// sent on trial at a time, if it is the turn of this process; see Table.IsTurn. If the trial shows
// no harm, the key is cleared. onTrial is whether this request was sent on trial before.
func (t *Table) Judge(now time.Time, keys []Key, onTrial bool) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := Verdict{Statuses: make([]Status, len(keys))}
	var tried *suspect
	for i, k := range keys {
		s := t.suspects[k]
		if s == nil {
			continue
		}
		t.evaluate(now, s)
		v.Statuses[i] = s.status(now)
		since, ok := t.trialSince(now, s, keys)
		switch {
		case ok && (onTrial || t.mayTry(now, s, since)):
			tried, v.Trial = s, true
			if !v.Refused {
				v.Cause = i
			}
		case ok:
			v.refuse(i, now.Add(trialRetryAfter))
		case v.Statuses[i].Quarantined():
			v.refuse(i, v.Statuses[i].Until)
		}
	}
	v.Trial = v.Trial && !v.Refused
	if v.Trial {
		tried.trialUntil = now.Add(trialTimeout)
	}
	return v
}

// refuse refuses the request for one of its keys. If there are several, the latest time counts.
func (v *Verdict) refuse(key int, until time.Time) {
	if !v.Refused || until.After(v.Until) {
		v.Refused, v.Cause, v.Until = true, key, until
	}
}

// trialSince reports whether a request with some keys can only be sent on trial because of the
// suspect, and since when that is so. The caller holds t.mu.
func (t *Table) trialSince(now time.Time, s *suspect, keys []Key) (since time.Time, ok bool) {
	if s.independent < MinStrikes {
		return time.Time{}, false
	}
	if !s.quarantinedUntil.After(now) {
		end := s.quarantineEnd()
		return end, !now.Before(end) && t.isCause(now, s)
	}
	_, last := span(s.strikes)
	if slices.ContainsFunc(t.inseparable(now, s), func(o *suspect) bool { return !slices.Contains(keys, o.key) }) {
		return last, true
	}
	since = times.Later(s.quarantinedAt, last).Add(earlyTrialDelay)
	return since, !now.Before(since) && t.mayBeWrong(s, keys)
}

// mayBeWrong reports whether a request with some keys tells whether the quarantine of one of them is
// wrong. That is possible if requests with this key ran shortly before, and no replica terminated
// since: two fatal parts that always come with a third one leave the most evidence against that
// one. A request that has another suspect key proves nothing. The caller holds t.mu.
func (t *Table) mayBeWrong(s *suspect, keys []Key) bool {
	if _, last := span(s.strikes); last.After(s.quarantinedAt.Add(earlyTrialDelay)) || t.successes.last(s.key).IsZero() {
		return false
	}
	for _, k := range keys {
		if o := t.suspects[k]; o != nil && o != s && len(o.strikes) >= sharedStrikes && !t.successes.isCommon(k) {
			return false
		}
	}
	return true
}

// mayTry reports whether this process may send a request on trial now. The caller holds t.mu.
func (t *Table) mayTry(now time.Time, s *suspect, since time.Time) bool {
	return !s.trialUntil.After(now) && (t.IsTurn == nil || t.IsTurn(s.key, now.Sub(since)))
}
