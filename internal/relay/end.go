package relay

import (
	"context"
	"errors"
	"syscall"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/eventstream"
)

// checkEnd returns an error unless an answer whose bytes have ended is whole.
func (a *attempt) checkEnd(ctx context.Context, end *eventstream.End) error {
	if !end.Framed {
		end.Replica = a.replicaLife(ctx)
	}
	switch end.Verdict() {
	case eventstream.Whole:
		return nil
	case eventstream.Unclear:
		return fault.New(fault.Truncated, "answer may have ended with its replica")
	}
	return fault.New(fault.Truncated, describeEnd(end))
}

// describeEnd tells why an answer is broken off.
func describeEnd(end *eventstream.End) string {
	switch {
	case end.Stream && end.InsideEvent:
		return "stream ended inside an event"
	case end.Stream && end.Events == 0 && end.MoreKnown:
		return "stream ended without the event that was begun before"
	case end.Stream && end.Events == 0 && !end.Continues:
		return "stream ended without an event"
	}
	return "answer ended with its replica"
}

// replicaLife tells whether the replica of an answer that has ended with its connection has terminated:
// its connections end just so. The new connection by which this is found out takes the place of the one
// that has ended.
func (a *attempt) replicaLife(ctx context.Context) eventstream.Life {
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	c, err := a.relay.conns.dialNew(ctx, a.to.Addr)
	switch {
	case err == nil:
		a.relay.conns.put(a.to.Incarnation, c, a.idleTimeout)
	case errors.Is(err, syscall.ECONNREFUSED):
		a.relay.recordRefusal(a.to.ID)
		return eventstream.LifeEnded
	}
	return eventstream.LifeSame
}
