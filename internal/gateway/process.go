package gateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/drain"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/view"
)

// request is a request that the gateway processes. The same view is used for it
// from start to end.
type request struct {
	d         dispatch.Dispatch // Without the fields that each attempt sets.
	view      *view.View
	service   config.Service
	prefix    string // Key for prefix-cache affinity; empty for none.
	forwarded bool   // Received from a gateway of another hall; never forwarded again.
	arrived   time.Time
	version   string // The version of the last dispatch.
	inFlight  drain.Request
}

// process admits a request, dispatches it with retries where that is safe, and
// returns the result for the caller. If the outcome is Done, the answer has been
// written to out.
func (g *Gateway) process(ctx context.Context, rq *request, out *sink) dispatch.Result {
	rq.inFlight = drain.Request{ID: fmt.Sprintf("%x/%d", rq.d.ID.Incarnation, rq.d.ID.Seq), Service: rq.d.Service, ArrivedAt: rq.arrived, Deadline: rq.d.Deadline}
	defer g.inFlight.Add(&rq.inFlight)()
	org := rq.view.Config.Organisations[rq.d.Organisation]
	gateways := len(rq.view.Gateways(""))
	r := g.rate(rq.d.Organisation)
	if retryAt, err := r.Acquire(time.Now(), limit.Split(org.Rate, org.InFlight, gateways)); err != nil {
		return refusal(err, retryAt)
	}
	defer r.Release()
	g.budget.RecordRequest(time.Now(), rq.view.Config.Limits.RetryPercent)
	release, err := g.queue(rq.d.Service).Acquire(ctx, admission.Request{
		Organisation: rq.d.Organisation, Weight: org.Weight, Priority: rq.d.Priority, Deadline: rq.d.Deadline,
	})
	if err != nil {
		return refusal(err, g.estimateRetryTime(rq))
	}
	defer release()
	return g.dispatchWithRetries(ctx, rq, out)
}

func refusal(err error, retryAt time.Time) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.CodeOf(err), RetryAt: retryAt}
}

// estimateRetryTime estimates when the queue will have room, from its length and
// the number of requests that run, assuming 500 ms for each request.
func (g *Gateway) estimateRetryTime(rq *request) time.Time {
	const perRequest = 500 * time.Millisecond
	running, waiting := g.queue(rq.d.Service).Load()
	return limit.RetryTime(time.Now(), perRequest*time.Duration(waiting)/time.Duration(max(1, running)))
}

// dispatchWithRetries dispatches a request until its outcome is final.
func (g *Gateway) dispatchWithRetries(ctx context.Context, rq *request, out *sink) dispatch.Result {
	tried := map[string]bool{}
	var attempts dispatch.Attempts
	for {
		res := attempts.Add(g.dispatchOnce(ctx, rq, tried, out))
		now := time.Now()
		step, code := dispatch.Decide(now, &rq.d, res, g.Settings.MaxAttempts, g.budget.TrySpend)
		switch step {
		case dispatch.Deliver:
			return res
		case dispatch.GiveUp:
			if code != "" {
				res.Reason = code
			}
			if res.Outcome == dispatch.NotRun && res.RetryAt.IsZero() {
				res.RetryAt = g.estimateRetryTime(rq)
			}
			return res
		}
		g.Metrics.Retried(res.Reason)
		rq.d.ID.Attempt++
		pauseBeforeRetry(ctx, rq.d.ID.Attempt)
	}
}

// pauseBeforeRetry waits before a retry, so that a transient state such as a
// reload can pass. The wait doubles with each attempt, from 10 ms up to 320 ms.
func pauseBeforeRetry(ctx context.Context, attempt int) {
	const unit = 5 * time.Millisecond
	t := time.NewTimer(unit << min(attempt, 6))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// dispatchOnce chooses a box and makes one attempt there.
func (g *Gateway) dispatchOnce(ctx context.Context, rq *request, tried map[string]bool, out *sink) dispatch.Result {
	d := rq.d
	d.Digest = g.targetVersion(rq)
	rq.version = d.Digest
	if d.Key != "" {
		return g.dispatchToKeyHome(ctx, rq, d, out)
	}
	now := time.Now()
	q := route.Query{Service: d.Service, Digest: d.Digest, Prefix: rq.prefix, Exclude: tried, Share: 1 / float64(g.gatewaysInHall())}
	u, err := g.router.Pick(now, q)
	if err != nil && len(tried) > 0 {
		// Every upstream was tried, but the state of each may have changed since.
		clear(tried)
		u, err = g.router.Pick(now, q)
	}
	if err != nil {
		return g.spill(ctx, rq, d, out, err)
	}
	tried[u.Box.Name] = true
	g.inFlight.SetUpstream(&rq.inFlight, u.Box.Name)
	a := &attempt{gateway: g, d: &d, addr: u.Box.Addr, box: u.Box.Name, sink: out}
	res := a.run(ctx)
	g.recordResult(u, a, now, res)
	return res
}

// recordResult reports the result of an attempt to the router.
func (g *Gateway) recordResult(u route.Upstream, a *attempt, start time.Time, res dispatch.Result) {
	dr := route.DispatchResult{}
	if !a.firstDataAt.IsZero() {
		dr.FirstData = a.firstDataAt.Sub(start)
		g.Metrics.FirstData(dr.FirstData.Seconds())
	}
	switch {
	case res.Reason == "", res.Reason == fault.Cancelled, res.Reason == codeCallerGone:
	case isBoxFailure(res.Reason):
		dr.Failed = true
	default:
		g.router.RecordRefusal(u.Box.Name, u.Report.Incarnation, res.Reason)
	}
	g.router.Done(time.Now(), u.Box.Name, u.Report.Incarnation, dr)
}

// isBoxFailure reports whether a reason tells of a failure of the box, and not of a refusal.
func isBoxFailure(reason fault.Code) bool {
	switch reason {
	case fault.Unreachable, fault.ConnectionLost, fault.LinkStalled, fault.UpstreamFailed, fault.Truncated,
		fault.AnswerTooLarge, fault.MixedVersion, fault.Timeout:
		return true
	}
	return false
}

// targetVersion returns the digest of the version to dispatch for in this hall,
// which is empty for a plain service.
func (g *Gateway) targetVersion(rq *request) string {
	if rq.service.Kind == config.KindPlain {
		return ""
	}
	return g.rollout.Version(time.Now(), route.Target{
		Service: rq.d.Service, Digest: rq.view.Config.VersionDigest(rq.service),
		Revision: rq.view.Revision(), MinReady: rq.service.ReadyBeforeTraffic,
	}, &g.router)
}

// dispatchToKeyHome dispatches a request with an idempotency key to the key's
// home, in whichever hall that is. Every gateway with the same view computes the
// same home.
func (g *Gateway) dispatchToKeyHome(ctx context.Context, rq *request, d dispatch.Dispatch, out *sink) dispatch.Result {
	home := rendezvous.First(d.Key, rq.view.Placement.ByService[d.Service])
	b, ok := rq.view.Boxes[home]
	if !ok {
		return refusal(fault.New(fault.NoUpstream, d.Service), g.estimateRetryTime(rq))
	}
	a := &attempt{gateway: g, d: &d, addr: b.Addr, sink: out}
	res := a.run(ctx)
	if res.Reason != fault.Unreachable {
		return res
	}
	// Which keys an unreachable home has run is unknown, so no other box may run the request.
	// The outcome may be Unknown rather than NotRun: the home may have received the request
	// before it became unreachable.
	res.Reason = fault.KeyHomeUnreachable
	if res.Outcome == dispatch.NotRun {
		res.RetryAt = g.estimateRetryTime(rq)
	}
	return res
}

// spill forwards a request to a gateway of another hall when no upstream of this
// hall is available for the service. A forwarded request is never spilled again.
func (g *Gateway) spill(ctx context.Context, rq *request, d dispatch.Dispatch, out *sink, cause error) dispatch.Result {
	if rq.forwarded {
		return refusal(cause, g.estimateRetryTime(rq))
	}
	gw, ok := g.remoteGateway(rq, d.ID.Attempt)
	if !ok {
		return refusal(cause, g.estimateRetryTime(rq))
	}
	g.Metrics.Event("spill", gw.Hall)
	rq.version = "" // The gateway of the other hall chooses the version.
	d.Digest = ""
	a := &attempt{gateway: g, d: &d, addr: gw.Addr, forward: true, sink: out}
	return a.runForward(ctx)
}

// remoteGateway chooses a gateway of another hall where the service has replicas.
// Successive attempts use different gateways.
func (g *Gateway) remoteGateway(rq *request, attempt int) (fleet.Box, bool) {
	var boxes []string
	for _, b := range rq.view.Gateways("") {
		if b.Hall != g.Settings.Hall && rq.service.Replicas[b.Hall] > 0 {
			boxes = append(boxes, b.Name)
		}
	}
	if len(boxes) == 0 {
		return fleet.Box{}, false
	}
	ranked := rendezvous.Rank(strings.Join([]string{"spill", g.Settings.Box, rq.prefix}, "/"), boxes)
	return rq.view.Boxes[ranked[attempt%len(ranked)]], true
}
