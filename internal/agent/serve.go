package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/wire"
)

func (a *Agent) registerHandlers(hs *wire.Handlers) {
	wire.On(hs, a.serveDispatch)
	wire.On(hs, a.serveVoid)
	wire.On(hs, a.serveAttach)
	wire.On(hs, a.serveSubscribe)
	wire.On(hs, a.serveStateRequest)
}

func (a *Agent) serveDispatch(ctx context.Context, s *wire.Stream, d *dispatch.Dispatch) {
	rec, repeat, err := a.gate.Admit(time.Now(), d, a.homes.keyHome(a.Settings.Box, d, a.holder.Get()))
	if err != nil {
		a.refuse(ctx, s, d.ID, err)
		return
	}
	if repeat {
		a.Metrics.Event("repeat_of_key", "")
		a.follow(ctx, s, d.ID, rec, 0)
		return
	}
	runCtx, cancel := context.WithDeadline(a.lifetime, d.Deadline)
	go func() {
		defer cancel()
		a.run(runCtx, rec)
	}()
	a.follow(ctx, s, d.ID, rec, 0)
	// A cancelled request releases the engine, unless it is unsafe or another dispatch with
	// its key could follow the answer. A lost connection does not: its gateway may attach
	// for the rest of the answer.
	if fault.Is(context.Cause(ctx), fault.Cancelled) && !d.Unsafe && d.Key == "" {
		cancel()
	}
}

// follow sends the answer of a record from a part on, as it arrives.
func (a *Agent) follow(ctx context.Context, s *wire.Stream, id dispatch.RequestID, rec *dispatch.Record, from int) {
	select {
	case <-rec.Dequeued:
	case <-ctx.Done():
		return
	}
	if rec.Reason != "" {
		a.refuse(ctx, s, id, fault.New(rec.Reason, ""))
		return
	}
	err := rec.Answer.Follow(ctx, id, from, func(m any, last bool) error {
		if last {
			return s.SendLast(ctx, m)
		}
		return s.Send(ctx, m)
	})
	if err != nil && ctx.Err() == nil {
		_ = s.SendLast(ctx, &dispatch.Refusal{ID: id, Reason: fault.CodeOf(err), MayHaveRun: true})
	}
}

func (a *Agent) refuse(ctx context.Context, s *wire.Stream, id dispatch.RequestID, err error) {
	code := fault.CodeOf(err)
	a.Metrics.Refused(code)
	r := &dispatch.Refusal{ID: id, Reason: code, MayHaveRun: code == fault.Duplicate || code == fault.OutcomeUnknown}
	switch code {
	case fault.KeyHomeRecovering:
		r.RetryAt = a.started.Add(a.homes.keyWindow())
	case fault.QueueFull, fault.TableFull, fault.ViewExpired:
		r.RetryAt = time.Now().Add(time.Second + rand.N(time.Second))
	}
	_ = s.SendLast(ctx, r)
}

func (a *Agent) serveVoid(ctx context.Context, s *wire.Stream, v *dispatch.Void) {
	state := a.gate.Void(time.Now(), v)
	a.Metrics.Event("void", state.String())
	_ = s.SendLast(ctx, &dispatch.VoidReply{ID: v.ID, State: state})
}

func (a *Agent) serveAttach(ctx context.Context, s *wire.Stream, m *dispatch.Attach) {
	rec, ok := a.gate.Find(time.Now(), m.ID)
	if m.Incarnation != a.gate.Incarnation || !ok {
		_ = s.SendLast(ctx, &dispatch.Refusal{ID: m.ID, Reason: fault.OutcomeUnknown, MayHaveRun: true})
		return
	}
	a.Metrics.Event("attach", "")
	a.follow(ctx, s, m.ID, rec, m.From)
}

// serveSubscribe sends reports to a gateway: immediately after a change that affects
// routing, and otherwise at the report interval.
func (a *Agent) serveSubscribe(ctx context.Context, s *wire.Stream, m *dispatch.Subscribe) {
	telemetry.Log("subscribed", "gateway", m.Box)
	for {
		changed := a.reportChanged.wait()
		r := a.gate.Report(time.Now())
		if s.Send(ctx, &r) != nil {
			return
		}
		timer := time.NewTimer(reportInterval(len(a.holder.Get().Boxes)))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// reportInterval returns the time between reports. It grows with the size of the fleet,
// so that the reports that a gateway receives from all agents of its hall stay
// within its budget for control traffic.
func reportInterval(boxes int) time.Duration {
	const minInterval, maxInterval, perBox = 500 * time.Millisecond, 20 * time.Second, 2 * time.Millisecond
	return min(maxInterval, max(minInterval, time.Duration(boxes)*perBox))
}

func (a *Agent) serveStateRequest(ctx context.Context, s *wire.Stream, _ *dispatch.StateRequest) {
	r := a.gate.Report(time.Now())
	_ = s.SendLast(ctx, &r)
}
