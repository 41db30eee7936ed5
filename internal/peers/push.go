package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/mirror"
)

// pushMark is a position of the mirror and when it had been reached.
type pushMark struct {
	at        mirror.Position
	reachedAt time.Time
}

// pushChanges pushes the latest changes, and reports whether they need not be announced. A
// gateway that received a small change from the platform sends it to its whole hall and to
// forwarders of each other hall, one of which forwards it there; other gateways that receive a
// push do not forward it. Changes that a gateway had to pull are announced, since others may lack
// them too.
func (g *Gossip) pushChanges(ctx context.Context) bool {
	at := g.Mirror.At() // Read first: changes after it are left to the next call.
	platformAt := g.Follower.PlatformPosition()
	g.mu.Lock()
	g.markPosition(at, time.Now())
	pulled, fromPlatform, forward := g.pulledAt > g.handledAt, platformAt > g.handledAt, g.forwardAt > g.handledAt
	g.handledAt = at
	g.mu.Unlock()
	switch {
	case pulled:
		return false
	case fromPlatform:
		return g.push(ctx, true)
	case forward:
		return g.push(ctx, false)
	}
	return true
}

// push sends the recent changes to each gateway of the hall and, if remote is set, to forwarders
// of each other hall. It reports whether it did: a large change is not sent, since all copies
// would go over this gateway's link.
func (g *Gossip) push(ctx context.Context, remote bool) bool {
	now := time.Now()
	since := g.pushSince()
	if since == 0 {
		return false
	}
	d := g.Mirror.Since(since)
	limit := maxPushBytes
	if d.Whole {
		limit = maxFullPushBytes
	}
	if d.Bytes() > limit {
		return false
	}
	local, others := g.pushTargets(now)
	if !remote {
		others = nil
	}
	for _, addr := range local {
		go g.pushTo(ctx, addr, d, false)
	}
	for _, addr := range others {
		go g.pushTo(ctx, addr, d, true)
	}
	telemetry.Log("pushed", "since", since, "at", d.At, "whole", d.Whole, "records", len(d.Records), "bytes", d.Bytes(), "here", len(local), "elsewhere", len(others))
	return true
}

// pushTargets returns the other gateways of this hall, and the forwarders of the other halls.
func (g *Gossip) pushTargets(now time.Time) (local, remote []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, e := range g.members {
		if e.Hall == g.Self.Hall && g.isLive(e, now) {
			local = append(local, addr)
		}
	}
	for _, hall := range g.halls() {
		if hall == g.Self.Hall {
			continue
		}
		remote = append(remote, g.forwarders(hall, now)...)
	}
	return local, remote
}

// markPosition records a position of the mirror. The caller holds g.mu.
func (g *Gossip) markPosition(at mirror.Position, now time.Time) {
	g.pushMarks = append(g.pushMarks, pushMark{at, now})
	for len(g.pushMarks) > 2 && now.Sub(g.pushMarks[1].reachedAt) > pushLookback {
		g.pushMarks = g.pushMarks[1:]
	}
}

// pushSince returns the position from which changes are pushed. It is zero until two have been
// recorded.
func (g *Gossip) pushSince() mirror.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pushMarks) < 2 {
		return 0
	}
	return g.pushMarks[0].at
}

func (g *Gossip) pushTo(ctx context.Context, addr string, d mirror.Delta, forward bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	if !g.capabilities.query(ctx, c) {
		d = deltaWithoutEra(d)
	}
	m := newRecords(d, time.Now())
	m.ForwardInHall = forward
	g.send(ctx, addr, m) // Announcements make up for a lost push.
}

// handlePush applies changes that a gateway of a hall pushed.
func (g *Gossip) handlePush(r *Records, fromHall string) {
	prev := g.Mirror.At()
	r.dropHistory()
	g.mu.Lock()
	switch {
	case r.ForwardInHall && g.hallRank(time.Now()) > 0:
		time.AfterFunc(standbyDelay, func() { g.forwardUnlessPushed(r.Delta.At) })
	case r.ForwardInHall:
		g.forwardAt = max(g.forwardAt, r.Delta.At) // Before Apply, which wakes the goroutine that forwards changes.
	case fromHall == g.Self.Hall:
		g.hallPushAt = max(g.hallPushAt, r.Delta.At)
	}
	g.mu.Unlock()
	if applied := g.Mirror.Apply(g.Follower.withLowerBounds(r.Delta)); !applied || r.Delta.At > prev {
		telemetry.Log("push_received", "had", prev, "since", r.Delta.Base, "at", r.Delta.At, "records", len(r.Delta.Records), "taken", applied, "onward", r.ForwardInHall)
	}
}

// forwardUnlessPushed pushes to the hall what another hall sent, unless a gateway of this hall has
// done so.
func (g *Gossip) forwardUnlessPushed(at mirror.Position) {
	g.mu.Lock()
	pushed := g.hallPushAt >= at
	g.mu.Unlock()
	if !pushed && g.Pool.Lifetime.Err() == nil {
		g.push(g.Pool.Lifetime, false)
	}
}
