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

// toldHere reports whether a gateway of this hall is to tell this one of changes: the
// first one of the hall, which learns of them before the others. The caller holds g.mu.
func (g *Gossip) toldHere(now time.Time) bool {
	if g.Mirror.At() == 0 {
		return false
	}
	return g.place(now) > 0
}

// pullLater asks a gateway of another hall, unless what it knows has come from this
// hall meanwhile: bytes between halls are few, and the same for all of them.
func (g *Gossip) pullLater(addr string) {
	kernel.Sleep(g.Pool.Lifetime, pullAcross)
	g.mu.Lock()
	m := g.members[addr]
	behind := m != nil && m.at > g.Mirror.At() && !g.pulling
	g.waiting = false
	g.pulling = g.pulling || behind
	g.mu.Unlock()
	if behind {
		g.pull(addr)
	}
}

// answerPull answers a Pull. One that knows no eras asks for what followed a revision of this one.
func (g *Gossip) answerPull(c *wire.Conn, m *Pull) *Records {
	now := time.Now()
	eras, _ := g.spoken.knows(c)
	if eras {
		return records(g.Mirror.Since(m.Since), now)
	}
	since := m.Since
	if since > 0 {
		since = mirror.NewPosition(g.Mirror.At().Era(), since.Revision())
	}
	return records(deltaWithoutEra(g.Mirror.Since(since)), now)
}

// pull asks a gateway for what this one lacks, unless the platform has told it
// meanwhile.
func (g *Gossip) pull(addr string) {
	defer func() {
		g.mu.Lock()
		g.pulling = false
		g.mu.Unlock()
	}()
	life := g.Pool.Lifetime
	if g.Mirror.At() > 0 && g.Follower.Watching() {
		kernel.Sleep(life, pullAfter)
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
	ctx, cancel := context.WithTimeout(life, pullWithin)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	asked := time.Now()
	m, err := c.Call(ctx, &Pull{Since: since})
	r, ok := m.(*Records)
	if err != nil || !ok {
		telemetry.Log("pull_failed", "peer", addr, "since", since, "reason", fault.CodeOf(err))
		return
	}
	r.heardBy(asked)
	g.mu.Lock()
	g.pulledAt = max(g.pulledAt, r.Delta.At) // Before it is applied: that wakes the one who announces.
	g.mu.Unlock()
	taken := g.Mirror.Apply(g.Follower.dated(r.Delta))
	telemetry.Log("pulled", "peer", addr, "since", since, "at", r.Delta.At, "whole", r.Delta.Whole, "records", len(r.Delta.Records), "taken", taken)
}
