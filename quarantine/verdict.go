package quarantine

import (
	"slices"
	"time"
)

// Times of trials.
const (
	trialTimeout    = 10 * time.Second // A trial whose outcome is not known by then has ended.
	trialRetryAfter = 30 * time.Second // When a request that is refused during a trial may return.
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
// refused. Once the quarantine has expired, and for requests that lack a key which is inseparable
// from it, a single request is sent on trial at a time, if it is the turn of this process; see
// Table.IsTurn. If the trial shows no harm, the key is cleared. onTrial is whether this request was
// sent on trial before.
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
		return s.quarantineEnd(), t.isCause(now, s)
	}
	lacksOne := slices.ContainsFunc(t.inseparable(now, s), func(o *suspect) bool { return !slices.Contains(keys, o.key) })
	_, last := span(s.strikes)
	return last, lacksOne
}

// mayTry reports whether this process may send a request on trial now. The caller holds t.mu.
func (t *Table) mayTry(now time.Time, s *suspect, since time.Time) bool {
	return !s.trialUntil.After(now) && (t.IsTurn == nil || t.IsTurn(s.key, now.Sub(since)))
}
