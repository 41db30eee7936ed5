package stager

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/kernel"
)

// Intervals and timeouts of sending the status to gateways.
const (
	// resendEvery is how often the status is sent although nothing changed: when a gateway
	// forwards it, it must arrive before the previous one expires.
	resendEvery = 800 * time.Millisecond
	// collectorInterval is the least time between two statuses that differ only in load, to
	// a gateway that forwards them: it forwards no more often.
	collectorInterval = 140 * time.Millisecond
	// otherHallInterval is the same for gateways of other halls: they send few requests
	// here, and traffic between halls is charged for.
	otherHallInterval = 300 * time.Millisecond
	// sendRetry is the pause after the connection to a gateway was lost. Where any gateway
	// will do, the lost one is avoided for avoidFor in favour of the next one in order, and
	// there is no pause until all are avoided.
	sendRetry = 300 * time.Millisecond
	avoidFor  = 3 * time.Second
	// fallbackFor is how long the status is sent to a gateway that is not among the
	// preferred ones until these are tried again.
	fallbackFor = 5 * time.Second
)

// sendStatuses keeps a stream of statuses open to each gateway that should receive them.
func (s *Stager) sendStatuses(ctx context.Context) error {
	var toAll kernel.WorkerSet[peers.Member]
	var toFirst kernel.WorkerSet[int]
	defer toAll.Stop()
	defer toFirst.Stop()
	for ctx.Err() == nil {
		a, _, changed := s.assignments.watch()
		if a != nil && len(a.Gateways) > 0 {
			direct, senders := a.Gateways, a.ReportTargets
			if senders > 0 {
				direct = nil
			}
			toAll.Sync(ctx, direct, s.sendTo)
			toFirst.Sync(ctx, indices(min(senders, len(a.Gateways))), s.sendToFirst)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// indices returns the numbers 0 to n-1.
func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// sendTo sends statuses to one gateway until ctx ends.
func (s *Stager) sendTo(ctx context.Context, g peers.Member) {
	pause := time.Duration(0)
	if g.Hall != s.Settings.Hall {
		pause = otherHallInterval
	}
	for ctx.Err() == nil {
		s.sendUntilLost(ctx, g, pause, false)
		kernel.Sleep(ctx, sendRetry)
	}
}

// sendToFirst sends statuses, until ctx ends, to the first gateway in order that answers
// and that no other sender of this box has claimed.
func (s *Stager) sendToFirst(ctx context.Context, _ int) {
	for ctx.Err() == nil {
		a, _, _ := s.assignments.watch()
		g, index, ok := s.claims.take(a.Gateways, time.Now())
		if !ok {
			kernel.Sleep(ctx, sendRetry)
			continue
		}
		sendCtx, cancel := ctx, context.CancelFunc(func() {})
		if index >= a.ReportTargets {
			sendCtx, cancel = context.WithTimeout(ctx, fallbackFor)
		}
		s.sendUntilLost(sendCtx, g, collectorInterval, true)
		lost := sendCtx.Err() == nil
		cancel()
		s.claims.release(g.Addr, lost, time.Now())
		if !s.claims.anyUsable(a.Gateways, time.Now()) {
			kernel.Sleep(ctx, sendRetry)
		}
	}
}

// claims records which gateways the senders of a box have claimed. The zero value is
// empty.
type claims struct {
	mu         sync.Mutex
	held       map[string]bool
	avoidUntil map[string]time.Time // When gateways that were lost may be claimed again.
}

// take claims the first gateway in order that is free and was not lost recently, or else
// the first that is free. It returns the gateway and its index in order.
func (c *claims) take(order []peers.Member, now time.Time) (g peers.Member, index int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held, c.avoidUntil = map[string]bool{}, map[string]time.Time{}
	}
	index = slices.IndexFunc(order, func(m peers.Member) bool { return c.usable(m, now) })
	if index < 0 {
		index = slices.IndexFunc(order, func(m peers.Member) bool { return !c.held[m.Addr] })
	}
	if index < 0 {
		return peers.Member{}, 0, false
	}
	c.held[order[index].Addr] = true
	return order[index], index, true
}

// usable reports whether a gateway is free and was not lost recently. The caller holds c.mu.
func (c *claims) usable(m peers.Member, now time.Time) bool {
	return !c.held[m.Addr] && !now.Before(c.avoidUntil[m.Addr])
}

// anyUsable reports whether a gateway is free that was not lost recently.
func (c *claims) anyUsable(order []peers.Member, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(order, func(m peers.Member) bool { return c.usable(m, now) })
}

// release gives up a claim. A gateway that was lost is avoided for avoidFor.
func (c *claims) release(addr string, lost bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, addr)
	for a, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, a)
		}
	}
	if lost {
		c.avoidUntil[addr] = now.Add(avoidFor)
	}
}

// sendUntilLost sends statuses to one gateway until the connection is lost. Those that
// differ only in load are sent no more often than pause. With forward, the gateway is asked
// to forward them to the others.
func (s *Stager) sendUntilLost(ctx context.Context, g peers.Member, pause time.Duration, forward bool) {
	c, err := s.pool.Get(ctx, g.Addr)
	if err != nil {
		return
	}
	latest, changed := s.status.watch()
	latest.Forward = forward
	st, err := c.Open(ctx, &latest)
	if err != nil {
		return
	}
	defer st.Close()
	for {
		sent := latest
		if !s.awaitChange(ctx, &sent, changed, c.Done(), pause) {
			return
		}
		latest, changed = s.status.watch()
		latest.Forward = forward
		if st.Send(ctx, &latest) != nil {
			return
		}
	}
}

// awaitChange waits until the status differs from the one that was sent, or it is time to
// send it again. It reports false if ctx or the connection has ended.
func (s *Stager) awaitChange(ctx context.Context, sent *peers.Status, changed, lost <-chan struct{}, pause time.Duration) bool {
	t := time.NewTimer(resendEvery)
	defer t.Stop()
	select {
	case <-t.C:
	case <-lost:
		return false
	case <-ctx.Done():
	case <-changed:
		s.delayLoad(ctx, sent, pause)
	}
	return ctx.Err() == nil
}

// delayLoad waits for pause, or until more than the load differs from what was sent.
func (s *Stager) delayLoad(ctx context.Context, sent *peers.Status, pause time.Duration) {
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
