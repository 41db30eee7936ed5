package quarantine

import (
	"maps"
	"time"
)

// When a key is quarantined.
const (
	// MinStrikes independent strikes are enough if the suspect was at more than half of the
	// replicas that terminated meanwhile; see isCause. A harmless request gets that many in a row
	// if each of three sends happens to meet a replica that terminates for another reason.
	MinStrikes = 3
	// strikesSufficient independent strikes are enough whatever other replicas terminated.
	strikesSufficient = 5
	// refuteDelay is the time in which a harmless request that started to run is known as such
	// everywhere.
	refuteDelay = 800 * time.Millisecond
	// popularWindow is how recently before its first strike a key must have been seen to do no harm
	// for its strikes to be judged only after refuteDelay.
	popularWindow = 5 * time.Second
	// startWindow is how long a process that has just started knows too few successes.
	startWindow = 2 * time.Second
	// coincidence is how close in time terminations are that may have one common cause.
	coincidence = time.Second
)

// evaluate quarantines a suspect until its quarantineEnd if its strikes show that it is the cause.
// One whose quarantine has expired is therefore not quarantined again before its next strike. The
// caller holds t.mu.
//
// Strikes from before a request with the same key started to run without harm are dropped first,
// even if another process quarantined it: when many callers send the same request, a process whose
// attempt fails does not receive a report of the others' successes at once.
func (t *Table) evaluate(now time.Time, s *suspect) {
	if len(s.strikes) == 0 {
		return
	}
	t.refute(now, s, t.successes.last(s.key))
	if s.independent < MinStrikes || s.quarantinedUntil.After(now) || !t.isConclusive(now, s) {
		return
	}
	until := s.quarantineEnd()
	if !until.After(now) || !t.isCause(now, s) {
		return
	}
	s.quarantinedAt, s.quarantinedUntil = now, until
	t.announce(now, s)
}

// isConclusive reports whether MinStrikes independent strikes are old enough to have been refuted,
// if requests with the key ran shortly before, or this process has just started and does not know.
// Those that run now are known to be harmless only later. The caller holds t.mu.
func (t *Table) isConclusive(now time.Time, s *suspect) bool {
	first, _ := span(s.strikes)
	if now.Sub(t.StartedAt) >= startWindow && !t.successes.last(s.key).After(first.Add(-popularWindow)) {
		return true
	}
	var old []Strike
	for _, strike := range s.strikes {
		if now.Sub(strike.At) >= refuteDelay {
			old = append(old, strike)
		}
	}
	return countIndependent(old) >= MinStrikes
}

// refute drops the strikes against a suspect that are not later than a time at which a request
// with its key started to run without harm, and reports whether there were any. What was harmless
// before a strike proves nothing: a key may turn fatal at any time. The caller holds t.mu.
func (t *Table) refute(now time.Time, s *suspect, startedAt time.Time) bool {
	var later []Strike
	for _, strike := range s.strikes {
		if strike.At.After(startedAt) {
			later = append(later, strike)
		}
	}
	if len(later) == len(s.strikes) {
		return false
	}
	if s.isShared(now) {
		t.signalUrgent() // Other processes may be refusing requests with this key.
	}
	s.reset(s.epoch + 1)
	for _, strike := range later {
		s.add(strike)
	}
	t.announce(now, s)
	return true
}

// isCause reports whether the terminations of replicas under a suspect are attributed to it. A
// termination that also hit another suspect with more evidence is attributed to that one; if
// strikesSufficient independent strikes remain, the suspect is the cause. MinStrikes are enough
// if no other suspect has as much evidence and was at some of these replicas, and if this one was
// at more than half of the replicas that terminated around those times: in a rolling restart or a
// power failure most of them terminate without it.
//
// Suspects at exactly the same replicas can't be told apart and don't speak for each other; see
// inseparable. A common key is at most replicas that terminate, and quarantining it would refuse
// nearly all requests: it is neither the cause nor speaks for others.
func (t *Table) isCause(now time.Time, s *suspect) bool {
	if t.successes.isCommon(s.key) {
		return false
	}
	stronger := t.terminatedUnder(func(o *suspect) bool { return o.compareEvidence(s) > 0 && !t.successes.isCommon(o.key) })
	if countIndependent(without(s.strikes, stronger)) >= strikesSufficient {
		return true
	}
	others := t.terminatedUnder(func(o *suspect) bool {
		c := o.compareEvidence(s)
		return (c > 0 || c == 0 && !o.sameReplicas(s)) && !t.successes.isCommon(o.key)
	})
	counted := without(s.strikes, others)
	if countIndependent(counted) < MinStrikes {
		return false
	}
	replicas := map[string]bool{}
	for _, strike := range counted {
		replicas[strike.Replica] = true
	}
	ignored := t.terminatedUnder(func(o *suspect) bool { return o.quarantinedUntil.After(now) })
	maps.Copy(ignored, others)
	maps.DeleteFunc(ignored, func(replica string, _ bool) bool { return replicas[replica] })
	return float64(2*len(replicas)) > t.terminationsAround(now, counted, replicas, ignored)
}

// inseparable returns the quarantined suspects whose strikes are at the same replicas as those of
// a quarantined one. Only requests that have all of these keys are known to crash replicas. The
// caller holds t.mu.
func (t *Table) inseparable(now time.Time, s *suspect) []*suspect {
	if s.independent < MinStrikes {
		return nil
	}
	var out []*suspect
	for _, o := range t.shared {
		if o != s && o.quarantinedUntil.After(now) && o.sameReplicas(s) {
			out = append(out, o)
		}
	}
	return out
}

// terminationsAround returns how many replicas, without those to ignore, terminated around the strikes
// at some replicas. Those that will have terminated within coincidence of the last strike are not known
// yet: they are estimated by those that terminated without the request in the same time before it.
func (t *Table) terminationsAround(now time.Time, strikes []Strike, struck, ignore map[string]bool) float64 {
	_, last := span(strikes)
	known, unrelated := 0, 0
	for replica, at := range t.terminations {
		if ignore[replica] || !nearAny(strikes, at) {
			continue
		}
		known++
		if before := last.Sub(at); !struck[replica] && before >= 0 && before <= coincidence {
			unrelated++
		}
	}
	remaining := min(1, max(0, 1-float64(now.Sub(last))/float64(coincidence)))
	return float64(known) + remaining*float64(unrelated)
}

// terminatedUnder returns the replicas that terminated under the suspects for which include
// returns true.
func (t *Table) terminatedUnder(include func(o *suspect) bool) map[string]bool {
	out := map[string]bool{}
	for _, o := range t.suspects {
		if !include(o) {
			continue
		}
		for _, strike := range o.strikes {
			out[strike.Replica] = true
		}
	}
	return out
}

// without returns the strikes at replicas that are not in the set.
func without(strikes []Strike, replicas map[string]bool) []Strike {
	var out []Strike
	for _, s := range strikes {
		if !replicas[s.Replica] {
			out = append(out, s)
		}
	}
	return out
}

// nearAny reports whether a time is close to one of the strikes.
func nearAny(strikes []Strike, at time.Time) bool {
	for _, s := range strikes {
		if at.Sub(s.At).Abs() <= coincidence {
			return true
		}
	}
	return false
}
