package route

import "time"

// Reservation is a request's place at the replica that was chosen for it.
type Reservation struct {
	replica       *Replica
	workload      Workload
	pickedAt      time.Time // When the replica was chosen.
	gotFirstEvent bool
	failed        bool    // A failure of the request has been counted.
	fresh         bool    // The prediction rests on a load that was read right before.
	slowdown      float64 // The replica's reported slowdown that the prediction includes; at least 1.
	// permitUntil is when the request's permit for a rate-limited replica expires; zero without
	// a permit.
	permitUntil time.Time
	// coldPermitUntil is when its permit for a cold replica expires; zero without one.
	coldPermitUntil time.Time
}

// RecordFirstEvent records that the first event of a request arrived, and the measured and
// predicted time that it took.
func (t *Table) RecordFirstEvent(now time.Time, res *Reservation, took, predicted time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := res.replica
	r.waitingSince, r.answeredAt = now, now
	res.gotFirstEvent = true
	r.endProbe(res)
	r.prefilling--
	r.prefillTokens -= res.workload.PromptTokens
	r.decoding++
	r.failures, r.ejections = 0, 0
	if predicted > 0 {
		r.recordLatencyRatio(res, float64(took)/float64(predicted)*(*r.ratio(res.fresh)))
	}
}

// ratio returns the smoothed ratio that corrects predictions: those from a load that was read right
// before the choice if fresh is set, else those from reports. Reports show a slowdown late, so the
// ratio for them includes slowdowns. A prediction from a fresh load already includes the current
// slowdown, which that ratio would count twice.
func (r *Replica) ratio(fresh bool) *float64 {
	if fresh {
		return &r.freshRatio
	}
	return &r.latencyRatio
}

// slowdown returns the reported slowdown that predictions include.
func (r *Replica) slowdown() float64 { return max(1, r.Report.Slowdown) }

// recordLatencyRatio adds a sample of the measured over the predicted latency to the smoothed
// ratio. For predictions from reports, increases have a greater weight than decreases. For those
// from a fresh load, a slowdown that was reported since the choice is divided out of the sample, as
// later predictions include it.
func (r *Replica) recordLatencyRatio(res *Reservation, sample float64) {
	smoothed := r.ratio(res.fresh)
	weight := ratioWeight
	switch {
	case res.fresh:
		sample /= max(1, r.slowdown()/res.slowdown)
	case sample > *smoothed:
		weight = ratioWeightUp
	}
	sample = min(maxLatencyRatio, max(1/maxLatencyRatio, sample))
	*smoothed += weight * (sample - *smoothed)
}

// RequestResult is how a request at a replica ended.
type RequestResult struct {
	NotSent  bool // The request was not sent after all.
	Failed   bool
	Answered bool   // The headers of an answer arrived.
	Full     bool   // The replica refused for lack of capacity.
	NotHeld  bool   // The replica refused because it does not hold what was requested.
	Version  uint64 // Version that answered; 0 if unknown.
}

// Done records that a request at a replica has ended, and releases its reservation.
func (t *Table) Done(now time.Time, res *Reservation, result RequestResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := res.replica
	if res.gotFirstEvent {
		r.decoding--
	} else {
		r.prefilling--
		r.prefillTokens -= res.workload.PromptTokens
	}
	if r.prefilling < 0 || r.decoding < 0 || r.prefillTokens < 0 {
		panic("route: a request ended twice")
	}
	if result.NotSent && r.probedAt.Equal(res.pickedAt) {
		r.probedAt = time.Time{}
	}
	if result.Version > 0 {
		r.servedVersion = result.Version
	}
	if result.Full {
		r.fullUntil = now.Add(fullBackoff)
	} else if result.Answered {
		r.endProbe(res)
	}
	if result.NotHeld {
		r.notHeldAt = now
	}
	if result.Failed {
		r.recordFailure(now, res)
	}
}

// RecordSilence records that the replica has sent nothing for a request for longer than usual.
// The request goes on, and may still be answered.
func (t *Table) RecordSilence(now time.Time, res *Reservation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	res.replica.recordFailure(now, res)
}

// recordFailure counts a failure of a request, once, and ejects the replica after several.
func (r *Replica) recordFailure(now time.Time, res *Reservation) {
	if res.failed {
		return
	}
	res.failed = true
	if !res.gotFirstEvent {
		r.recordLatencyRatio(res, 2*(*r.ratio(res.fresh)))
	}
	r.failures++
	if r.failures >= replicaEjectAfter {
		r.ejectedUntil = now.Add(min(replicaEjectMax, replicaEjectBase<<min(r.ejections, 5)))
		r.ejections++
		r.failures = 0
	}
}
