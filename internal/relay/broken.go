package relay

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/internal/telemetry"
)

// endedBy names who ended an exchange with a replica before the answer was complete.
type endedBy string

// Values of endedBy.
const (
	endedByReplica  endedBy = "replica"  // It closed or reset the connection, or its answer is invalid.
	endedByKernel   endedBy = "kernel"   // A timeout of the socket.
	endedByGateway  endedBy = "gateway"  // It gave the attempt up: another one goes on, or a version is past its deadline.
	endedByDeadline endedBy = "deadline" // The deadline of the request passed.
	endedByCaller   endedBy = "caller"   // It disconnected or did not read.
	endedByNobody   endedBy = ""         // There was no exchange, or it is complete.
)

// breakdown is how an exchange with a replica ended before the answer was complete.
type breakdown struct {
	by     endedBy
	err    error         // Of the connection; nil if the answer itself is invalid.
	silent time.Duration // How long nothing had arrived.
}

// recordBreakdown records that the exchange broke off with err.
func (a *attempt) recordBreakdown(ctx context.Context, err error) {
	now := time.Now()
	a.broken = breakdown{by: whoEnded(ctx, err, !now.Before(a.rq.deadline)), err: err}
	if !a.lastDataAt.IsZero() {
		a.broken.silent = now.Sub(a.lastDataAt)
	}
}

// whoEnded returns who ended an exchange whose connection failed with err.
func whoEnded(ctx context.Context, err error, pastDeadline bool) endedBy {
	switch {
	case ctx.Err() != nil:
		return endedByCaller
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH):
		return endedByKernel
	case isTimeout(err) && pastDeadline:
		return endedByDeadline
	case isTimeout(err):
		return endedByGateway
	}
	return endedByReplica
}

// logBroken counts and logs an answer that breaks off, or that a replica may have begun and the
// caller does not get.
func (g *Relay) logBroken(rq *request, out *answer, res dispatch.Result) {
	b := rq.broken
	if res.Outcome != dispatch.Unknown || b.by == endedByNobody {
		return
	}
	g.Metrics.Event("answer_broken", string(b.by))
	telemetry.LogError(b.err, "answer_broken", "id", rq.id, "route", rq.routeName, "service", rq.service, "by", b.by,
		"reason", res.Reason, "started", out.started, "last_event", rq.lastEventID, "silent_ms", b.silent.Milliseconds(),
		"attempts", rq.attemptResults, "others", rq.availability, "left_ms", time.Until(rq.deadline).Milliseconds())
}

// logPanic logs a handler that panicked, other than to abort its answer. The caller's connection
// is closed in both cases.
func (g *Relay) logPanic(id string) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		g.Metrics.Event("handler_panicked", "")
		telemetry.Log("handler_panicked", "id", id, "panic", p, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}
