package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
)

// passedOn reports whether what has just changed need not be announced. A gateway that
// watches the platform sends a small change to all of its hall; one that was sent it
// has nobody to tell. What a gateway had to ask for it announces, since others may lack
// it too.
func (g *Gossip) passedOn(ctx context.Context) bool {
	g.mu.Lock()
	pulled := g.pulled
	g.pulled = false
	few := len(g.members) <= neighbours // An announcement reaches all of them.
	g.mu.Unlock()
	switch {
	case few || pulled:
		return false
	case !g.Follow.Watching():
		return true
	}
	return g.push(ctx)
}

// push sends what changed of late to each gateway of the hall, and reports whether it
// did: a large change is not sent, since this gateway's link would carry all copies.
func (g *Gossip) push(ctx context.Context) bool {
	now := time.Now()
	since := g.pushSince(now)
	if since == 0 {
		return false
	}
	d := g.Mirror.Since(since)
	if d.Whole || d.Bytes() > pushMost {
		return false
	}
	m := records(d, now)
	var to []string
	g.mu.Lock()
	for addr, e := range g.members {
		if e.Hall == g.Self.Hall && g.fresh(e, now) {
			to = append(to, addr)
		}
	}
	g.mu.Unlock()
	for _, addr := range to {
		go g.pushTo(ctx, addr, m)
	}
	telemetry.Log("pushed", "since", since, "at", d.At, "records", len(d.Records), "bytes", d.Bytes(), "peers", len(to))
	return true
}

// pushSince returns from which revision on changes are passed on, and notes the one of
// now. It is zero until there was one before.
func (g *Gossip) pushSince(now time.Time) uint64 {
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

func (g *Gossip) pushTo(ctx context.Context, addr string, m *Records) {
	ctx, cancel := context.WithTimeout(ctx, announceIn)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return // Announcements make up for it.
	}
	if s, err := c.Open(ctx, m); err == nil {
		s.Close()
	}
}

// takePush takes changes that a gateway of the hall passed on.
func (g *Gossip) takePush(r *Records) {
	now := time.Now()
	had := g.Mirror.At()
	r.heardBy(now, g.Follow.Earliest())
	if taken := g.Mirror.Apply(r.Delta); !taken || r.Delta.At > had {
		telemetry.Log("push_received", "had", had, "since", r.Delta.Base, "at", r.Delta.At, "records", len(r.Delta.Records), "taken", taken)
	}
}
