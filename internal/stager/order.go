package stager

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
)

const (
	orderTimeout = time.Second
	// maxCheckAge is how long before an order the first staged piece may have been read back. A replica
	// may load a piece that has been bad for up to 3 s; the rest is for the order.
	maxCheckAge = 1500 * time.Millisecond
	checkRounds = 4 // How often pieces that are wrong are staged and read again before the attempt is given up.
	// If reading back takes longer than maxCheckAge, readersFactor times as many pieces are read at a
	// time, up to maxReaders.
	readersFactor = 4
	maxReaders    = 16
)

// changeVersion stages a version and orders the replica to load it. The order goes to the process that
// holds the pieces, on a connection from before they were staged or read back, after every piece
// was read back, and only while no earlier call can change them.
func (s *Stager) changeVersion(ctx context.Context, vs *versions, r *versionTransfer) {
	if !s.unanswered.allow(r.model, r.version) {
		return
	}
	c, err := s.connect(ctx)
	if err != nil {
		telemetry.LogError(err, "replica_not_connected", "addr", s.Settings.Replica)
		return
	}
	defer c.Close()
	rep, err := s.requestReport()
	if err != nil || rep.OrderPending || rep.Version == r.version || !s.stage(ctx, r) {
		return
	}
	readAt, ok := s.check(ctx, r)
	if !ok {
		return
	}
	s.status.set(func(st *peers.Status) { st.Changing = true })
	if !s.order(ctx, c, r, rep, readAt) {
		s.endChange(vs, rep)
		return
	}
	vs.lastOrdered = r.version
}

// endChange reports that the replica is not changing, unless it has been ordered to.
func (s *Stager) endChange(vs *versions, rep Report) {
	if !rep.OrderPending && rep.Version != 0 && rep.Version >= vs.lastOrdered {
		s.status.set(func(st *peers.Status) { st.Changing = false })
	}
}

// connect opens a connection to the replica.
func (s *Stager) connect(ctx context.Context) (*ReplicaConn, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return s.options.Replica.Connect(ctx)
}

// unchanged reports whether the replica still runs as the process that reported rep and has accepted
// no order since. The connection of the order binds it to that process only if nothing stands
// between the two that would connect to another.
func (s *Stager) unchanged(rep Report) bool {
	now, err := s.requestReport()
	same := err == nil && now.Born == rep.Born && now.OrderCount == rep.OrderCount
	if !same {
		telemetry.Log("replica_changed", "addr", s.Settings.Replica, "born", now.Born, "before", rep.Born, "orders", now.OrderCount, "reason", fault.CodeOf(err))
	}
	return same
}

// check reads all staged pieces back, and those that are not of a version again once it has staged them.
// It returns when it asked for each, and whether all are of the version now.
func (s *Stager) check(ctx context.Context, r *versionTransfer) (readAt []time.Time, ok bool) {
	readAt = make([]time.Time, len(r.Manifest().Files[0].Chunks))
	pieces := make([]int, len(readAt))
	for n := range pieces {
		pieces[n] = n
	}
	for range checkRounds {
		wrong, err := s.findWrong(ctx, r, pieces, readAt)
		if err != nil {
			telemetry.LogError(err, "check_failed", "model", r.model, "version", r.version)
			return nil, false
		}
		if len(wrong) == 0 {
			return readAt, true
		}
		telemetry.Log("staged_wrong", "model", r.model, "version", r.version, "pieces", len(wrong), "first", wrong[0])
		for _, n := range wrong {
			if !s.stagePiece(ctx, r, n) {
				return nil, false
			}
		}
		pieces = wrong
	}
	return nil, false
}

// elapsed returns the time from one moment to another. The steady clock does not count the time for
// which a machine is suspended, and the time of day may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// order orders the replica to load a version whose pieces were read back at the given times, once gateways
// have been notified of the change. It reports whether the replica has taken the order, or may have.
func (s *Stager) order(ctx context.Context, c *ReplicaConn, r *versionTransfer, rep Report, readAt []time.Time) bool {
	if rep.Version != 0 {
		kernel.Sleep(ctx, noticeLead)
	}
	if !s.unchanged(rep) || !s.inTime(r, readAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.Order(ctx, r.model, r.version, rep.OrderCount)
	if unanswered(err) {
		s.giveUp(call{model: r.model, version: r.version, born: rep.Born, order: true, orders: rep.OrderCount})
	}
	s.status.invalidate()
	telemetry.Log("ordered", "addr", s.Settings.Replica, "model", r.model, "version", r.version, "from", rep.Version, "orders", rep.OrderCount, "born", rep.Born, "check_age", oldest(readAt), "reason", fault.CodeOf(err))
	return err == nil || unanswered(err)
}

// oldest returns how long ago the first of the given times was.
func oldest(ts []time.Time) (age time.Duration) {
	now := time.Now()
	for _, t := range ts {
		age = max(age, elapsed(t, now))
	}
	return age
}

// inTime reports whether no piece was read back too long ago for an order. If one was, more are read at a
// time from now on.
func (s *Stager) inTime(r *versionTransfer, readAt []time.Time) bool {
	age := oldest(readAt)
	if age <= maxCheckAge {
		return true
	}
	telemetry.Log("check_too_slow", "model", r.model, "version", r.version, "took", age, "readers", s.readers)
	s.readers = min(readersFactor*max(1, s.readers), maxReaders)
	return false
}
