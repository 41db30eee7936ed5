package stager

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/kernel"
)

// Waits of telling gateways how the replica stands.
const (
	// tellAtLeast is how often they are told although nothing changed: a report that is
	// passed on must be there before the one before it is too old to count.
	tellAtLeast = 800 * time.Millisecond
	// tellCollector is the least time between two reports of the load alone to a gateway
	// that passes them on: it does so no more often.
	tellCollector = 140 * time.Millisecond
	// Gateways of other halls are told of the load alone no more often than this: they
	// send little here, and bytes between halls have a price.
	tellAfar = 300 * time.Millisecond
	// tellRetry is after a gateway was lost, and tellAvoid how long it is then left for
	// the next one of the order.
	tellRetry = 300 * time.Millisecond
	tellAvoid = 3 * time.Second
	// tellStay is for how long one that is not among the first is told until the first
	// ones are tried again.
	tellStay = 5 * time.Second
)

// tellGateways keeps a stream of statuses to the gateways that are to be told.
func (s *Stager) tellGateways(ctx context.Context) error {
	var all kernel.WorkerSet[peers.Member]
	var some kernel.WorkerSet[int]
	defer all.Stop()
	defer some.Stop()
	for ctx.Err() == nil {
		a, _, changed := s.now.watch()
		if a != nil && len(a.Gateways) > 0 {
			direct, tellers := a.Gateways, a.ReportTargets
			if tellers > 0 {
				direct = nil
			}
			all.Sync(ctx, direct, s.tell)
			some.Sync(ctx, numbers(min(tellers, len(a.Gateways))), s.tellFirst)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// numbers returns 0 to n-1.
func numbers(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// tell tells one gateway until ctx ends.
func (s *Stager) tell(ctx context.Context, g peers.Member) {
	pause := time.Duration(0)
	if g.Hall != s.Settings.Hall {
		pause = tellAfar
	}
	for ctx.Err() == nil {
		s.tellOnce(ctx, g, pause, false)
		kernel.Sleep(ctx, tellRetry)
	}
}

// tellFirst tells the first gateway of the order that answers and that no other teller
// of this box has, until ctx ends.
func (s *Stager) tellFirst(ctx context.Context, _ int) {
	for ctx.Err() == nil {
		a, _, _ := s.now.watch()
		g, place, ok := s.claims.take(a.Gateways, time.Now())
		if !ok {
			kernel.Sleep(ctx, tellRetry)
			continue
		}
		own, cancel := ctx, context.CancelFunc(func() {})
		if place >= a.ReportTargets {
			own, cancel = context.WithTimeout(ctx, tellStay)
		}
		s.tellOnce(own, g, tellCollector, true)
		lost := own.Err() == nil
		cancel()
		s.claims.release(g.Addr, lost, time.Now())
	}
}

// claims says which gateways the tellers of a box have. The zero value is none.
type claims struct {
	mu    sync.Mutex
	held  map[string]bool
	avoid map[string]time.Time // Lost ones, until when.
}

// take claims the first gateway of an order that is free and was not lost lately, or
// else the first that is free. It returns its place in the order.
func (c *claims) take(order []peers.Member, now time.Time) (g peers.Member, place int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held, c.avoid = map[string]bool{}, map[string]time.Time{}
	}
	free := func(m peers.Member) bool { return !c.held[m.Addr] }
	place = slices.IndexFunc(order, func(m peers.Member) bool { return free(m) && !now.Before(c.avoid[m.Addr]) })
	if place < 0 {
		place = slices.IndexFunc(order, free)
	}
	if place < 0 {
		return peers.Member{}, 0, false
	}
	c.held[order[place].Addr] = true
	return order[place], place, true
}

// release gives a claim back; a gateway that was lost is avoided for a while.
func (c *claims) release(addr string, lost bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, addr)
	for a, until := range c.avoid {
		if now.After(until) {
			delete(c.avoid, a)
		}
	}
	if lost {
		c.avoid[addr] = now.Add(tellAvoid)
	}
}

// tellOnce tells one gateway until it is lost, the load alone no more often than pause.
// passOn asks it to tell the others.
func (s *Stager) tellOnce(ctx context.Context, g peers.Member, pause time.Duration, passOn bool) {
	c, err := s.pool.Get(ctx, g.Addr)
	if err != nil {
		return
	}
	now, changed := s.status.watch()
	now.Forward = passOn
	st, err := c.Open(ctx, &now)
	if err != nil {
		return
	}
	defer st.Close()
	for {
		sent := now
		if !s.awaitNews(ctx, &sent, changed, c.Done(), pause) {
			return
		}
		now, changed = s.status.watch()
		now.Forward = passOn
		if st.Send(ctx, &now) != nil {
			return
		}
	}
}

// awaitNews waits until there is something to tell after what was sent, or it is time
// to tell it once more. It reports false at the end of ctx or of the connection.
func (s *Stager) awaitNews(ctx context.Context, sent *peers.Status, changed, lost <-chan struct{}, pause time.Duration) bool {
	t := time.NewTimer(tellAtLeast)
	defer t.Stop()
	select {
	case <-t.C:
	case <-lost:
		return false
	case <-ctx.Done():
	case <-changed:
		s.holdBack(ctx, sent, pause)
	}
	return ctx.Err() == nil
}

// holdBack waits for a while, or until more than the load differs from what was sent.
func (s *Stager) holdBack(ctx context.Context, sent *peers.Status, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	for ctx.Err() == nil {
		next, changed := s.status.watch()
		if !next.OnlyLoadDiffers(sent) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
