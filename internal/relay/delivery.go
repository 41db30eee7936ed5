package relay

import (
	"context"
	"slices"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// Times and limits of the attempts at one request.
const (
	maxAttempts     = 5
	minFirstWait    = 900 * time.Millisecond // Minimum time without any data after which a replica counts as silent.
	firstWaitFactor = 4                      // Multiple of the predicted time after which it does, if that is longer.
	minGapWait      = 900 * time.Millisecond // Minimum time after an event of a stream after which a replica counts as silent.
	gapWaitFactor   = 2                      // Multiple of the route's event gap after which it does, if that is longer.
	// checkInterval is how often the version deadlines of attempts without data are looked up.
	checkInterval = 500 * time.Millisecond
)

// A delivery is the answer to one request on its way from replicas to the caller.
//
// Silence does not prove that a replica will not answer. So if the replica is silent for longer
// than usual and the request may be repeated, it is sent to a second one as well, and the
// attempt that next has something for the caller goes on, alone. Attempts end otherwise only if
// their connection ends, at the deadline of the request, when the caller cancels it, and, before
// their first data, at the deadline of their replica's version.
type delivery struct {
	relay *Relay
	ctx   context.Context // Ends when the caller cancels the request.
	rq    *request
	out   *answer

	open     []*attempt        // Attempts in progress. At most one has delivered data.
	parts    chan receivedPart // From the open attempts.
	exclude  map[string]bool   // IDs of the replicas that it was sent to.
	arrivals int               // Ended attempts that reached a replica.
	runs     int               // Ended attempts that may have run.
	results  dispatch.Attempts
	last     dispatch.Result // Result of the request as a whole if no further attempt is made.

	timer    *time.Timer
	silentAt time.Time // When the open attempts count as silent unless a part arrives.
	// moveUntil is when a stream stays at its replica unless another one has accepted it by then;
	// zero if it is not being moved.
	moveUntil time.Time
}

func newDelivery(g *Relay, ctx context.Context, rq *request, out *answer) *delivery {
	return &delivery{
		relay: g, ctx: ctx, rq: rq, out: out, parts: make(chan receivedPart), exclude: map[string]bool{},
		last: notRun(fault.NoUpstream), timer: time.NewTimer(checkInterval),
	}
}

// close cancels all attempts and waits until they have ended.
func (d *delivery) close() {
	d.timer.Stop()
	for _, a := range d.open {
		a.abandon()
	}
}

// abandon cancels the attempt and waits until it has ended.
func (a *attempt) abandon() {
	a.cancel()
	<-a.ended
}

// run sends the request, with retries, until its outcome is final.
func (d *delivery) run() dispatch.Result {
	for d.rq.attempts < maxAttempts {
		now := time.Now()
		if !now.Before(d.rq.deadline) {
			return d.results.Add(notRun(fault.PastDeadline))
		}
		choice, res, ok := d.relay.admit(d)
		if !ok {
			if d.rq.attempts == 0 {
				return d.results.Add(res)
			}
			if d.last.Outcome == dispatch.NotRun {
				d.last.RetryAt = res.RetryAt
			}
			return d.last
		}
		d.start(choice)
		result := d.follow()
		if result.Outcome == dispatch.Done || !d.mayRetry(result) {
			break
		}
		d.relay.Metrics.Retried(result.Reason)
	}
	return d.last
}

// mayRetry reports whether the request may be sent again after its last open attempt ended with
// this result.
func (d *delivery) mayRetry(result dispatch.Result) bool {
	return d.ctx.Err() == nil && mayRetry(d.rq, d.out, result) && d.runs < max(1, d.rq.route.MaxAttempts) &&
		!d.relay.isQuarantined(time.Now(), d.rq)
}

// start starts an attempt.
func (d *delivery) start(choice route.Choice) {
	rq, now := d.rq, time.Now()
	rq.attempts++
	d.exclude[choice.ID] = true
	d.relay.inFlight.SetUpstream(&rq.inFlight, choice.ID)
	ctx, cancel := context.WithCancel(d.ctx)
	a := &attempt{
		relay: d.relay, rq: rq, to: choice, startedAt: now,
		lastEventID: rq.lastEventID, version: rq.version, continues: d.out.started, moreKnown: rq.moreKnown,
		isBackup: slices.ContainsFunc(d.open, func(o *attempt) bool { return o.silent }), number: rq.attempts, struck: slices.Clone(rq.struck), onTrial: rq.verdict.Trial,
		cancel: cancel, parts: d.parts, resume: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	d.open = append(d.open, a)
	d.silentAt = now.Add(max(minFirstWait, firstWaitFactor*choice.Predicted))
	go a.run(ctx)
}

// follow passes on what the open attempts receive until none is left, or the answer is complete,
// or the caller has gone. It returns the result of the attempt that ended last.
func (d *delivery) follow() dispatch.Result {
	for {
		d.timer.Reset(time.Until(d.nextCheck(time.Now())))
		select {
		case p := <-d.parts:
			if res, done := d.take(p); done {
				return res
			}
		case <-d.timer.C:
			if res, done := d.checkUnlessPart(); done {
				return res
			}
		case <-d.ctx.Done():
			return d.cancelled(d.ctx.Err())
		}
	}
}

// checkUnlessPart handles a part if one has come, and otherwise what is due without one. It reports whether no
// attempt is left or the answer is complete, with the result.
func (d *delivery) checkUnlessPart() (dispatch.Result, bool) {
	select {
	case p := <-d.parts:
		return d.take(p)
	default:
	}
	d.check(time.Now())
	return d.last, len(d.open) == 0
}

// take handles a part. It reports whether no attempt is left or the answer is complete, with the
// result. An attempt that was abandoned as it ended may still send its last part, which is dropped.
func (d *delivery) take(p receivedPart) (dispatch.Result, bool) {
	if !slices.Contains(d.open, p.from) {
		return dispatch.Result{}, false
	}
	if d.endsOtherStream(p) {
		p.result = unknown(fault.Truncated)
	}
	if p.last && p.result.Outcome != dispatch.Done {
		done := d.takeFailure(p)
		return p.result, done
	}
	d.abandonOthers(p.from)
	if err := d.pass(p); err != nil {
		return d.cancelled(err), true
	}
	if p.last {
		d.recordEnd(p.from, p.result)
		return p.result, true
	}
	d.silentAt = time.Now().Add(max(minGapWait, gapWaitFactor*d.rq.route.TargetGap))
	if !d.startMove(p.from) {
		p.from.resume <- struct{}{}
	}
	return dispatch.Result{}, false
}

// endsOtherStream reports whether a part ends, without an event, the stream that another open attempt has
// begun. That one may be silent or about to move, but has not ended.
func (d *delivery) endsOtherStream(p receivedPart) bool {
	return p.last && p.stream && !p.from.gotData && slices.ContainsFunc(d.open, func(a *attempt) bool { return a != p.from && a.gotData })
}

// takeFailure handles the last part of an attempt that failed. It reports whether no attempt is
// left that may yet answer.
func (d *delivery) takeFailure(p receivedPart) bool {
	if p.result.Reason == fault.UpstreamFailed && p.resp != nil {
		d.out.keepFailure(p.resp, p.body)
	}
	d.recordEnd(p.from, p.result)
	if d.ctx.Err() != nil || len(d.open) == 0 {
		return true
	}
	d.endMove()
	if !slices.ContainsFunc(d.open, func(a *attempt) bool { return !a.silent }) {
		d.silentAt = time.Now() // Another replica may take the request at once.
	}
	return false
}

// pass passes on a part to the caller.
func (d *delivery) pass(p receivedPart) error {
	rq, a := d.rq, p.from
	if !p.stream {
		return d.out.writeWhole(p.resp, p.body)
	}
	a.gotData, a.silent = true, false
	rq.recordEvents(&p.events)
	if len(p.events.Data) > 0 {
		if rq.version == 0 {
			rq.version = a.result.Version
		}
		if err := d.out.writeEvents(p.resp, p.events.Data); err != nil {
			return err
		}
	}
	if p.last {
		return d.out.finish(p.resp)
	}
	return nil
}

// recordEnd records the result of an attempt that has ended.
func (d *delivery) recordEnd(a *attempt, res dispatch.Result) {
	d.open = slices.DeleteFunc(d.open, func(o *attempt) bool { return o == a })
	a.cancel()
	d.rq.recordAttempt(a, res)
	d.rq.moreKnown = d.rq.moreKnown || a.moreFollows
	a.updateSuspects(res)
	if reached(res) {
		d.arrivals++
	}
	if res.Outcome == dispatch.Unknown {
		d.runs++
	}
	d.last = d.results.Add(res)
}

// giveUp abandons an attempt for a reason.
func (d *delivery) giveUp(a *attempt, reason fault.Code) {
	a.abandon()
	a.broken = breakdown{by: endedByGateway, silent: time.Since(a.lastDataAt)}
	d.recordEnd(a, unknown(reason))
}

// abandonOthers gives up all attempts but the one that goes on.
func (d *delivery) abandonOthers(keep *attempt) {
	reason := fault.LinkStalled
	if !d.moveUntil.IsZero() {
		reason, d.moveUntil = fault.Moved, time.Time{}
	}
	for _, a := range slices.Clone(d.open) {
		if a != keep {
			d.giveUp(a, reason)
		}
	}
}

// cancelled ends all attempts, since the caller has gone, and returns the result.
func (d *delivery) cancelled(err error) dispatch.Result {
	for _, a := range slices.Clone(d.open) {
		a.abandon()
		d.recordEnd(a, unknown(fault.Cancelled))
	}
	d.rq.broken = breakdown{by: endedByCaller, err: err}
	d.last = unknown(fault.Cancelled)
	return d.last
}

// nextCheck returns when check is due.
func (d *delivery) nextCheck(now time.Time) time.Time {
	at := times.Earlier(d.silentAt, now.Add(checkInterval))
	if !d.moveUntil.IsZero() {
		at = times.Earlier(at, d.moveUntil)
	}
	for _, a := range d.open {
		if deadline := d.startDeadline(a); !deadline.IsZero() {
			at = times.Earlier(at, deadline)
		}
	}
	return at
}

// startDeadline returns the time by which an attempt must have data, since its replica's version
// may not start requests later; zero for no limit. That includes requests that may not be
// repeated: they could otherwise start as late as their caller's deadline.
//
// A replica that was given an earlier deadline than the caller's drops the request by itself, and
// says whether it ran. That answer is awaited if it matters.
func (d *delivery) startDeadline(a *attempt) time.Time {
	if a.gotData || !a.to.Engine {
		return time.Time{}
	}
	if !a.to.Deadline.IsZero() && d.rq.needsOutcome() {
		return a.to.Deadline.Add(outcomeMargin)
	}
	return d.relay.versionDeadline(d.rq, a.to.Version)
}

// check handles what is due without a part: the deadlines of versions, a move that was not
// accepted, and silence.
func (d *delivery) check(now time.Time) {
	for _, a := range slices.Clone(d.open) {
		if deadline := d.startDeadline(a); !deadline.IsZero() && !now.Before(deadline) {
			d.logVersionDeadline(now, a)
			d.giveUp(a, fault.LinkStalled)
		}
	}
	switch {
	case len(d.open) == 0:
	case !d.moveUntil.IsZero():
		if !now.Before(d.moveUntil) {
			d.endMove()
		}
	case !now.Before(d.silentAt):
		d.handleSilence(now)
	}
}

// handleSilence opens another attempt, if possible. Those that are open go on.
func (d *delivery) handleSilence(now time.Time) {
	d.silentAt = now.Add(minFirstWait)
	if !d.rq.repeatable() {
		return
	}
	for _, a := range d.open {
		a.silent = true
		d.relay.table.RecordSilence(now, a.to.Reservation)
	}
	if !d.mayOpenAnother() {
		return
	}
	choice, _, ok := d.relay.choose(d.ctx, d.rq, d.exclude, d.arrivals+len(d.open))
	if !ok {
		return
	}
	d.relay.Metrics.Retried(fault.LinkStalled)
	d.start(choice)
}

// mayOpenAnother reports whether the request may be sent to another replica while attempts are
// open.
func (d *delivery) mayOpenAnother() bool {
	rq := d.rq
	return rq.attempts < maxAttempts && d.runs+len(d.open) < max(1, rq.route.MaxAttempts) &&
		mayRetry(rq, d.out, unknown(fault.LinkStalled)) && !d.relay.isQuarantined(time.Now(), rq)
}
