package stager

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
)

const orderTimeout = time.Second

// changeVersion stages a version and orders the replica to load it. The order goes to the process that
// holds the pieces, on a connection from before they were staged.
func (s *Stager) changeVersion(ctx context.Context, vs *versions, r *versionTransfer) {
	c, rep, err := s.connect(ctx)
	if err != nil {
		telemetry.LogError(err, "replica_not_connected", "addr", s.Settings.Replica)
		return
	}
	defer c.Close()
	if rep.OrderPending || rep.Version == r.version {
		return
	}
	vs.lastOrdered = r.version
	s.status.set(func(st *peers.Status) { st.Changing = true })
	began := time.Now()
	if !s.stage(ctx, r) {
		return
	}
	if left := noticeLead - time.Since(began); left > 0 && rep.Version != 0 {
		kernel.Sleep(ctx, left)
	}
	s.order(ctx, c, r, rep, began)
}

// connect opens a connection to the replica and requests its report on it.
func (s *Stager) connect(ctx context.Context) (*ReplicaConn, Report, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	c, err := s.options.Replica.Connect(ctx)
	if err != nil {
		return nil, Report{}, err
	}
	rep, err := c.Report(ctx)
	if err != nil {
		c.Close()
	}
	return c, rep, err
}

// order orders the replica to load a version that was staged from began on.
func (s *Stager) order(ctx context.Context, c *ReplicaConn, r *versionTransfer, rep Report, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.Order(ctx, r.model, r.version, rep.OrderCount)
	if unanswered(err) {
		telemetry.Log("replica_call_unanswered", "call", "order", "model", r.model, "version", r.version, "orders", rep.OrderCount)
	}
	s.status.invalidate()
	telemetry.Log("ordered", "addr", s.Settings.Replica, "model", r.model, "version", r.version, "from", rep.Version, "orders", rep.OrderCount, "born", rep.Born, "staged_in", time.Since(began), "reason", fault.CodeOf(err))
}
