package quarantine

import "time"

// When a request is quarantined.
const (
	// MinStrikes independent strikes are enough if the request was at more than half of the
	// replicas that terminated meanwhile; see isCause. A harmless request gets that many in a row if each of three sends happens to
	// meet a replica that terminates for another reason.
	MinStrikes = 3
	// strikesSufficient independent strikes are enough whatever other replicas terminated.
	strikesSufficient = 5
	// coincidence is how close in time terminations are that may have one common cause.
	coincidence = time.Second
)

// evaluate quarantines a request for Duration after its last strike if its strikes show that it
// is the cause. A request whose quarantine has expired is therefore not quarantined again
// before its next strike. The caller holds t.mu.
//
// A request that was served here since its first strike, or shortly before it, is cleared
// instead, even if another process quarantined it. When many callers send the same request,
// some of them are served all the time, but a process whose attempt fails does not receive a
// report of that at once: without this rule, one such request was quarantined everywhere within
// 60 minutes of random faults.
func (t *Table) evaluate(now time.Time, s *suspect) {
	if len(s.strikes) == 0 {
		return
	}
	first, last := span(s.strikes)
	if t.successes.last(s.key).After(first.Add(-recentWindow)) {
		t.clear(now, s)
		return
	}
	until := last.Add(Duration)
	if s.quarantinedUntil.After(now) || !until.After(now) || s.independent < MinStrikes || !t.isCause(now, s) {
		return
	}
	s.quarantinedUntil = until
	t.announce(now, s)
}

// isCause reports whether the terminations of replicas under a request are attributed to it. A
// termination that also hit another request with more strikes is attributed to that one; if
// strikesSufficient independent strikes remain, the request is the cause. MinStrikes are enough
// if no other request has as many strikes at these replicas, and if the request was at more
// than half of the replicas that terminated around those times: in a rolling restart or a power
// failure most of them terminate without it.
func (t *Table) isCause(now time.Time, s *suspect) bool {
	if countIndependent(without(s.strikes, t.terminatedUnderOthers(s, s.independent+1))) >= strikesSufficient {
		return true
	}
	others := t.terminatedUnderOthers(s, s.independent)
	counted := without(s.strikes, others)
	if countIndependent(counted) < MinStrikes {
		return false
	}
	replicas := map[string]bool{}
	for _, strike := range counted {
		replicas[strike.Replica] = true
	}
	return float64(2*len(replicas)) > t.terminationsAround(now, counted, replicas, others)
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

// terminatedUnderOthers returns the replicas that terminated under requests other than s that
// have at least n independent strikes.
func (t *Table) terminatedUnderOthers(s *suspect, n int) map[string]bool {
	out := map[string]bool{}
	for _, o := range t.suspects {
		if o == s || o.independent < n {
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
