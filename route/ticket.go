package route

import "time"

// Reservation is a request's place at a replica.
type Reservation struct {
	replica *Replica
	work    Workload
	at      time.Time // When the replica was chosen.
	first   bool
	// permitUntil is until when the request may be sent to a replica that has a limit; zero
	// without a permit.
	permitUntil time.Time
}

// RecordFirstEvent records that a request's first event came, and how long it took.
func (t *Table) RecordFirstEvent(now time.Time, k *Reservation, took, predicted time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := k.replica
	r.sign, r.alive = now, now
	k.first = true
	r.answered(k)
	r.reading--
	r.prompts -= k.work.PromptTokens
	r.writing++
	r.failures, r.ejection = 0, 0
	if predicted > 0 {
		r.slower(float64(took) / float64(predicted) * r.slow)
	}
}

// slower takes a sample of how slow the replica is against its prediction. What
// gets worse is believed sooner than what gets better.
func (r *Replica) slower(ratio float64) {
	ratio = min(slowBound, max(1/slowBound, ratio))
	weight := slowSample
	if ratio > r.slow {
		weight = slowSampleUp
	}
	r.slow += weight * (ratio - r.slow)
}

// RequestResult is how a request at a replica ended.
type RequestResult struct {
	Failed   bool
	Answered bool   // The head of an answer came.
	Full     bool   // It refused for want of room.
	NotHeld  bool   // It refused since it does not hold what was asked for.
	Version  uint64 // Of its answer, if known.
}

// Done records that a request's time at a replica is over.
func (t *Table) Done(now time.Time, k *Reservation, e RequestResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := k.replica
	if k.first {
		r.writing--
	} else {
		r.reading--
		r.prompts -= k.work.PromptTokens
	}
	if r.reading < 0 || r.writing < 0 || r.prompts < 0 {
		panic("route: a request ended twice")
	}
	if e.Version > 0 {
		r.served = e.Version
	}
	if e.Full {
		r.full = now.Add(fullFor)
	} else if e.Answered {
		r.answered(k)
	}
	if e.NotHeld {
		r.misled = now
	}
	if !e.Failed {
		return
	}
	if !k.first {
		r.slower(2 * r.slow)
	}
	r.failures++
	if r.failures >= directAfter {
		r.ejected = now.Add(min(directMost, directEject<<min(r.ejection, 5)))
		r.ejection++
		r.failures = 0
	}
}
