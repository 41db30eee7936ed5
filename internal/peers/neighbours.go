package peers

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/rendezvous"
)

// forget notes gateways that have fallen silent, and drops those of which nobody
// has heard for long. The caller holds g.mu.
func (g *Gossip) forget(now time.Time) {
	for addr, m := range g.members {
		live := g.fresh(m, now)
		if m.live && !live {
			telemetry.Log("peer_lost", "peer", m.Name, "addr", addr, "hall", m.Hall, "silent", now.Sub(m.heard))
		}
		m.live = m.live && live
		if now.Sub(m.heard) > forgetAfter && now.Sub(m.named) > forgetAfter && !slices.Contains(g.Join, addr) {
			delete(g.members, addr)
		}
	}
}

// chosen returns whom to announce to: all of a few, else the first ones in this
// gateway's own order, and one of the others at random, so that halves that have
// lost each other find together. The caller holds g.mu.
func (g *Gossip) chosen(now time.Time) []string {
	var live, others []string
	for addr, m := range g.members {
		if g.fresh(m, now) {
			live = append(live, addr)
		} else {
			others = append(others, addr)
		}
	}
	if len(live)+len(others) <= neighbours {
		return append(live, others...)
	}
	out, left := g.nearFirst(rendezvous.Rank("gossip/"+g.Self.Addr, live))
	rest := append(others, left...)
	if len(out) < neighbours/2 {
		return append(out, rest...) // Hardly anybody answers; everybody is asked.
	}
	if len(rest) > 0 {
		out = append(out, rest[rand.IntN(len(rest))])
	}
	return out
}

// nearFirst splits ranked gateways into this one's neighbours, most of them of its
// own hall, and the others. The caller holds g.mu.
func (g *Gossip) nearFirst(ranked []string) (chosen, rest []string) {
	here, there := inHall, neighbours-inHall
	for _, addr := range ranked {
		left := &there
		if g.members[addr].Hall == g.Self.Hall {
			left = &here
		}
		if *left > 0 {
			*left--
			chosen = append(chosen, addr)
			continue
		}
		rest = append(rest, addr)
	}
	return chosen, rest
}

// Watches reports whether this gateway is to watch the platform itself: it is
// among the first of its hall in an order that all share, and none before it says
// that it does. Others learn of changes from those that watch.
func (g *Gossip) Watches() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	hall := []string{g.Self.Addr}
	for addr, m := range g.members {
		if m.Hall == g.Self.Hall && g.fresh(m, now) {
			hall = append(hall, addr)
		}
	}
	for i, addr := range rendezvous.Rank("watch", hall) {
		switch {
		case addr == g.Self.Addr:
			return i < watchers
		case g.members[addr].watches:
			return false
		}
	}
	return true
}
