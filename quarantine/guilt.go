package quarantine

import "time"

// When a request is quarantined.
const (
	// MinStrikes ends that count are enough where hardly any other replica ended meanwhile. A
	// request that does no harm has so many in a row where each of three sends meets a
	// replica that ends for another reason.
	MinStrikes = 3
	// many are enough whatever else happened.
	many = 5
	// near is how close to each other replicas end that may have ended for one reason.
	near = time.Second
)

// judge quarantines a request that is guilty by its strikes, from the last of them on: one
// whose quarantine has passed is not quarantined again before its next strike. The caller
// holds t.mu.
//
// One that was served here since its first strike, or shortly before, is cleared instead,
// whoever found it guilty. Where many ask for the same, some are served all the time, but
// whoever loses one does not hear of that at once: one such request of 60 minutes of drawn
// faults was quarantined for all.
func (t *Table) judge(now time.Time, s *suspect) {
	if len(s.strikes) == 0 {
		return
	}
	first, last := span(s.strikes)
	if t.served.last(s.key).After(first.Add(-recentFor)) {
		t.clear(now, s)
		return
	}
	until := last.Add(Duration)
	if s.until.After(now) || !until.After(now) || s.count < MinStrikes || !t.guilty(s) {
		return
	}
	s.until = until
	t.tell(now, s)
}

// guilty reports whether the ends of replicas under a request are its doing. An end under
// another request with more ends is put down to that one, and five that remain and count
// are enough. Three are if no other request has as many there, and if the request was at
// more than half of the replicas that ended about then: in a roll or a loss of power
// most of them end without it.
func (t *Table) guilty(s *suspect) bool {
	if count(without(s.strikes, t.endsOfOthers(s, s.count+1))) >= many {
		return true
	}
	others := t.endsOfOthers(s, s.count)
	counted := without(s.strikes, others)
	if count(counted) < MinStrikes {
		return false
	}
	own := map[string]bool{}
	for _, strike := range counted {
		own[strike.Replica] = true
	}
	about := 0
	for replica, at := range t.ends {
		if !others[replica] && closeTo(counted, at) {
			about++
		}
	}
	return 2*len(own) > about
}

// endsOfOthers returns the replicas that ended under requests other than s that have at
// least n ends that count.
func (t *Table) endsOfOthers(s *suspect, n int) map[string]bool {
	out := map[string]bool{}
	for _, o := range t.suspects {
		if o == s || o.count < n {
			continue
		}
		for _, strike := range o.strikes {
			out[strike.Replica] = true
		}
	}
	return out
}

// without returns the strikes at replicas that are not among some.
func without(strikes []Strike, replicas map[string]bool) []Strike {
	var out []Strike
	for _, s := range strikes {
		if !replicas[s.Replica] {
			out = append(out, s)
		}
	}
	return out
}

// closeTo reports whether a time is near one of some strikes.
func closeTo(strikes []Strike, at time.Time) bool {
	for _, s := range strikes {
		if at.Sub(s.At).Abs() <= near {
			return true
		}
	}
	return false
}
