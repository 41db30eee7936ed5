package route

import (
	"math"
	"time"

	"github.com/poststand/poststand/config"
)

// switchDelay estimates for how long a request would still run after the replica is due to
// switch versions. It would delay the switch by that time, and block the replica for other
// requests.
func (r *Replica) switchDelay(now time.Time, e config.Engine, w Workload) time.Duration {
	if r.Report.ChangeAt.IsZero() || !r.hasReport(now) {
		return 0
	}
	_, running := r.otherLoad(now)
	decoding := float64(r.decoding) + running
	step := e.StepTime + time.Duration(decoding*float64(e.StepTimePerSequence))
	ends := now.Add(r.predictLatency(now, e, w) + time.Duration(prefillOverhead*float64(w.AnswerTokens)*float64(step)))
	return max(0, ends.Sub(r.Report.ChangeAt))
}

// maxAnswerTime estimates how long the replica takes to generate the longest answer that a
// request may have, counted from its first event.
func (r *Replica) maxAnswerTime(now time.Time, e config.Engine, w Workload) time.Duration {
	_, running := r.otherLoad(now)
	step := e.StepTime + time.Duration((float64(r.decoding)+running+1)*float64(e.StepTimePerSequence))
	d := time.Duration(float64(max(w.AnswerTokens, w.MaxAnswerTokens)) * float64(step))
	if r.hasReport(now) && r.Report.Slowdown > 1 {
		d = time.Duration(float64(d) * r.Report.Slowdown)
	}
	return d
}

// otherLoad estimates the requests of other gateways at the replica, from its last report.
func (r *Replica) otherLoad(now time.Time) (queued, running float64) {
	if !r.hasReport(now) {
		return 0, 0
	}
	age := float64(now.Sub(r.Report.ReceivedAt)) / float64(agentReportHalfLife)
	load := float64(max(0, r.Report.Queued+r.Report.Running-r.ownAtReport)) * math.Exp2(-age)
	reported := float64(max(1, r.Report.Queued+r.Report.Running))
	return load * float64(r.Report.Queued) / reported, load * float64(r.Report.Running) / reported
}

// expectedLatency returns predictLatency corrected by the measured latency ratio of the replica.
// While requests wait for a first event, it is at least the time for which the replica has
// produced none.
func (r *Replica) expectedLatency(now time.Time, e config.Engine, w Workload) time.Duration {
	d := time.Duration(float64(r.predictLatency(now, e, w)) * *r.ratio(r.isFresh(now)))
	if r.prefilling > 0 {
		d = max(d, now.Sub(r.waitingSince))
	}
	return d
}

// load is what a replica is believed to have in addition to this gateway's requests.
type load struct {
	queued, running float64
	slowdown        float64 // At least 1.
}

// reportedLoad returns the load by the last report, which counts less the older it is.
func (r *Replica) reportedLoad(now time.Time) load {
	queued, running := r.otherLoad(now)
	l := load{queued, running, 1}
	if r.hasReport(now) {
		l.slowdown = r.slowdown()
	}
	return l
}

// predictLatency estimates the time to the first event of a request.
func (r *Replica) predictLatency(now time.Time, e config.Engine, w Workload) time.Duration {
	return r.latencyUnder(r.reportedLoad(now), e, w)
}

// latencyUnder estimates the time to the first event of a request under a load.
func (r *Replica) latencyUnder(l load, e config.Engine, w Workload) time.Duration {
	if e.PrefillRate <= 0 {
		slots := float64(max(1, r.Slots))
		inFlight := float64(r.prefilling+r.decoding) + l.queued + l.running
		perRequest := max(defaultLatency, r.typicalLatency)
		if inFlight < slots {
			return perRequest + time.Duration(float64(perRequest)*0.1*inFlight/slots)
		}
		return perRequest + time.Duration((inFlight-slots+1)/slots*float64(perRequest))
	}
	slots := float64(max(1, e.Slots))
	tokens := float64(r.prefillTokens) + l.queued*float64(e.MeanPromptTokens) + float64(w.PromptTokens)
	batch := float64(r.prefilling+r.decoding) + l.queued + l.running
	decoding := min(slots, float64(r.decoding)+l.running)
	step := e.StepTime + time.Duration(decoding*float64(e.StepTimePerSequence))
	prefillTime := time.Duration(tokens / e.PrefillRate * float64(time.Second))
	passes := math.Ceil(tokens / float64(max(1, e.PrefillChunk)))
	stride := 1.0
	if decoding > 0 {
		stride = float64(max(1, e.StepsPerPrefill))
	}
	ttft := prefillTime + time.Duration((passes+0.5)*stride*float64(step))
	if batch >= slots {
		perRequest := time.Duration(float64(e.MeanAnswerTokens) * float64(step) * 1.6)
		ttft += time.Duration((batch - slots + 1) / slots * float64(perRequest))
	}
	return time.Duration(float64(ttft) * l.slowdown)
}

// unqueuedWait returns the longest wait at the replica while it has a free slot and nothing queued.
// It includes how much later answers usually are than predicted, but not a replica that is slow.
func (r *Replica) unqueuedWait(now time.Time, e config.Engine) time.Duration {
	slots := e.Slots
	if e.PrefillRate <= 0 {
		slots = r.Slots
	}
	other := Replica{Upstream: r.Upstream, typicalLatency: r.typicalLatency}
	wait := other.latencyUnder(load{running: float64(max(1, slots) - 1), slowdown: 1}, e, Workload{})
	return time.Duration(min(*r.ratio(r.isFresh(now)), slowReplicaSlowdown) * float64(wait))
}

// hasFreeSlot reports whether the replica is believed to run fewer requests than it has slots, at
// its usual speed, so that another one would neither queue nor be slow.
func (r *Replica) hasFreeSlot(now time.Time, e config.Engine) bool {
	l := r.reportedLoad(now)
	return l.slowdown < slowReplicaSlowdown && float64(r.prefilling+r.decoding)+l.queued+l.running < float64(max(1, e.Slots))
}
