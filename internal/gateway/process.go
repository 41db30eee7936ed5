package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/view"
)

// request is one request on its way through the gateway. It is decided by one
// view from start to end.
type request struct {
	d         dispatch.Dispatch // Without what each attempt adds.
	view      *view.View
	service   config.Service
	prefix    string // What the prompt's prefix cache would be found by.
	forwarded bool   // From a gateway of another hall; it never goes to a third.
	arrived   time.Time
	version   string // The last version that was dispatched for.
}

// process admits a request, dispatches it as often as is safe, and returns what
// the caller is to be told. The answer has gone to out if it is Done.
func (g *Gateway) process(ctx context.Context, rq *request, out *sink) dispatch.Result {
	org := rq.view.Config.Organisations[rq.d.Organisation]
	gateways := len(rq.view.Gateways(""))
	r := g.rate(rq.d.Organisation)
	if at, err := r.Acquire(time.Now(), limit.Split(org.Rate, org.InFlight, gateways)); err != nil {
		return refused(err, at)
	}
	defer r.Release()
	g.budget.RecordRequest(time.Now(), rq.view.Config.Limits.RetryPercent)
	release, err := g.queue(rq.d.Service).Acquire(ctx, limit.Request{
		Organisation: rq.d.Organisation, Weight: org.Weight, Priority: rq.d.Priority, Deadline: rq.d.Deadline,
	})
	if err != nil {
		return refused(err, g.comeBack(rq))
	}
	defer release()
	return g.tryAll(ctx, rq, out)
}

func refused(err error, at time.Time) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.CodeOf(err), RetryAt: at}
}

// comeBack estimates when the queue will have room: its length over what this
// gateway finishes, by the time answers are taking.
func (g *Gateway) comeBack(rq *request) time.Time {
	const each = 500 * time.Millisecond
	running, waiting := g.queue(rq.d.Service).Load()
	return limit.RetryTime(time.Now(), each*time.Duration(waiting)/time.Duration(max(1, running)))
}

// tryAll dispatches until the outcome is final.
func (g *Gateway) tryAll(ctx context.Context, rq *request, out *sink) dispatch.Result {
	tried := map[string]bool{}
	var trail dispatch.Attempts
	for {
		res := trail.Add(g.tryOne(ctx, rq, tried, out))
		now := time.Now()
		step, why := dispatch.Decide(now, &rq.d, res, g.Settings.MaxAttempts, g.budget.Spend)
		switch step {
		case dispatch.Deliver:
			return res
		case dispatch.GiveUp:
			if why != "" {
				res.Reason = why
			}
			if res.Outcome == dispatch.NotRun && res.RetryAt.IsZero() {
				res.RetryAt = g.comeBack(rq)
			}
			return res
		}
		g.Metrics.Retried(res.Reason)
		rq.d.ID.Attempt++
		pauseBeforeRetry(ctx, rq.d.ID.Attempt)
	}
}

// pauseBeforeRetry lets a state that changes, such as a reload, settle.
func pauseBeforeRetry(ctx context.Context, attempt int) {
	const step = 5 * time.Millisecond
	t := time.NewTimer(step << min(attempt, 6))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// tryOne chooses a box and dispatches to it once.
func (g *Gateway) tryOne(ctx context.Context, rq *request, tried map[string]bool, out *sink) dispatch.Result {
	d := rq.d
	d.Digest = g.version(rq)
	rq.version = d.Digest
	if d.Key != "" {
		return g.tryHome(ctx, rq, d, out)
	}
	now := time.Now()
	q := route.Query{Service: d.Service, Digest: d.Digest, Prefix: rq.prefix, Exclude: tried, Share: 1 / float64(g.gatewaysHere())}
	u, err := g.router.Pick(now, q)
	if err != nil && len(tried) > 0 {
		// Every one was tried; each may have changed its mind since.
		clear(tried)
		u, err = g.router.Pick(now, q)
	}
	if err != nil {
		return g.spill(ctx, rq, d, out, err)
	}
	tried[u.Box.Name] = true
	a := &attempt{gateway: g, d: &d, addr: u.Box.Addr, box: u.Box.Name, sink: out}
	res := a.run(ctx)
	g.learn(u, a, now, res)
	return res
}

// learn tells the router how an attempt went.
func (g *Gateway) learn(u route.Upstream, a *attempt, began time.Time, res dispatch.Result) {
	e := route.DispatchResult{}
	if !a.firstAt.IsZero() {
		e.FirstData = a.firstAt.Sub(began)
		g.Metrics.FirstData(e.FirstData.Seconds())
	}
	switch res.Reason {
	case "", fault.Cancelled, errSink:
	case fault.Unreachable, fault.Closed, fault.Stalled, fault.UpstreamFailed, fault.Truncated, fault.MixedVersion, fault.Timeout:
		e.Failed = true
	default:
		g.router.RecordRefusal(u.Box.Name, u.Report.Incarnation, res.Reason)
	}
	g.router.Done(time.Now(), u.Box.Name, u.Report.Incarnation, e)
}

// version is the one that the service is asked for in this hall now.
func (g *Gateway) version(rq *request) string {
	if rq.service.Kind == config.KindPlain {
		return ""
	}
	return g.rollout.Version(time.Now(), route.Target{
		Service: rq.d.Service, Digest: rq.view.Config.Wanted(rq.service),
		Revision: rq.view.Revision(), MinReady: rq.service.ReadyBeforeTraffic,
	}, &g.router)
}

// tryHome dispatches a request with an idempotency key to the key's home, which
// every gateway with the same view computes alike, wherever it is.
func (g *Gateway) tryHome(ctx context.Context, rq *request, d dispatch.Dispatch, out *sink) dispatch.Result {
	home := rendezvous.First(d.Key, rq.view.Placement.ByService[d.Service])
	b, ok := rq.view.Boxes[home]
	if !ok {
		return refused(fault.New(fault.NoUpstream, d.Service), g.comeBack(rq))
	}
	a := &attempt{gateway: g, d: &d, addr: b.Addr, sink: out}
	res := a.run(ctx)
	if res.Reason != fault.Unreachable {
		return res
	}
	// What a dead home ran is not known here, so nobody else may run it. The request itself may
	// have been sent to it, where its end was noticed only then.
	res.Reason = fault.HomeUnreachable
	if res.Outcome == dispatch.NotRun {
		res.RetryAt = g.comeBack(rq)
	}
	return res
}

// spill forwards to a gateway of another hall when this hall has nobody for a
// service. A forwarded request is never spilled again.
func (g *Gateway) spill(ctx context.Context, rq *request, d dispatch.Dispatch, out *sink, why error) dispatch.Result {
	if rq.forwarded {
		return refused(why, g.comeBack(rq))
	}
	gw, ok := g.elsewhere(rq, d.ID.Attempt)
	if !ok {
		return refused(why, g.comeBack(rq))
	}
	g.Metrics.Event("spill", gw.Hall)
	rq.version = "" // Another hall's gateway decides it.
	d.Digest = ""
	a := &attempt{gateway: g, d: &d, addr: gw.Addr, forward: true, sink: out}
	return a.runForward(ctx)
}

// elsewhere chooses a gateway of a hall where the service has replicas; each
// attempt another one.
func (g *Gateway) elsewhere(rq *request, attempt int) (fleet.Box, bool) {
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
