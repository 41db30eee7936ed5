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

// Waits of telling others what replicas said of their limits.
const (
	maxTransit = time.Second // So long a message may have been on its way.
	// limitRepeatDelay is after which time what was heard is told once more: of what may have been
	// said before what they know, others believe only the lower limit.
	limitRepeatDelay = 2 * maxTransit
)

// limitMessage is what is believed of a replica's limit, as it is told.
func limitMessage(id fleet.Incarnation, l route.Limit, now time.Time) peers.ReplicaLimit {
	w := peers.ReplicaLimit{ID: id.ID, Born: id.Born, Named: l.Named, PerSecond: l.PerSecond}
	w.HeardAge = max(0, min(peers.MaxReportedAge, now.Sub(l.Heard)))
	w.AskedAge = max(w.HeardAge, min(peers.MaxReportedAge, now.Sub(l.Asked)))
	return w
}

// receiveLimit takes what another gateway tells unasked: the message may have been on its way
// for so long.
func (g *Relay) receiveLimit(w *peers.ReplicaLimit, now time.Time, onWay time.Duration, from string) {
	g.mergeLimit(w, now.Add(-onWay-w.AskedAge), from)
}

// mergeLimit takes what another gateway tells of a replica's limit, by an answer that was made
// after a time.
func (g *Relay) mergeLimit(w *peers.ReplicaLimit, asked time.Time, from string) {
	now := time.Now()
	o := route.Limit{Named: w.Named, PerSecond: w.PerSecond, Asked: asked, Heard: now.Add(-w.HeardAge)}
	before, after := g.table.UpdateLimit(w.Life(), now, o)
	if before.SameRate(after) {
		return
	}
	g.Metrics.Event("upstream_limit_learnt", "")
	telemetry.Log("upstream_limit_learnt", "id", w.ID, "limit", after, "before", before, "from", from, "heard_ago", w.HeardAge)
	if g.limiterOf(w.ID).addr == g.Settings.Listen {
		g.limitQueue.add(w.Life())
	}
}

// notifyLimits keeps telling what replicas said of their limits: the limiter of each, which
// tells all others. Each gateway would else send a first request to a replica in need before
// it hears of it by itself.
func (g *Relay) notifyLimits(ctx context.Context) error {
	return notifyPeers(ctx, &g.limitQueue, g.sendLimits)
}

// queueLimitTwice has others told of what a replica said now, and once more in a while.
func (g *Relay) queueLimitTwice(l fleet.Incarnation) {
	g.limitQueue.add(l)
	time.AfterFunc(limitRepeatDelay, func() { g.limitQueue.add(l) })
}

// sendLimits tells each gateway what concerns it, and returns how many were told.
func (g *Relay) sendLimits(ctx context.Context, news map[fleet.Incarnation]bool, now time.Time) int {
	to := map[string][]peers.ReplicaLimit{}
	for l := range news {
		w := limitMessage(l, g.table.Limit(l), now)
		if k := g.limiterOf(l.ID); k.addr != g.Settings.Listen {
			to[k.addr] = append(to[k.addr], w)
			continue
		}
		for _, m := range g.gossip.Live() {
			if m.Addr != g.Settings.Listen {
				to[m.Addr] = append(to[m.Addr], w)
			}
		}
	}
	for addr, words := range to {
		go g.gossip.SendLimits(ctx, addr, words)
	}
	return len(to)
}

func (g *Relay) serveLimitWords(_ context.Context, s *wire.Stream, m *peers.ReplicaLimits) {
	now := time.Now()
	for i := range m.Limits {
		if w := &m.Limits[i]; w.Valid() {
			g.receiveLimit(w, now, maxTransit, s.Conn().Remote().Box)
		}
	}
}
