package gateway

import (
	"context"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/view"
)

// subscribe keeps the router's table up to date, and a subscription to each agent
// in this hall to which the placement assigns a service.
func (g *Gateway) subscribe(ctx context.Context) error {
	var subscriptions kernel.WorkerSet[fleet.Box]
	defer subscriptions.Stop()
	for {
		v, changed := g.holder.Watch()
		boxes := g.placedInHall(v)
		g.router.Sync(boxes)
		subscriptions.Sync(ctx, boxes, g.followReports)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) placedInHall(v *view.View) []fleet.Box {
	return fleet.Select(v.Boxes, func(b fleet.Box) bool {
		_, placed := v.Placement.ByBox[b.Name]
		return placed && b.Hall == g.Settings.Hall
	})
}

// followReports passes the reports of an agent to the router until ctx ends.
func (g *Gateway) followReports(ctx context.Context, b fleet.Box) {
	// After a subscription that delivered reports, the backoff starts again from its
	// minimum, since the box is probably reachable.
	const minBackoff, maxBackoff = 5 * time.Millisecond, 2 * time.Second
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		if g.readReports(ctx, b) {
			backoff = minBackoff
		}
		g.router.MarkDisconnected(b.Name)
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// readReports reads one subscription until it ends, and reports whether it delivered
// at least one report.
func (g *Gateway) readReports(ctx context.Context, b fleet.Box) bool {
	c, err := g.pool.Get(ctx, b.Addr)
	if err != nil {
		return false
	}
	s, err := c.Open(ctx, &dispatch.Subscribe{Box: g.Settings.Box})
	if err != nil {
		return false
	}
	defer s.Close()
	for received := false; ; received = true {
		m, err := s.Recv(ctx)
		r, ok := m.(*dispatch.Report)
		if err != nil || !ok {
			return received
		}
		g.router.UpdateReport(time.Now(), b.Name, *r)
	}
}
