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

// ShouldWatch reports whether this gateway is to watch the platform itself: it is among the
// first of its hall in an order that all share, none before it says that it does, and
// no gateway of a hall that goes before this one was heard of late that does. Others
// learn of changes from those that watch. Halls that are cut off from each other each
// have one that watches.
func (g *Gossip) ShouldWatch() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.led(now) {
		return false
	}
	for i, addr := range g.hallOrder(g.Self.Hall, now) {
		switch {
		case addr == g.Self.Addr:
			return i < watchers
		case g.members[addr].saysItWatches(now):
			return false
		}
	}
	return true
}

// led reports whether a gateway of a hall that goes before this one watches the
// platform. The caller holds g.mu.
func (g *Gossip) led(now time.Time) bool {
	own := rendezvous.Score(hallKey, g.Self.Hall)
	for _, m := range g.members {
		if m.saysItWatches(now) && rendezvous.Score(hallKey, m.Hall) > own {
			return true
		}
	}
	return false
}

// Standby reports whether this gateway is among the first of its hall: it would watch the
// platform if the gateway that does were lost.
func (g *Gossip) Standby() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.place(time.Now()) < watchers
}

// saysItWatches reports whether a gateway was heard of late that watches the platform:
// one that does so says it often to those who would else do it.
func (m *member) saysItWatches(now time.Time) bool {
	return m.watches && now.Sub(m.heard) < leadFor
}

// hallKey orders halls: the one with the highest score goes first.
const hallKey = "watch/hall"

// hallOrder returns the live gateways of a hall, this one among them if it is its own, in
// the order in which they are to watch the platform. The caller holds g.mu.
func (g *Gossip) hallOrder(hall string, now time.Time) []string {
	var out []string
	if hall == g.Self.Hall {
		out = append(out, g.Self.Addr)
	}
	for addr, m := range g.members {
		if m.Hall == hall && g.fresh(m, now) {
			out = append(out, addr)
		}
	}
	return rendezvous.Rank("watch", out)
}

// place returns how many gateways of its hall go before this one. The caller holds g.mu.
func (g *Gossip) place(now time.Time) int {
	return slices.Index(g.hallOrder(g.Self.Hall, now), g.Self.Addr)
}

// Waits of a gateway whose place in the platform's changes is lost, while another one is to
// read all records and tell it of them.
const (
	yieldToHall    = 150 * time.Millisecond // For each hall whose gateways read before those of this one,
	yieldToGateway = 300 * time.Millisecond // and for each gateway of this hall that does.
	yieldMost      = 3                      // No more than so many of each are waited for.
)

// ReadDelay returns for how long this gateway waits to be told before it reads all records.
func (g *Gossip) ReadDelay() time.Duration {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before := 0
	own := rendezvous.Score(hallKey, g.Self.Hall)
	for _, hall := range g.halls() {
		if len(g.hallOrder(hall, now)) > 0 && rendezvous.Score(hallKey, hall) > own {
			before++
		}
	}
	return time.Duration(min(yieldMost, before))*yieldToHall + time.Duration(min(yieldMost, g.place(now)))*yieldToGateway
}

// wouldWatch returns the gateways that would watch the platform if this one did not: the
// first ones of each hall. The caller holds g.mu.
func (g *Gossip) wouldWatch(now time.Time) []string {
	var out []string
	for _, hall := range g.halls() {
		order := slices.DeleteFunc(g.hallOrder(hall, now), func(addr string) bool { return addr == g.Self.Addr })
		out = append(out, order[:min(watchers, len(order))]...)
	}
	return out
}

// halls returns the halls of all gateways, in no order. The caller holds g.mu.
func (g *Gossip) halls() []string {
	seen := map[string]bool{g.Self.Hall: true}
	out := []string{g.Self.Hall}
	for _, m := range g.members {
		if m.Hall != "" && !seen[m.Hall] {
			seen[m.Hall] = true
			out = append(out, m.Hall)
		}
	}
	return out
}

// firstOf returns the first gateway of another hall: of those that answered of late, if
// there is one. The caller holds g.mu.
func (g *Gossip) firstOf(hall string, now time.Time) (string, bool) {
	order := g.hallOrder(hall, now)
	for _, addr := range order {
		if now.Sub(g.members[addr].heard) < leadFor {
			return addr, true
		}
	}
	if len(order) == 0 {
		return "", false
	}
	return order[0], true
}
