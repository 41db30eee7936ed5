package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/wire"
)

// replicaEnd is the termination of a replica that this gateway has observed.
type replicaEnd struct {
	replica string // ID of the replica.
	at      time.Time
}

// endNotice is what other gateways are to be notified of: the termination of a replica, or new
// evidence on a key of requests. The other one is zero.
type endNotice struct {
	end replicaEnd
	key quarantine.Key
}

// recordEnd records the termination of a replica and queues it for all other gateways. Whether
// a request is the cause is decided by what else terminated at about the same time, and each
// gateway observes only terminations during its own requests.
func (g *Relay) recordEnd(id string, at time.Time) {
	if g.suspects.RecordTermination(time.Now(), id, at) {
		g.endQueue.add(endNotice{end: replicaEnd{id, at}})
	}
}

// recordRefusal records that a replica refuses connections. A replica that ran no request when it
// terminated is noticed only by this.
func (g *Relay) recordRefusal(id string) {
	now := time.Now()
	if g.suspects.RecordRefusal(now, id) {
		g.endQueue.add(endNotice{end: replicaEnd{id, now}})
	}
}

// notifyEnds notifies all other gateways of terminated replicas, and of evidence on keys, until
// ctx ends.
func (g *Relay) notifyEnds(ctx context.Context) error {
	return notifyPeers(ctx, &g.endQueue, g.sendEnds)
}

// sendEnds sends notices to all other gateways and returns their number.
func (g *Relay) sendEnds(ctx context.Context, notices map[endNotice]bool, now time.Time) int {
	m := &peers.ReplicaEnds{}
	var keys []quarantine.Key
	for n := range notices {
		switch {
		case n.end.replica != "":
			m.Ends = append(m.Ends, peers.ReplicaEnd{ID: n.end.replica, Age: max(0, min(peers.MaxReportedAge, now.Sub(n.end.at)))})
		case len(keys) < peers.MaxEndSuspects:
			keys = append(keys, n.key)
		}
	}
	m.Suspects = g.suspects.Reports(now, keys)
	receivers := 0
	for _, member := range g.gossip.Live() {
		if member.Addr != g.Settings.Listen {
			receivers++
			go g.gossip.SendReplicaEnds(ctx, member.Addr, m)
		}
	}
	return receivers
}

func (g *Relay) serveReplicaEnds(_ context.Context, s *wire.Stream, m *peers.ReplicaEnds) {
	now := time.Now()
	for i := range m.Ends {
		if e := &m.Ends[i]; e.Valid() {
			g.suspects.RecordTermination(now, e.ID, now.Add(-e.Age))
		}
	}
	suspects := m.Suspects[:min(peers.MaxEndSuspects, len(m.Suspects))]
	peers.LearnQuarantine(&g.suspects, now, now, suspects, s.Conn().Remote().Box)
}
