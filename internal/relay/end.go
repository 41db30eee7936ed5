package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/eventstream"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/kernel"
)

const (
	// minRestartTime is the least time from the end of a replica until it accepts connections again.
	minRestartTime = 500 * time.Millisecond
	// lifeNoticeTime is how long the list of replicas may take to show that one has been replaced.
	lifeNoticeTime = 200 * time.Millisecond
)

// checkEnd returns an error unless an answer whose bytes have ended is whole.
func (a *attempt) checkEnd(ctx context.Context, end *eventstream.End) error {
	verdict := a.judgeEnd(ctx, end)
	switch verdict {
	case eventstream.Whole:
		return nil
	case eventstream.Unclear:
		return fault.New(fault.Truncated, "answer may have ended with its replica")
	}
	return fault.New(fault.Truncated, describeEnd(end))
}

// judgeEnd returns the verdict on an answer whose bytes have ended.
func (a *attempt) judgeEnd(ctx context.Context, end *eventstream.End) eventstream.Verdict {
	if end.Framed {
		return end.Verdict()
	}
	openAgo := time.Since(a.seenOpenAt())
	end.Replica = a.replicaLife(ctx)
	verdict := end.Verdict()
	telemetry.Log("unframed_end", "id", a.rq.id, "replica", a.to.ID, "stream", end.Stream, "events", end.Events,
		"life", end.Replica, "verdict", verdict, "seen_open_ms_ago", openAgo.Milliseconds())
	return verdict
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

// replicaLife tells whether the replica of an answer that has ended with its connection is still the same
// process: its connections end just so when it terminates. A new connection shows that a process listens
// at its address, not which one. The replica may have been replaced meanwhile if the gateway, or a link,
// stood still; then the list of replicas decides.
func (a *attempt) replicaLife(ctx context.Context) eventstream.Life {
	mayBeReplaced := time.Since(a.seenOpenAt()) >= minRestartTime
	switch err := a.reconnect(ctx); {
	case errors.Is(err, syscall.ECONNREFUSED):
		a.relay.recordRefusal(a.to.ID)
		return eventstream.LifeEnded
	case a.isReplaced():
		return eventstream.LifeEnded
	case err == nil && !mayBeReplaced:
		return eventstream.LifeSame
	}
	if a.rq.route.Kind == streamKind && a.rq.repeatable() {
		return eventstream.LifeUnclear // Another replica can tell whether more events follow.
	}
	kernel.Sleep(ctx, min(lifeNoticeTime, time.Until(a.rq.deadline)/2))
	if a.isReplaced() {
		return eventstream.LifeEnded
	}
	return eventstream.LifeSame
}

// seenOpenAt returns when the connection of the answer was last seen open; before its first read, when the
// request was sent.
func (a *attempt) seenOpenAt() time.Time { return times.Later(a.sentAt, a.conn.waitedAt) }

// reconnect opens a connection to the replica, which takes the place of the one that has ended.
func (a *attempt) reconnect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	c, err := a.relay.conns.dialNew(ctx, a.to.Addr)
	if err == nil {
		a.relay.conns.put(a.to.Incarnation, c, a.idleTimeout)
	}
	return err
}

// isReplaced reports whether the list of replicas shows a later incarnation of the replica.
func (a *attempt) isReplaced() bool {
	u, ok := a.relay.catalog.Get().Upstreams[a.to.ID]
	return ok && a.to.Incarnation.Before(u.Incarnation)
}
