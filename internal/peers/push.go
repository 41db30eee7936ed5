package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/mirror"
)

// pushed is a position up to which changes were passed on to the hall, and when.
type pushed struct {
	at   mirror.Position
	when time.Time
}

// passedOn reports whether what has just changed need not be announced. A gateway that
// has it from the platform sends a small change to all of its hall and to one gateway of
// each other hall, which does the same there; one that was sent it has nobody to tell.
// What a gateway had to ask for it announces, since others may lack it too.
func (g *Gossip) passedOn(ctx context.Context) bool {
	at := g.Mirror.At() // Before the others: what they say of later revisions is for the next time.
	tookAt := g.Follower.PlatformPosition()
	g.mu.Lock()
	pulled, took, onward := g.pulledAt > g.handledAt, tookAt > g.handledAt, g.onwardAt > g.handledAt
	g.handledAt = at
	g.mu.Unlock()
	switch {
	case pulled:
		return false
	case took:
		return g.push(ctx, true)
	case onward:
		return g.push(ctx, false)
	}
	return true
}

// push sends what changed of late to each gateway of the hall, and if afar is set to one
// of each other hall. It reports whether it did: a large change is not sent, since this
// gateway's link would carry all copies.
func (g *Gossip) push(ctx context.Context, afar bool) bool {
	now := time.Now()
	since := g.pushSince(now)
	if since == 0 {
		return false
	}
	d := g.Mirror.Since(since)
	most := pushMost
	if d.Whole {
		most = pushWhole
	}
	if d.Bytes() > most {
		return false
	}
	here, there := g.pushTargets(now)
	if !afar {
		there = nil
	}
	for _, addr := range here {
		go g.pushTo(ctx, addr, d, false)
	}
	for _, addr := range there {
		go g.pushTo(ctx, addr, d, true)
	}
	telemetry.Log("pushed", "since", since, "at", d.At, "whole", d.Whole, "records", len(d.Records), "bytes", d.Bytes(), "here", len(here), "elsewhere", len(there))
	return true
}

// pushTargets returns the other gateways of this hall, and one of each other.
func (g *Gossip) pushTargets(now time.Time) (here, there []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, e := range g.members {
		if e.Hall == g.Self.Hall && g.fresh(e, now) {
			here = append(here, addr)
		}
	}
	for _, hall := range g.halls() {
		if hall == g.Self.Hall {
			continue
		}
		if addr, ok := g.firstOf(hall, now); ok {
			there = append(there, addr)
		}
	}
	return here, there
}

// pushSince returns from which revision on changes are passed on, and notes the one of
// now. It is zero until there was one before.
func (g *Gossip) pushSince(now time.Time) mirror.Position {
	at := g.Mirror.At()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pushes = append(g.pushes, pushed{at, now})
	for len(g.pushes) > 2 && now.Sub(g.pushes[1].when) > pushBack {
		g.pushes = g.pushes[1:]
	}
	if len(g.pushes) < 2 {
		return 0
	}
	return g.pushes[0].at
}

func (g *Gossip) pushTo(ctx context.Context, addr string, d mirror.Delta, onward bool) {
	ctx, cancel := context.WithTimeout(ctx, announceIn)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	if !g.spoken.ask(ctx, c) {
		d = deltaWithoutEra(d)
	}
	m := records(d, time.Now())
	m.Onward = onward
	g.tell(ctx, addr, m) // Announcements make up for one that is lost.
}

// takePush takes changes that another gateway passed on.
func (g *Gossip) takePush(r *Records) {
	had := g.Mirror.At()
	r.undated()
	g.mu.Lock()
	if r.Onward {
		g.onwardAt = max(g.onwardAt, r.Delta.At) // Before it is applied: that wakes the one who passes on.
	}
	g.mu.Unlock()
	if taken := g.Mirror.Apply(g.Follower.dated(r.Delta)); !taken || r.Delta.At > had {
		telemetry.Log("push_received", "had", had, "since", r.Delta.Base, "at", r.Delta.At, "records", len(r.Delta.Records), "taken", taken, "onward", r.Onward)
	}
}
