package peers

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/rendezvous"
)

// expireMembers logs gateways that have fallen silent, and drops those not seen or listed for
// long. The caller holds g.mu.
func (g *Gossip) expireMembers(now time.Time) {
	for addr, m := range g.members {
		live := g.isLive(m, now)
		if m.live && !live {
			telemetry.Log("peer_lost", "peer", m.Name, "addr", addr, "hall", m.Hall, "silent", now.Sub(m.lastHeard))
		}
		m.live = m.live && live
		if now.Sub(m.lastHeard) > forgetAfter && now.Sub(m.lastNamed) > forgetAfter && !slices.Contains(g.Join, addr) {
			delete(g.members, addr)
		}
	}
	for addr, at := range g.heard {
		if now.Sub(at) > RememberFor {
			delete(g.heard, addr)
		}
	}
}

// chooseNeighbours returns the gateways to announce to: all of them if they are few, otherwise
// the first ones in this gateway's own order and one of the others at random, so that groups
// that have lost contact merge again. The caller holds g.mu.
func (g *Gossip) chooseNeighbours(now time.Time) []string {
	var live, others []string
	for addr, m := range g.members {
		if g.isLive(m, now) {
			live = append(live, addr)
		} else {
			others = append(others, addr)
		}
	}
	if len(live)+len(others) <= neighbours {
		return append(live, others...)
	}
	out, left := g.splitNeighbours(rendezvous.Rank("gossip/"+g.Self.Addr, live))
	rest := append(others, left...)
	if len(out) < neighbours/2 {
		return append(out, rest...) // Most gateways are silent, so all are tried.
	}
	if len(rest) > 0 {
		out = append(out, rest[rand.IntN(len(rest))])
	}
	return out
}

// splitNeighbours splits ranked gateways into this one's neighbours, most of them of its own
// hall, and the rest. The caller holds g.mu.
func (g *Gossip) splitNeighbours(ranked []string) (chosen, rest []string) {
	local, remote := localNeighbours, neighbours-localNeighbours
	for _, addr := range ranked {
		left := &remote
		if g.members[addr].Hall == g.Self.Hall {
			left = &local
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

// ShouldWatch reports whether this gateway should watch the platform itself: it ranks among
// the first of its hall in an order that all share, none that ranks before it announces that
// it watches, and neither does a gateway of a hall that ranks before this one. The other
// gateways receive changes from those that watch. Each hall that is cut off from the others
// has a gateway that watches.
func (g *Gossip) ShouldWatch() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.precedingHallWatches(now) {
		return false
	}
	for i, addr := range g.watchOrder(g.Self.Hall, now) {
		switch {
		case addr == g.Self.Addr:
			return i < watchersPerHall
		case g.members[addr].watchingRecently(now):
			return false
		}
	}
	return true
}

// precedingHallWatches reports whether a gateway of a hall that ranks before this one watches
// the platform. The caller holds g.mu.
func (g *Gossip) precedingHallWatches(now time.Time) bool {
	score := rendezvous.Score(hallKey, g.Self.Hall)
	for _, m := range g.members {
		if m.watchingRecently(now) && rendezvous.Score(hallKey, m.Hall) > score {
			return true
		}
	}
	return false
}

// Standby reports whether this gateway ranks among the first of its hall: it would watch the
// platform if the gateway that does were lost.
func (g *Gossip) Standby() bool {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hallRank(time.Now()) < watchersPerHall
}

// watchingRecently reports whether a gateway has recently announced that it watches the
// platform. Such a gateway announces it often to those that would watch in its place.
func (m *member) watchingRecently(now time.Time) bool {
	return m.watching && now.Sub(m.lastHeard) < watchTimeout
}

// hallKey is the key by which halls are ranked: the highest score ranks first.
const hallKey = "watch/hall"

// watchOrder returns the live gateways of a hall, including this one if it is its own, in the
// order in which they watch the platform. The caller holds g.mu.
func (g *Gossip) watchOrder(hall string, now time.Time) []string {
	var out []string
	if hall == g.Self.Hall {
		out = append(out, g.Self.Addr)
	}
	for addr, m := range g.members {
		if m.Hall == hall && g.isLive(m, now) {
			out = append(out, addr)
		}
	}
	return rendezvous.Rank("watch", out)
}

// hallRank returns how many gateways of its hall rank before this one. The caller holds g.mu.
func (g *Gossip) hallRank(now time.Time) int {
	return slices.Index(g.watchOrder(g.Self.Hall, now), g.Self.Addr)
}

// Delays before a gateway reads all records after its position was lost, in which a gateway
// that ranks before it reads them and sends the changes.
const (
	hallReadDelay     = 150 * time.Millisecond // Delay for each hall that ranks before this one.
	gatewayReadDelay  = 300 * time.Millisecond // Delay for each gateway of this hall that ranks before this one.
	maxReadDelaySteps = 3                      // At most this many halls and gateways count.
)

// ReadDelay returns how long this gateway waits for changes from others before it reads all
// records.
func (g *Gossip) ReadDelay() time.Duration {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before := 0
	score := rendezvous.Score(hallKey, g.Self.Hall)
	for _, hall := range g.halls() {
		if len(g.watchOrder(hall, now)) > 0 && rendezvous.Score(hallKey, hall) > score {
			before++
		}
	}
	return time.Duration(min(maxReadDelaySteps, before))*hallReadDelay + time.Duration(min(maxReadDelaySteps, g.hallRank(now)))*gatewayReadDelay
}

// watchCandidates returns the gateways that would watch the platform if this one did not: the
// first ones of each hall. The caller holds g.mu.
func (g *Gossip) watchCandidates(now time.Time) []string {
	var out []string
	for _, hall := range g.halls() {
		order := slices.DeleteFunc(g.watchOrder(hall, now), func(addr string) bool { return addr == g.Self.Addr })
		out = append(out, order[:min(watchersPerHall, len(order))]...)
	}
	return out
}

// halls returns the halls of all gateways, in random order. The caller holds g.mu.
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

// forwarders returns the gateways of another hall that a push to it goes to: the first ones of the
// hall, preferring those seen recently. The caller holds g.mu.
func (g *Gossip) forwarders(hall string, now time.Time) []string {
	var recent, silent []string
	for _, addr := range g.watchOrder(hall, now) {
		if now.Sub(g.members[addr].lastHeard) < watchTimeout {
			recent = append(recent, addr)
		} else {
			silent = append(silent, addr)
		}
	}
	out := append(recent, silent...)
	return out[:min(forwardersPerHall, len(out))]
}
