package route

import (
	"math"
	"time"

	"github.com/poststand/poststand/config"
)

// holdsUp estimates for how long a request would still run when the replica is to
// change its version: it would hold up the change, and with it all that could run
// there.
func (r *Replica) holdsUp(now time.Time, e config.Engine, w Workload) time.Duration {
	if r.Report.ChangeAt.IsZero() || !r.heard(now) {
		return 0
	}
	_, running := r.others(now)
	writers := float64(r.writing) + running
	step := e.Step + time.Duration(writers*float64(e.PerSequence))
	ends := now.Add(r.predict(now, e, w) + time.Duration(readingBeside*float64(w.AnswerTokens)*float64(step)))
	return max(0, ends.Sub(r.Report.ChangeAt))
}

// answerTime estimates how long the replica takes to write the longest answer that a request
// may have, from its first event on.
func (r *Replica) answerTime(now time.Time, e config.Engine, w Workload) time.Duration {
	_, running := r.others(now)
	step := e.Step + time.Duration((float64(r.writing)+running+1)*float64(e.PerSequence))
	d := time.Duration(float64(max(w.AnswerTokens, w.MaxAnswerTokens)) * float64(step))
	if r.heard(now) && r.Report.Slowdown > 1 {
		d = time.Duration(float64(d) * r.Report.Slowdown)
	}
	return d
}

// others estimates what other gateways have at the replica.
func (r *Replica) others(now time.Time) (queued, running float64) {
	if !r.heard(now) {
		return 0, 0
	}
	age := float64(now.Sub(r.Report.ReceivedAt)) / float64(agentReportHalfLife)
	total := float64(max(0, r.Report.Queued+r.Report.Running-r.ownThen)) * math.Exp2(-age)
	all := float64(max(1, r.Report.Queued+r.Report.Running))
	return total * float64(r.Report.Queued) / all, total * float64(r.Report.Running) / all
}

// expect is what predict says, corrected by how slow the replica has been, and no
// less than the time for which it has given no sign.
func (r *Replica) expect(now time.Time, e config.Engine, w Workload) time.Duration {
	d := time.Duration(float64(r.predict(now, e, w)) * r.slow)
	if r.reading > 0 {
		d = max(d, now.Sub(r.sign))
	}
	return d
}

// predict estimates the time until the first event of a request.
func (r *Replica) predict(now time.Time, e config.Engine, w Workload) time.Duration {
	queued, running := r.others(now)
	if e.ReadRate <= 0 {
		slots := float64(max(1, r.Slots))
		ahead := float64(r.reading+r.writing) + queued + running
		each := max(plainGuess, r.quick)
		if ahead < slots {
			return each + time.Duration(float64(each)*0.1*ahead/slots)
		}
		return each + time.Duration((ahead-slots+1)/slots*float64(each))
	}
	slots := float64(max(1, e.Slots))
	tokens := float64(r.prompts) + queued*float64(e.UsualPrompt) + float64(w.PromptTokens)
	batch := float64(r.reading+r.writing) + queued + running
	writers := min(slots, float64(r.writing)+running)
	step := e.Step + time.Duration(writers*float64(e.PerSequence))
	read := time.Duration(tokens / e.ReadRate * float64(time.Second))
	passes := math.Ceil(tokens / float64(max(1, e.Chunk)))
	stride := 1.0
	if writers > 0 {
		stride = float64(max(1, e.Stride))
	}
	ttft := read + time.Duration((passes+0.5)*stride*float64(step))
	if batch >= slots {
		each := time.Duration(float64(e.UsualAnswer) * float64(step) * 1.6)
		ttft += time.Duration((batch - slots + 1) / slots * float64(each))
	}
	if r.heard(now) && r.Report.Slowdown > 1 {
		ttft = time.Duration(float64(ttft) * r.Report.Slowdown)
	}
	return ttft
}
