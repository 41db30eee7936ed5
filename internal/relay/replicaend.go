package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/wire"
)

// replicaEnd is the termination of a replica that this gateway has observed.
type replicaEnd struct {
	replica string // ID of the replica.
	at      time.Time
}

// recordEnd records the termination of a replica and queues it for all other gateways. Whether
// a request is the cause is decided by what else terminated at about the same time, and each
// gateway observes only terminations during its own requests.
func (g *Relay) recordEnd(id string, at time.Time) {
	if g.suspects.RecordTermination(time.Now(), id, at) {
		g.endQueue.add(replicaEnd{id, at})
	}
}

// recordRefusal records that a replica refuses connections. A replica that ran no request when it
// terminated is noticed only by this.
func (g *Relay) recordRefusal(id string) {
	now := time.Now()
	if g.suspects.RecordRefusal(now, id) {
		g.endQueue.add(replicaEnd{id, now})
	}
}

// notifyEnds notifies all other gateways of terminated replicas until ctx ends.
func (g *Relay) notifyEnds(ctx context.Context) error {
	return notifyPeers(ctx, &g.endQueue, g.sendEnds)
}

// sendEnds sends terminations to all other gateways and returns their number.
func (g *Relay) sendEnds(ctx context.Context, ends map[replicaEnd]bool, now time.Time) int {
	var msg []peers.ReplicaEnd
	for e := range ends {
		msg = append(msg, peers.ReplicaEnd{ID: e.replica, Age: max(0, min(peers.MaxReportedAge, now.Sub(e.at)))})
	}
	receivers := 0
	for _, m := range g.gossip.Live() {
		if m.Addr != g.Settings.Listen {
			receivers++
			go g.gossip.SendReplicaEnds(ctx, m.Addr, msg)
		}
	}
	return receivers
}

func (g *Relay) serveReplicaEnds(_ context.Context, _ *wire.Stream, m *peers.ReplicaEnds) {
	now := time.Now()
	for i := range m.Ends {
		if e := &m.Ends[i]; e.Valid() {
			g.suspects.RecordTermination(now, e.ID, now.Add(-e.Age))
		}
	}
}
