package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
)

// process sends a request, with retries, until its outcome is final.
func (g *Relay) process(ctx context.Context, rq *request, out *answer) dispatch.Result {
	if now := time.Now(); !g.stopping.Load().admits(now, rq) {
		return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Draining, RetryAt: now.Add(drainRetryDelay())}
	}
	if g.isQuarantined(time.Now(), rq) {
		return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Quarantined, RetryAt: rq.verdict.Until}
	}
	g.recordRequest(rq)
	defer g.waiting.requestEnded(rq)
	d := newDelivery(g, ctx, rq, out)
	defer d.close()
	last := d.run()
	if last.Outcome == dispatch.NotRun && last.RetryAt.IsZero() {
		last.RetryAt = g.retryTime(time.Now(), rq, last.Reason)
	}
	if last.Outcome != dispatch.Done && !out.started && ctx.Err() == nil && out.writeFailure() {
		return dispatch.Result{Outcome: dispatch.Done, Reason: fault.UpstreamFailed}
	}
	return last
}

// choose picks a replica for the next attempt; ok is false, with the result of the request, if
// there is none. A replica with a limit is skipped if no permit is granted.
func (g *Relay) choose(ctx context.Context, rq *request, exclude map[string]bool, arrivals int) (route.Choice, dispatch.Result, bool) {
	for permitRequests := 0; ; permitRequests++ {
		criteria := rq.routeCriteria(g, exclude)
		criteria.AvoidPermits = permitRequests >= maxPermitWaits
		if arrivals == 0 {
			criteria.MaxWait = g.admissions.allowedWait(time.Now(), rq)
		}
		criteria.Draw = g.readLoads(ctx, rq, criteria)
		now := time.Now()
		choice, err := g.table.Pick(now, criteria)
		rq.availability = choice.Availability
		if err != nil {
			return choice, g.noReplicaResult(now, rq, choice, err), false
		}
		rq.recordChoice(g, now, choice)
		if arrivals == 0 && !g.admits(now, rq, choice) {
			g.table.Done(now, choice.Reservation, route.RequestResult{NotSent: true})
			return choice, notRun(fault.QueueFull), false
		}
		if !g.hasPermit(ctx, rq, &choice) {
			g.table.Done(time.Now(), choice.Reservation, route.RequestResult{NotSent: true})
			if permitRequests < maxPermitRequests && ctx.Err() == nil {
				continue
			}
			res := notRun(fault.UpstreamLimited)
			res.RetryAt = retryAfterBackoff(now, now)
			return choice, res, false
		}
		if arrivals > 0 && !g.spendRetry(now, rq, arrivals) {
			g.table.Done(now, choice.Reservation, route.RequestResult{NotSent: true})
			g.Metrics.Event("retry_budget_spent", "")
			return choice, notRun(fault.RetryBudget), false
		}
		return choice, dispatch.Result{}, true
	}
}

// noReplicaResult returns the result of a request for which no replica could be chosen.
func (g *Relay) noReplicaResult(now time.Time, rq *request, choice route.Choice, err error) dispatch.Result {
	rq.replicaVersions = fmt.Sprint(g.table.CountByVersion(now, rq.service))
	res := notRun(fault.CodeOf(err))
	res.RetryAt = g.retryTime(now, rq, res.Reason)
	if res.Reason == fault.NoUpstream {
		crit := rq.routeCriteria(g, nil)
		if at, ok := g.table.RetryAfterChange(now, rq.deadline, crit, g.admissions.level(rq), choice.Availability, len(g.gossip.Live()), rand.Float64()); ok {
			res.RetryAt = at
		}
	}
	if res.Reason == fault.UpstreamBackingOff || res.Reason == fault.UpstreamLimited {
		res.RetryAt = retryAfterBackoff(now, choice.Availability.BackAt)
	}
	return res
}

// recordChoice records for the log what is known of the chosen replica.
func (rq *request) recordChoice(g *Relay, now time.Time, c route.Choice) {
	rq.predicted, rq.queueWait, rq.reportAge, rq.freshLoad = c.Predicted, c.QueueWait, c.ReportAge, c.Fresh
	rq.heldVersion, rq.versionTimeLeft, rq.listedAt = c.Version, 0, c.ListedAt
	if deadline := g.versionDeadline(rq, c.Version); c.Engine && !deadline.IsZero() {
		rq.versionTimeLeft = deadline.Sub(now)
	}
}

// reached reports whether an attempt with this result has reached its replica.
func reached(res dispatch.Result) bool {
	switch res.Reason {
	case fault.Unreachable, fault.UpstreamLeaving, fault.HallsDrained, fault.UpstreamCold, fault.UpstreamBackingOff, fault.UpstreamLimited, fault.Quarantined:
		return false
	}
	return true
}

// mayRetry reports whether the request may be sent again after an attempt with this result.
func mayRetry(rq *request, out *answer, result dispatch.Result) bool {
	if result.Outcome == dispatch.NotRun && !out.started {
		return true
	}
	if !rq.repeatable() {
		return false
	}
	return !out.started || rq.mayContinue()
}

// recordAttempt adds the result of an attempt for the log.
func (rq *request) recordAttempt(a *attempt, res dispatch.Result) {
	reason := string(res.Reason)
	if reason == "" {
		reason = "done"
	}
	rq.attemptResults = append(rq.attemptResults, a.to.ID+"="+reason)
	rq.limit, rq.recentSends = a.to.Limit, a.recentSends
	if a.broken.by != endedByNobody {
		rq.broken = a.broken
	}
}

// retryInMillis returns the milliseconds until a refused caller should retry, or 0 if that is
// not set.
func retryInMillis(res dispatch.Result, now time.Time) int64 {
	if res.RetryAt.IsZero() {
		return 0
	}
	return res.RetryAt.Sub(now).Milliseconds()
}

// logRequest writes the log line of a request.
func (g *Relay) logRequest(rq *request, out *answer, res dispatch.Result) {
	now := time.Now()
	first := -time.Millisecond
	if !out.firstAt.IsZero() {
		first = out.firstAt.Sub(rq.arrivedAt)
	}
	telemetry.Log("request", "id", rq.id, "key", rq.key, "route", rq.routeName, "service", rq.service, "organisation", rq.organisation,
		"rank", rq.rank, "hall", g.Settings.Hall, "target_ms", rq.route.TargetLatency.Milliseconds(), "waited_ms", rq.admission.waited.Milliseconds(), "admission", rq.admission.decision.Cause,
		"outcome", res.Outcome, "reason", res.Reason, "attempts", strings.Join(rq.attemptResults, ","), "regions", rq.residency(g),
		"predicted_ms", rq.predicted.Milliseconds(), "wait_ms", rq.queueWait.Milliseconds(), "report_age_ms", rq.reportAge.Milliseconds(), "load_queried", rq.freshLoad,
		"client_retry", rq.attempt, "holding", rq.replicaVersions, "retry_in_ms", retryInMillis(res, now), "retries_before", rq.retriesBefore, "first_ms", first.Milliseconds(), "pause_ms", out.longestGap.Milliseconds(), "took_ms", now.Sub(rq.arrivedAt).Milliseconds(), "left_ms", rq.deadline.Sub(now).Milliseconds(),
		"prompt", rq.workload.PromptTokens, "parts", strings.Join(rq.parts, ","), "weights", rq.version, "held", rq.heldVersion, "held_for_ms", rq.versionTimeLeft.Milliseconds(), "listed_at", rq.listedAt, "seen", rq.availability, "limit", rq.limit, "sent_4s", rq.recentSends, "revision", rq.catalog.Position, "version", rq.catalog.Version)
}
