package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// Times for notifying other gateways of the limits of replicas.
const (
	maxTransit = time.Second // Assumed maximum transit time of a message.
	// limitRepeatDelay is the delay after which a limit is sent a second time. A limit that
	// may be older than the one that a receiver has is accepted only if it is lower.
	limitRepeatDelay = 2 * maxTransit
)

// newReplicaLimit returns the limit of a replica in wire form.
func newReplicaLimit(inc fleet.Incarnation, l route.Limit, now time.Time) peers.ReplicaLimit {
	rl := peers.ReplicaLimit{ID: inc.ID, Born: inc.Born, Named: l.Named, PerSecond: l.PerSecond}
	rl.HeardAge = max(0, min(peers.MaxReportedAge, now.Sub(l.Heard)))
	rl.AskedAge = max(rl.HeardAge, min(peers.MaxReportedAge, now.Sub(l.Asked)))
	return rl
}

// receiveLimit merges a limit that another gateway sent unsolicited. The message may have been
// in transit for up to transit.
func (g *Relay) receiveLimit(rl *peers.ReplicaLimit, now time.Time, transit time.Duration, from string) {
	g.mergeLimit(rl, now.Add(-transit-rl.AskedAge), from)
}

// mergeLimit merges a replica's limit received from another gateway. It stems from a response
// to a request sent at requestedAt or later.
func (g *Relay) mergeLimit(rl *peers.ReplicaLimit, requestedAt time.Time, from string) {
	now := time.Now()
	l := route.Limit{Named: rl.Named, PerSecond: rl.PerSecond, Asked: requestedAt, Heard: now.Add(-rl.HeardAge)}
	before, after := g.table.UpdateLimit(rl.Incarnation(), now, l)
	if before.SameRate(after) {
		return
	}
	g.Metrics.Event("upstream_limit_learnt", "")
	telemetry.Log("upstream_limit_learnt", "id", rl.ID, "limit", after, "before", before, "from", from, "heard_ago", rl.HeardAge)
	if g.limiterOf(rl.ID).addr == g.Settings.Listen {
		g.limitQueue.add(rl.Incarnation())
	}
}

// notifyLimits sends changed limits to the limiter of each replica, and, for replicas of which
// this gateway is the limiter, to all other gateways. Otherwise each gateway would send one
// request to an overloaded replica before it learns the limit itself.
func (g *Relay) notifyLimits(ctx context.Context) error {
	return notifyPeers(ctx, &g.limitQueue, g.sendLimits)
}

// queueLimitTwice queues the limit of a replica for other gateways now and once more after
// limitRepeatDelay.
func (g *Relay) queueLimitTwice(inc fleet.Incarnation) {
	g.limitQueue.add(inc)
	time.AfterFunc(limitRepeatDelay, func() { g.limitQueue.add(inc) })
}

// sendLimits sends each gateway the limits that concern it and returns the number of
// receivers.
func (g *Relay) sendLimits(ctx context.Context, pending map[fleet.Incarnation]bool, now time.Time) int {
	byAddr := map[string][]peers.ReplicaLimit{}
	for inc := range pending {
		rl := newReplicaLimit(inc, g.table.Limit(inc), now)
		if lim := g.limiterOf(inc.ID); lim.addr != g.Settings.Listen {
			byAddr[lim.addr] = append(byAddr[lim.addr], rl)
			continue
		}
		for _, m := range g.gossip.Live() {
			if m.Addr != g.Settings.Listen {
				byAddr[m.Addr] = append(byAddr[m.Addr], rl)
			}
		}
	}
	for addr, limits := range byAddr {
		go g.gossip.SendLimits(ctx, addr, limits)
	}
	return len(byAddr)
}

func (g *Relay) serveReplicaLimits(_ context.Context, s *wire.Stream, m *peers.ReplicaLimits) {
	now := time.Now()
	for i := range m.Limits {
		if rl := &m.Limits[i]; rl.Valid() {
			g.receiveLimit(rl, now, maxTransit, s.Conn().Remote().Box)
		}
	}
}
