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

// maxAttempts bounds the attempts of one request.
const maxAttempts = 5

// process sends a request until its outcome is final.
func (g *Relay) process(ctx context.Context, rq *request, out *answer) dispatch.Result {
	if now := time.Now(); !g.stopping.Load().admits(now, rq) {
		return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Draining, RetryAt: now.Add(drainRetryDelay())}
	}
	if g.isQuarantined(time.Now(), rq) {
		return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Quarantined, RetryAt: rq.verdict.Until}
	}
	window := g.retryWindow(rq.service)
	window.RecordRequest(rq.arrivedAt)
	var all dispatch.Attempts
	exclude := map[string]bool{}
	arrivals, runs := 0, 0 // Sends that reached a replica, and those that may have run.
	last := notRun(fault.NoUpstream)
	defer func() {
		if rq.next != nil { // It was begun and is not used.
			rq.next.release(false)
			g.table.Done(time.Now(), rq.next.to.Reservation, route.RequestResult{})
		}
	}()
	for rq.attempts < maxAttempts {
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
			a = &attempt{relay: g, rq: rq, out: out, to: choice, round: rq.nextStrikeRound(), epoch: rq.verdict.Epoch}
		}
		exclude[a.to.ID] = true
		own := a.run(ctx)
		rq.recordAttempt(a, own)
		a.updateSuspects(own)
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
		if ctx.Err() != nil || !mayRetry(rq, out, own) || runs >= max(1, rq.route.Attempts) {
			break
		}
		if g.isQuarantined(time.Now(), rq) {
			break
		}
		g.Metrics.Retried(own.Reason)
	}
	if last.Outcome == dispatch.NotRun && last.RetryAt.IsZero() {
		last.RetryAt = g.retryTime(time.Now(), rq, 0)
	}
	if last.Outcome != dispatch.Done && !out.started && ctx.Err() == nil && out.writeFailure() {
		return dispatch.Result{Outcome: dispatch.Done, Reason: fault.UpstreamFailed}
	}
	return last
}

// choose chooses a replica for the next send, or says why there is none. One that has a limit
// is passed over if there is no permit for the request.
func (g *Relay) choose(ctx context.Context, rq *request, exclude map[string]bool, arrivals int) (route.Choice, dispatch.Result, bool) {
	for asked := 0; ; asked++ {
		now := time.Now()
		choice, err := g.table.Pick(now, rq.routeAsk(g, exclude))
		rq.replicaStates = choice.Availability
		if err != nil {
			return choice, g.noReplicaResult(now, rq, choice, err), false
		}
		rq.recordChoice(g, now, choice)
		if arrivals == 0 && !admits(rq, choice) {
			g.table.Done(now, choice.Reservation, route.RequestResult{})
			res := notRun(fault.QueueFull)
			res.RetryAt = g.retryTime(now, rq, choice.QueueWait)
			return choice, res, false
		}
		if !g.hasPermit(ctx, rq, &choice) {
			g.table.Done(time.Now(), choice.Reservation, route.RequestResult{})
			if asked < maxPermitRequests && ctx.Err() == nil {
				continue
			}
			res := notRun(fault.UpstreamLimited)
			res.RetryAt = retryAfterRest(now, now)
			return choice, res, false
		}
		if arrivals > 0 && !g.retryWindow(rq.service).Spend(now, g.retrySlack()) {
			g.table.Done(now, choice.Reservation, route.RequestResult{})
			g.Metrics.Event("retry_budget_spent", "")
			return choice, notRun(fault.RetryBudget), false
		}
		return choice, dispatch.Result{}, true
	}
}

// noReplicaResult is the result of a request for which no replica could be chosen.
func (g *Relay) noReplicaResult(now time.Time, rq *request, choice route.Choice, err error) dispatch.Result {
	rq.replicaVersions = fmt.Sprint(g.table.CountByVersion(now, rq.service))
	res := notRun(fault.CodeOf(err))
	res.RetryAt = g.retryTime(now, rq, 0)
	if res.Reason == fault.UpstreamResting || res.Reason == fault.UpstreamLimited {
		res.RetryAt = retryAfterRest(now, choice.Availability.BackAt)
	}
	return res
}

// recordChoice notes what is known of the replica that a send goes to.
func (rq *request) recordChoice(g *Relay, now time.Time, c route.Choice) {
	rq.predicted, rq.queueWait, rq.reportAge = c.Predicted, c.QueueWait, c.ReportAge
	rq.heldVersion, rq.versionLeft, rq.listedAt = c.Version, 0, c.ListedAt
	if bound := g.versionDeadline(rq, c.Version); c.Engine && !bound.IsZero() {
		rq.versionLeft = bound.Sub(now)
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

// mayRetry reports whether the request may be sent once more after a send that
// ended so.
func mayRetry(rq *request, out *answer, own dispatch.Result) bool {
	if own.Outcome == dispatch.NotRun && !out.started {
		return true
	}
	if !rq.repeatable() {
		return false
	}
	return !out.started || rq.route.Resumable && rq.lastEventID != ""
}

// recordAttempt adds what became of a send to the request's story.
func (rq *request) recordAttempt(a *attempt, res dispatch.Result) {
	ending := string(res.Reason)
	if ending == "" {
		ending = "done"
	}
	rq.attemptResults = append(rq.attemptResults, a.to.ID+"="+ending)
}

// retryInMillis is when a refused caller is told to come back, in milliseconds.
func retryInMillis(res dispatch.Result, now time.Time) int64 {
	if res.RetryAt.IsZero() {
		return 0
	}
	return res.RetryAt.Sub(now).Milliseconds()
}

// logRequest writes the one line that tells a request's story.
func (g *Relay) logRequest(rq *request, out *answer, res dispatch.Result) {
	now := time.Now()
	first := -time.Millisecond
	if !out.firstAt.IsZero() {
		first = out.firstAt.Sub(rq.arrivedAt)
	}
	telemetry.Log("request", "id", rq.id, "key", rq.key, "route", rq.routeName, "service", rq.service, "organisation", rq.organisation,
		"outcome", res.Outcome, "reason", res.Reason, "attempts", strings.Join(rq.attemptResults, ","),
		"predicted_ms", rq.predicted.Milliseconds(), "wait_ms", rq.queueWait.Milliseconds(), "report_age_ms", rq.reportAge.Milliseconds(),
		"client_retry", rq.retried, "holding", rq.replicaVersions, "retry_in_ms", retryInMillis(res, now), "first_ms", first.Milliseconds(), "pause_ms", out.longestGap.Milliseconds(), "took_ms", now.Sub(rq.arrivedAt).Milliseconds(), "left_ms", rq.deadline.Sub(now).Milliseconds(),
		"prompt", rq.work.PromptTokens, "weights", rq.version, "held", rq.heldVersion, "held_for_ms", rq.versionLeft.Milliseconds(), "listed_at", rq.listedAt, "seen", rq.replicaStates, "limit", rq.limit, "sent_4s", rq.recentSends, "revision", rq.catalog.Position, "version", rq.catalog.Version)
}
