package gateway

import (
	"context"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/view"
)

// subscribe keeps the router's table and a subscription with each agent that
// the placement names in this hall.
func (g *Gateway) subscribe(ctx context.Context) error {
	var open kernel.WorkerSet[fleet.Box]
	defer open.Stop()
	for {
		v, changed := g.holder.Watch()
		boxes := g.placedHere(v)
		g.router.Sync(boxes)
		open.Sync(ctx, boxes, g.listen)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) placedHere(v *view.View) []fleet.Box {
	return fleet.Select(v.Boxes, func(b fleet.Box) bool {
		_, placed := v.Placement.ByBox[b.Name]
		return placed && b.Hall == g.Settings.Hall
	})
}

// listen takes an agent's reports until ctx ends.
func (g *Gateway) listen(ctx context.Context, b fleet.Box) {
	// A connection that worked is made anew at once: the box may well be there.
	const first, most = 5 * time.Millisecond, 2 * time.Second
	for wait := first; ctx.Err() == nil; wait = min(2*wait, most) {
		if g.reports(ctx, b) {
			wait = first
		}
		g.router.MarkDisconnected(b.Name)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// reports reads one subscription to its end and says whether it began.
func (g *Gateway) reports(ctx context.Context, b fleet.Box) bool {
	c, err := g.pool.Get(ctx, b.Addr)
	if err != nil {
		return false
	}
	s, err := c.Open(ctx, &dispatch.Subscribe{Box: g.Settings.Box})
	if err != nil {
		return false
	}
	defer s.Close()
	for some := false; ; some = true {
		m, err := s.Recv(ctx)
		r, ok := m.(*dispatch.Report)
		if err != nil || !ok {
			return some
		}
		g.router.UpdateReport(time.Now(), b.Name, *r)
	}
}
