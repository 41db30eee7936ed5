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

// runForward dispatches to a gateway of another hall. There is no agent to ask
// after a lost connection, so that leaves the outcome unknown.
func (a *attempt) runForward(ctx context.Context) dispatch.Result {
	giveUp, cancel := context.WithDeadline(ctx, a.d.Deadline.Add(-voidWithin))
	defer cancel()
	s, err := a.send(giveUp)
	if err != nil {
		return a.notSent(giveUp, err)
	}
	defer s.Close()
	r, err := a.follow(giveUp, s)
	if err != nil {
		return a.result(dispatch.Unknown, fault.CodeOf(err))
	}
	return r
}

// serveForward serves a request that a gateway of another hall forwards.
func (g *Gateway) serveForward(ctx context.Context, s *wire.Stream, d *dispatch.Dispatch) {
	g.Metrics.Event("forwarded_here", "")
	id := d.ID
	fail := func(res dispatch.Result) {
		_ = s.SendLast(ctx, &dispatch.Refusal{
			ID: id, Reason: res.Reason, MayHaveRun: res.Outcome != dispatch.NotRun, RetryAt: res.RetryAt,
		})
	}
	rq, err := g.newRequest(*d)
	if err != nil {
		fail(refused(err, time.Time{}))
		return
	}
	rq.forwarded = true
	parts, sum := 0, sha256.New()
	res := g.process(ctx, rq, &sink{
		head: func(h *dispatch.AnswerHead) error {
			own := *h
			own.ID, own.Digest = id, ""
			return s.Send(ctx, &own)
		},
		data: func(b []byte) error {
			parts++
			sum.Write(b)
			return s.Send(ctx, &dispatch.AnswerData{ID: id, Seq: parts - 1, Data: b})
		},
		shown: func() bool { return parts > 0 },
	})
	if res.Outcome != dispatch.Done {
		fail(res)
		return
	}
	_ = s.SendLast(ctx, &dispatch.AnswerEnd{ID: id, Seq: parts, Sum: hex.EncodeToString(sum.Sum(nil))})
}

// newRequest prepares what a caller or another gateway asks for. It gives the
// request an id of this gateway's own.
func (g *Gateway) newRequest(d dispatch.Dispatch) (*request, error) {
	v := g.holder.Get()
	if v.Config == nil {
		return nil, fault.New(fault.NotReady, "no configuration")
	}
	service, ok := v.Config.Services[d.Service]
	if !ok {
		return nil, fault.New(fault.NoService, d.Service)
	}
	now := time.Now()
	if most := now.Add(v.Config.Limits.MaxDeadline); d.Deadline.After(most) {
		d.Deadline = most
	}
	d.ID = dispatch.RequestID{Incarnation: g.incarnation, Seq: g.seq.Add(1)}
	d.Revision = v.Revision()
	d.Incarnation, d.Digest = 0, ""
	return &request{d: d, view: v, service: service, arrived: now, prefix: prefixOf(&d)}, nil
}
