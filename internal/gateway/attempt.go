package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// recordActivity records in the router that the upstream is responding.
func (a *attempt) recordActivity() {
	if a.box != "" {
		a.gateway.router.RecordActivity(time.Now(), a.box)
	}
}

// sink receives an answer as it arrives.
type sink struct {
	head    func(h *dispatch.AnswerHead) error // Called again for each attempt that is answered.
	data    func(b []byte) error
	started func() bool // Reports whether parts have been sent to the caller.
}

// attempt is one dispatch to one box and the state of its answer.
type attempt struct {
	gateway      *Gateway
	d            *dispatch.Dispatch
	addr         string
	box          string // The name of the upstream; empty if the router did not choose it.
	forward      bool   // The dispatch goes to a gateway of another hall.
	sink         *sink
	next         int // Seq of the next AnswerData expected.
	sum          hash.Hash
	receivedData bool      // At least one part was received.
	firstDataAt  time.Time // When the first part was received.
}

const (
	voidReserve   = 150 * time.Millisecond // Reserved before the deadline for voiding a request.
	maxRecoveries = 3                      // Lost connections after which an attempt continues.
	voidTimeout   = time.Second            // For voiding a request after a lost connection.
)

// run dispatches the request and follows its answer to the end.
func (a *attempt) run(ctx context.Context) dispatch.Result {
	attemptCtx, cancel := context.WithDeadline(ctx, a.d.Deadline.Add(-voidReserve))
	defer cancel()
	s, err := a.send(attemptCtx)
	if err != nil {
		return a.notSent(attemptCtx, err)
	}
	for recoveries := 0; ; recoveries++ {
		r, err := a.follow(attemptCtx, s)
		s.Close()
		if err == nil {
			return r
		}
		if ctx.Err() != nil {
			return a.result(dispatch.Unknown, fault.Cancelled)
		}
		if fault.Is(err, codeCallerGone) {
			return a.result(dispatch.Unknown, codeCallerGone)
		}
		a.gateway.Metrics.Failure("dispatch_lost", err)
		if recoveries >= maxRecoveries {
			return a.result(dispatch.Unknown, fault.CodeOf(err))
		}
		if s, r = a.voidOrAttach(ctx, attemptCtx, err); s == nil {
			return r
		}
	}
}

// send sends the dispatch. If it returns an error, no byte of the dispatch has
// left this process. A dispatch to an agent carries the incarnation that the
// connection reached, so that no other incarnation can run it.
func (a *attempt) send(ctx context.Context) (*wire.Stream, error) {
	a.sum = sha256.New()
	c, err := a.gateway.pool.Get(ctx, a.addr)
	if err != nil {
		return nil, err
	}
	if !a.forward {
		a.d.Incarnation = c.Remote().Incarnation
	}
	return c.Open(ctx, a.d)
}

// notSent returns the result for an attempt of which no byte left this process.
func (a *attempt) notSent(ctx context.Context, err error) dispatch.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = fault.New(fault.PastDeadline, "deadline passed before the request was sent")
	}
	return a.result(dispatch.NotRun, fault.CodeOf(err))
}

func (a *attempt) result(o dispatch.Outcome, reason fault.Code) dispatch.Result {
	return dispatch.Result{Outcome: o, Reason: reason, AnswerStarted: a.sink.started()}
}

// codeCallerGone is the code of errors in sending the answer to the caller.
const codeCallerGone fault.Code = "caller_gone"

// follow reads messages until the outcome of the attempt is known. It returns an
// error if the stream ended before that.
func (a *attempt) follow(ctx context.Context, s *wire.Stream) (dispatch.Result, error) {
	for {
		m, err := s.Recv(ctx)
		if err == io.EOF {
			err = fault.New(fault.Truncated, "stream ended before the end of the answer")
		}
		if err != nil {
			return dispatch.Result{}, err
		}
		switch m := m.(type) {
		case *dispatch.Refusal:
			r := a.result(dispatch.NotRun, m.Reason)
			if m.MayHaveRun || a.receivedData {
				r.Outcome = dispatch.Unknown
			}
			r.RetryAt = m.RetryAt
			return r, nil
		case *dispatch.AnswerHead:
			if err := a.takeHead(m); err != nil {
				return dispatch.Result{}, err
			}
		case *dispatch.AnswerData:
			if err := a.takeData(m); err != nil {
				return dispatch.Result{}, err
			}
		case *dispatch.AnswerEnd:
			if m.ID != a.d.ID || m.Seq != a.next || m.Sum != hex.EncodeToString(a.sum.Sum(nil)) {
				return dispatch.Result{}, fault.New(fault.Truncated, "end of answer does not match the parts received")
			}
			return a.result(dispatch.Done, ""), nil
		default:
			return dispatch.Result{}, fault.New(fault.Garbage, "answer")
		}
	}
}

func (a *attempt) takeHead(m *dispatch.AnswerHead) error {
	if m.ID != a.d.ID {
		a.gateway.Metrics.Event("frame_for_other_request", "")
		return nil
	}
	if m.Digest != a.d.Digest {
		return fault.New(fault.MixedVersion, m.Digest)
	}
	if a.receivedData {
		return nil // The head is sent again after an Attach.
	}
	if err := a.sink.head(m); err != nil {
		return fault.Wrap(codeCallerGone, err, "")
	}
	return nil
}

// takeData passes the next part to the sink. It drops an earlier part as a
// duplicate, and returns an error for a later one, since parts were lost.
func (a *attempt) takeData(m *dispatch.AnswerData) error {
	if m.ID != a.d.ID || m.Seq < a.next {
		a.gateway.Metrics.Event("frame_dropped", "")
		return nil
	}
	if m.Seq > a.next {
		return fault.New(fault.Truncated, "parts of the answer are missing")
	}
	if a.next == 0 {
		a.firstDataAt = time.Now()
	}
	a.recordActivity()
	a.next++
	a.sum.Write(m.Data)
	a.receivedData = true
	if err := a.sink.data(m.Data); err != nil {
		return fault.Wrap(codeCallerGone, err, "")
	}
	return nil
}

// voidOrAttach voids the request on a new connection. If the agent fences it, the
// request has not run; if it is running or finished, voidOrAttach attaches to the
// rest of the answer and returns that stream. With any other reply, or none, the
// outcome is unknown.
func (a *attempt) voidOrAttach(ctx, attemptCtx context.Context, cause error) (*wire.Stream, dispatch.Result) {
	unknown := a.result(dispatch.Unknown, fault.CodeOf(cause))
	deadline := time.Now().Add(voidTimeout)
	if a.d.Deadline.Before(deadline) {
		deadline = a.d.Deadline // The caller must be answered by its deadline.
	}
	voidCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := a.gateway.pool.DialNew(voidCtx, a.addr)
	if fault.Is(err, fault.Unreachable) {
		return nil, a.result(dispatch.Unknown, fault.Unreachable) // More specific than the error that ended the connection.
	}
	if err != nil {
		return nil, unknown
	}
	m, err := c.Call(voidCtx, &dispatch.Void{ID: a.d.ID, Incarnation: a.d.Incarnation, Deadline: a.d.Deadline})
	reply, ok := m.(*dispatch.VoidReply)
	if err != nil || !ok || reply.ID != a.d.ID {
		c.Close()
		return nil, unknown
	}
	a.gateway.Metrics.Event("void", reply.State.String())
	switch reply.State {
	case dispatch.VoidFenced:
		c.Close()
		return nil, a.result(dispatch.NotRun, fault.CodeOf(cause))
	case dispatch.VoidRunning, dispatch.VoidFinished:
		s, err := c.Open(attemptCtx, &dispatch.Attach{ID: a.d.ID, Incarnation: a.d.Incarnation, From: a.next})
		if err == nil {
			context.AfterFunc(attemptCtx, c.Close)
			return s, dispatch.Result{}
		}
	}
	c.Close()
	return nil, unknown
}
