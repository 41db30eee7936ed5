package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/wire"
)

// hasLocalSource reports whether a gateway of this hall should send changes to this one: the
// first of the hall, which receives them before the others. The caller holds g.mu.
func (g *Gossip) hasLocalSource(now time.Time) bool {
	if g.Mirror.At() == 0 {
		return false
	}
	return g.hallRank(now) > 0
}

// pullAfterDelay pulls from a gateway of another hall, unless its changes have meanwhile
// arrived from this hall: links between halls are slow, and all gateways of a hall need the
// same bytes.
func (g *Gossip) pullAfterDelay(addr string) {
	kernel.Sleep(g.Pool.Lifetime, crossHallPullDelay)
	g.mu.Lock()
	m := g.members[addr]
	behind := m != nil && m.at > g.Mirror.At() && !g.pulling
	g.pullDelayed = false
	g.pulling = g.pulling || behind
	g.mu.Unlock()
	if behind {
		g.pull(addr)
	}
}

// answerPull answers a Pull. The position of a build that does not support eras is taken as a
// revision of the current era.
func (g *Gossip) answerPull(c *wire.Conn, m *Pull) *Records {
	now := time.Now()
	eras, _ := g.capabilities.load(c)
	if eras {
		return newRecords(g.Mirror.Since(m.Since), now)
	}
	since := m.Since
	if since > 0 {
		since = mirror.NewPosition(g.Mirror.At().Era(), since.Revision())
	}
	return newRecords(deltaWithoutEra(g.Mirror.Since(since)), now)
}

// pull requests the changes that this gateway lacks from another one, unless the platform has
// sent them meanwhile.
func (g *Gossip) pull(addr string) {
	defer func() {
		g.mu.Lock()
		g.pulling = false
		g.mu.Unlock()
	}()
	lifetime := g.Pool.Lifetime
	if g.Mirror.At() > 0 && g.Follower.Watching() {
		kernel.Sleep(lifetime, pullDelay)
	}
	g.mu.Lock()
	at := mirror.Position(0)
	if m := g.members[addr]; m != nil {
		at = m.at
	}
	g.mu.Unlock()
	since := g.Mirror.At()
	if since >= at {
		return
	}
	ctx, cancel := context.WithTimeout(lifetime, pullTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	requestedAt := time.Now()
	m, err := c.Call(ctx, &Pull{Since: since})
	r, ok := m.(*Records)
	if err != nil || !ok {
		telemetry.Log("pull_failed", "peer", addr, "since", since, "reason", fault.CodeOf(err))
		return
	}
	r.setTimes(requestedAt)
	g.mu.Lock()
	g.pulledAt = max(g.pulledAt, r.Delta.At) // Before Apply, which wakes the goroutine that announces.
	g.mu.Unlock()
	applied := g.Mirror.Apply(g.Follower.withLowerBounds(r.Delta))
	telemetry.Log("pulled", "peer", addr, "since", since, "at", r.Delta.At, "whole", r.Delta.Whole, "records", len(r.Delta.Records), "taken", applied)
}
