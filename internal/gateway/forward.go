package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// runForward dispatches to a gateway of another hall. A gateway cannot void a
// request, so after a lost connection the outcome is unknown.
func (a *attempt) runForward(ctx context.Context) dispatch.Result {
	attemptCtx, cancel := context.WithDeadline(ctx, a.d.Deadline.Add(-voidReserve))
	defer cancel()
	s, err := a.send(attemptCtx)
	if err != nil {
		return a.notSent(attemptCtx, err)
	}
	defer s.Close()
	r, err := a.follow(attemptCtx, s)
	if err != nil {
		return a.result(dispatch.Unknown, fault.CodeOf(err))
	}
	return r
}

// serveForward serves a request forwarded by a gateway of another hall.
func (g *Gateway) serveForward(ctx context.Context, s *wire.Stream, d *dispatch.Dispatch) {
	g.Metrics.Event("forwarded_here", "")
	id := d.ID
	sendRefusal := func(res dispatch.Result) {
		_ = s.SendLast(ctx, &dispatch.Refusal{
			ID: id, Reason: res.Reason, MayHaveRun: res.Outcome != dispatch.NotRun, RetryAt: res.RetryAt,
		})
	}
	if g.draining.Load() {
		sendRefusal(refusal(fault.New(fault.Draining, g.Settings.Box), time.Time{}))
		return
	}
	rq, err := g.newRequest(*d)
	if err != nil {
		sendRefusal(refusal(err, time.Time{}))
		return
	}
	rq.forwarded = true
	parts, sum := 0, sha256.New()
	res := g.process(ctx, rq, &sink{
		head: func(h *dispatch.AnswerHead) error {
			head := *h
			head.ID, head.Digest = id, ""
			return s.Send(ctx, &head)
		},
		data: func(b []byte) error {
			parts++
			sum.Write(b)
			return s.Send(ctx, &dispatch.AnswerData{ID: id, Seq: parts - 1, Data: b})
		},
		started: func() bool { return parts > 0 },
	})
	if res.Outcome != dispatch.Done {
		sendRefusal(res)
		return
	}
	_ = s.SendLast(ctx, &dispatch.AnswerEnd{ID: id, Seq: parts, Sum: hex.EncodeToString(sum.Sum(nil))})
}

// newRequest returns a request for a dispatch from a caller or another gateway. It
// assigns a new ID of this gateway to it.
func (g *Gateway) newRequest(d dispatch.Dispatch) (*request, error) {
	v := g.holder.Get()
	if v.Config == nil {
		return nil, fault.New(fault.NotReady, "no configuration received")
	}
	service, ok := v.Config.Services[d.Service]
	if !ok {
		return nil, fault.New(fault.NoService, d.Service)
	}
	now := time.Now()
	if latest := now.Add(v.Config.Limits.MaxDeadline); d.Deadline.After(latest) {
		d.Deadline = latest
	}
	d.ID = dispatch.RequestID{Incarnation: g.incarnation, Seq: g.seq.Add(1)}
	d.Revision = v.Revision()
	d.Incarnation, d.Digest = 0, ""
	return &request{d: d, view: v, service: service, arrived: now, prefix: promptPrefix(&d)}, nil
}
