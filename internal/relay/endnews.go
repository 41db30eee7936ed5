package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/wire"
)

// replicaEnd is the end of a replica that this gateway saw.
type replicaEnd struct {
	id string // Of the replica.
	at time.Time
}

// recordEnd takes note of the end of a replica, and has all gateways told of it: whether a
// request is why its replicas ended is judged by what else ended about then, and each gateway
// sees only ends under requests of its own.
func (g *Relay) recordEnd(id string, at time.Time) {
	if g.suspects.RecordTermination(time.Now(), id, at) {
		g.endQueue.add(replicaEnd{id, at})
	}
}

// notifyEnds keeps telling all gateways which replicas ended.
func (g *Relay) notifyEnds(ctx context.Context) error {
	return notifyPeers(ctx, &g.endQueue, g.sendEnds)
}

// sendEnds returns how many gateways were told.
func (g *Relay) sendEnds(ctx context.Context, ends map[replicaEnd]bool, now time.Time) int {
	var told []peers.ReplicaEnd
	for e := range ends {
		told = append(told, peers.ReplicaEnd{ID: e.id, Age: max(0, min(peers.MaxReportedAge, now.Sub(e.at)))})
	}
	n := 0
	for _, m := range g.gossip.Live() {
		if m.Addr != g.Settings.Listen {
			n++
			go g.gossip.SendReplicaEnds(ctx, m.Addr, told)
		}
	}
	return n
}

func (g *Relay) serveReplicaEnds(_ context.Context, _ *wire.Stream, m *peers.ReplicaEnds) {
	now := time.Now()
	for i := range m.Ends {
		if e := &m.Ends[i]; e.Valid() {
			g.suspects.RecordTermination(now, e.ID, now.Add(-e.Age))
		}
	}
}
