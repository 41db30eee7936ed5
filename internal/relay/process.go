package relay

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
)

// mostAttempts bounds the attempts of one request.
const mostAttempts = 5

// process sends a request until its outcome is final.
func (g *Relay) process(ctx context.Context, rq *request, out *answer) dispatch.Result {
	if now := time.Now(); !g.leaving.Load().admits(now, rq) {
		return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Draining, RetryAt: now.Add(elsewhereIn())}
	}
	if g.quarantined(time.Now(), rq) {
		return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Quarantined, RetryAt: rq.known.Until}
	}
	window := g.window(rq.service)
	window.Request(rq.arrived)
	var all dispatch.Trail
	exclude := map[string]bool{}
	arrivals, runs := 0, 0 // Sends that reached a replica, and those that may have run.
	last := notRun(fault.NoUpstream)
	defer func() {
		if rq.next != nil { // It was begun and is not used.
			rq.next.release(false)
			g.table.Done(time.Now(), rq.next.to.Ticket, route.End{})
		}
	}()
	for rq.attempts < mostAttempts {
		now := time.Now()
		if !now.Before(rq.deadline) {
			last = all.Add(notRun(fault.PastDeadline))
			break
		}
		a := rq.next
		rq.next = nil
		if a == nil {
			choice, res, ok := g.choose(ctx, rq, exclude, arrivals)
			if !ok {
				if rq.attempts == 0 {
					last = all.Add(res)
				} else if last.Outcome == dispatch.NotRun {
					last.RetryAt = res.RetryAt
				}
				break
			}
			rq.attempts++
			a = &attempt{relay: g, rq: rq, out: out, to: choice, round: rq.nextRound(), epoch: rq.known.Epoch}
		}
		exclude[a.to.ID] = true
		own := a.run(ctx)
		rq.note(a, own)
		a.settle(own)
		if reached(own) {
			arrivals++
		}
		if own.Outcome == dispatch.Unknown {
			runs++
		}
		last = all.Add(own)
		if own.Outcome == dispatch.Done {
			return own
		}
		if ctx.Err() != nil || !mayGoOn(rq, out, own) || runs >= max(1, rq.route.Attempts) {
			break
		}
		if g.quarantined(time.Now(), rq) {
			break
		}
		g.Metrics.Retried(own.Reason)
	}
	if last.Outcome == dispatch.NotRun && last.RetryAt.IsZero() {
		last.RetryAt = g.comeBack(time.Now(), rq, 0)
	}
	if last.Outcome != dispatch.Done && !out.started && ctx.Err() == nil && out.giveFailed() {
		return dispatch.Result{Outcome: dispatch.Done, Reason: fault.UpstreamFailed}
	}
	return last
}

// choose chooses a replica for the next send, or says why there is none. One that has a limit
// is passed over if there is no permit for the request.
func (g *Relay) choose(ctx context.Context, rq *request, exclude map[string]bool, arrivals int) (route.Choice, dispatch.Result, bool) {
	for asked := 0; ; asked++ {
		now := time.Now()
		choice, err := g.table.Pick(now, rq.ask(g, exclude))
		rq.seen = choice.Seen
		if err != nil {
			return choice, g.noneFor(now, rq, choice, err), false
		}
		rq.chosen(g, now, choice)
		if arrivals == 0 && !admits(rq, choice) {
			g.table.Done(now, choice.Ticket, route.End{})
			res := notRun(fault.QueueFull)
			res.RetryAt = g.comeBack(now, rq, choice.Wait)
			return choice, res, false
		}
		if !g.hasPermit(ctx, rq, &choice) {
			g.table.Done(time.Now(), choice.Ticket, route.End{})
			if asked < permitsAsked && ctx.Err() == nil {
				continue
			}
			res := notRun(fault.UpstreamLimited)
			res.RetryAt = afterRest(now, now)
			return choice, res, false
		}
		if arrivals > 0 && !g.window(rq.service).Spend(now, g.slack()) {
			g.table.Done(now, choice.Ticket, route.End{})
			g.Metrics.Event("retry_budget_spent", "")
			return choice, notRun(fault.RetryBudget), false
		}
		return choice, dispatch.Result{}, true
	}
}

// noneFor is the result of a request for which no replica could be chosen.
func (g *Relay) noneFor(now time.Time, rq *request, choice route.Choice, err error) dispatch.Result {
	rq.holding = fmt.Sprint(g.table.Holding(now, rq.service))
	res := notRun(fault.CodeOf(err))
	res.RetryAt = g.comeBack(now, rq, 0)
	if res.Reason == fault.UpstreamResting || res.Reason == fault.UpstreamLimited {
		res.RetryAt = afterRest(now, choice.Seen.BackAt)
	}
	return res
}

// chosen notes what is known of the replica that a send goes to.
func (rq *request) chosen(g *Relay, now time.Time, c route.Choice) {
	rq.predicted, rq.wait, rq.reportAge = c.Predicted, c.Wait, c.ReportAge
	rq.held, rq.boundIn, rq.listedAt = c.Version, 0, c.ListedAt
	if bound := g.bound(rq, c.Version); c.Engine && !bound.IsZero() {
		rq.boundIn = bound.Sub(now)
	}
}

// reached reports whether a send that ended so has reached its replica.
func reached(res dispatch.Result) bool {
	switch res.Reason {
	case fault.Unreachable, fault.UpstreamLeaving, fault.UpstreamResting, fault.UpstreamLimited:
		return false
	}
	return true
}

// mayGoOn reports whether the request may be sent once more after a send that
// ended so.
func mayGoOn(rq *request, out *answer, own dispatch.Result) bool {
	if own.Outcome == dispatch.NotRun && !out.started {
		return true
	}
	if !rq.repeatable() {
		return false
	}
	return !out.started || rq.route.Resumable && rq.lastEvent != ""
}

// note adds what became of a send to the request's story.
func (rq *request) note(a *attempt, res dispatch.Result) {
	ending := string(res.Reason)
	if ending == "" {
		ending = "done"
	}
	rq.trail = append(rq.trail, a.to.ID+"="+ending)
}

// retryIn is when a refused caller is told to come back, in milliseconds.
func retryIn(res dispatch.Result, now time.Time) int64 {
	if res.RetryAt.IsZero() {
		return 0
	}
	return res.RetryAt.Sub(now).Milliseconds()
}

// logEnd writes the one line that tells a request's story.
func (g *Relay) logEnd(rq *request, out *answer, res dispatch.Result) {
	now := time.Now()
	first := -time.Millisecond
	if !out.firstAt.IsZero() {
		first = out.firstAt.Sub(rq.arrived)
	}
	telemetry.Log("request", "id", rq.id, "key", rq.key, "route", rq.routeName, "service", rq.service, "organisation", rq.organisation,
		"outcome", res.Outcome, "reason", res.Reason, "attempts", strings.Join(rq.trail, ","),
		"predicted_ms", rq.predicted.Milliseconds(), "wait_ms", rq.wait.Milliseconds(), "report_age_ms", rq.reportAge.Milliseconds(),
		"client_retry", rq.retried, "holding", rq.holding, "retry_in_ms", retryIn(res, now), "first_ms", first.Milliseconds(), "pause_ms", out.pause.Milliseconds(), "took_ms", now.Sub(rq.arrived).Milliseconds(), "left_ms", rq.deadline.Sub(now).Milliseconds(),
		"prompt", rq.work.Prompt, "weights", rq.version, "held", rq.held, "held_for_ms", rq.boundIn.Milliseconds(), "listed_at", rq.listedAt, "seen", rq.seen, "limit", rq.limit, "sent_4s", rq.sent, "revision", rq.catalog.At, "version", rq.catalog.Version)
}
