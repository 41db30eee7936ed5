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

// alive tells the router that the upstream gives signs of life.
func (a *attempt) alive() {
	if a.box != "" {
		a.gateway.router.RecordActivity(time.Now(), a.box)
	}
}

// sink takes an answer as it comes.
type sink struct {
	head  func(h *dispatch.AnswerHead) error // Called again when another attempt begins.
	data  func(b []byte) error
	shown func() bool // Whether parts have gone to the caller.
}

// attempt is one dispatch to one box and what was seen of its answer.
type attempt struct {
	gateway *Gateway
	d       *dispatch.Dispatch
	addr    string
	box     string // Its name, where the router has it.
	forward bool   // To a gateway of another hall.
	sink    *sink
	next    int // The next AnswerData wanted.
	sum     hash.Hash
	begun   bool      // Parts have come.
	firstAt time.Time // When the first part came.
}

const (
	voidWithin  = 150 * time.Millisecond // Left before the deadline to ask what became of a request.
	maxRecovers = 3                      // Lost connections that one attempt survives.
	askWithin   = time.Second            // For the question after a lost connection.
)

// run dispatches and follows the answer to its end.
func (a *attempt) run(ctx context.Context) dispatch.Result {
	giveUp, cancel := context.WithDeadline(ctx, a.d.Deadline.Add(-voidWithin))
	defer cancel()
	s, err := a.send(giveUp)
	if err != nil {
		return a.notSent(giveUp, err)
	}
	for recovered := 0; ; recovered++ {
		r, err := a.follow(giveUp, s)
		s.Close()
		if err == nil {
			return r
		}
		if ctx.Err() != nil {
			return a.result(dispatch.Unknown, fault.Cancelled)
		}
		if fault.Is(err, errSink) {
			return a.result(dispatch.Unknown, errSink)
		}
		a.gateway.Metrics.Failed("dispatch_lost", err)
		if recovered >= maxRecovers {
			return a.result(dispatch.Unknown, fault.CodeOf(err))
		}
		if s, r = a.recover(ctx, giveUp, err); s == nil {
			return r
		}
	}
}

// send sends the dispatch. On an error no byte of it has left this process. A
// dispatch to an agent names the incarnation that the connection reached, so no
// other one can run it.
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

// notSent is the result when no byte of the dispatch left this process.
func (a *attempt) notSent(ctx context.Context, err error) dispatch.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = fault.New(fault.PastDeadline, "before it was sent")
	}
	return a.result(dispatch.NotRun, fault.CodeOf(err))
}

func (a *attempt) result(o dispatch.Outcome, why fault.Code) dispatch.Result {
	return dispatch.Result{Outcome: o, Reason: why, AnswerStarted: a.sink.shown()}
}

// errSink is the type of a failure to pass the answer to the caller.
const errSink fault.Code = "caller_gone"

// follow reads messages until the attempt's outcome is known, or returns the
// error that left it open.
func (a *attempt) follow(ctx context.Context, s *wire.Stream) (dispatch.Result, error) {
	for {
		m, err := s.Recv(ctx)
		if err == io.EOF {
			err = fault.New(fault.Truncated, "")
		}
		if err != nil {
			return dispatch.Result{}, err
		}
		switch m := m.(type) {
		case *dispatch.Refusal:
			r := a.result(dispatch.NotRun, m.Reason)
			if m.MayHaveRun || a.begun {
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
				return dispatch.Result{}, fault.New(fault.Truncated, "end mark does not match")
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
	if a.begun {
		return nil // Said again after an attach.
	}
	if err := a.sink.head(m); err != nil {
		return fault.Wrap(errSink, err, "")
	}
	return nil
}

// takeData passes on the part that is due. An earlier one is a repeat and is
// dropped; a later one means that some were lost.
func (a *attempt) takeData(m *dispatch.AnswerData) error {
	if m.ID != a.d.ID || m.Seq < a.next {
		a.gateway.Metrics.Event("frame_dropped", "")
		return nil
	}
	if m.Seq > a.next {
		return fault.New(fault.Truncated, "parts are missing")
	}
	if a.next == 0 {
		a.firstAt = time.Now()
	}
	a.alive()
	a.next++
	a.sum.Write(m.Data)
	a.begun = true
	if err := a.sink.data(m.Data); err != nil {
		return fault.Wrap(errSink, err, "")
	}
	return nil
}

// recover asks, on a connection of its own, what became of the request: fenced,
// and so not run; or under way, and then it attaches to the rest. Any other
// reply, or none, leaves the outcome unknown.
func (a *attempt) recover(ctx, giveUp context.Context, why error) (*wire.Stream, dispatch.Result) {
	unknown := a.result(dispatch.Unknown, fault.CodeOf(why))
	until := time.Now().Add(askWithin)
	if a.d.Deadline.Before(until) {
		until = a.d.Deadline // The caller is answered by then, whatever is known.
	}
	ask, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	c, err := a.gateway.pool.DialNew(ask, a.addr)
	if fault.Is(err, fault.Unreachable) {
		return nil, a.result(dispatch.Unknown, fault.Unreachable) // It says more than how the connection ended.
	}
	if err != nil {
		return nil, unknown
	}
	m, err := c.Call(ask, &dispatch.Void{ID: a.d.ID, Incarnation: a.d.Incarnation, Deadline: a.d.Deadline})
	reply, ok := m.(*dispatch.VoidReply)
	if err != nil || !ok || reply.ID != a.d.ID {
		c.Close()
		return nil, unknown
	}
	a.gateway.Metrics.Event("void", reply.State.String())
	switch reply.State {
	case dispatch.VoidFenced:
		c.Close()
		return nil, a.result(dispatch.NotRun, fault.CodeOf(why))
	case dispatch.VoidRunning, dispatch.VoidFinished:
		s, err := c.Open(giveUp, &dispatch.Attach{ID: a.d.ID, Incarnation: a.d.Incarnation, From: a.next})
		if err == nil {
			context.AfterFunc(giveUp, c.Close)
			return s, dispatch.Result{}
		}
	}
	c.Close()
	return nil, unknown
}
