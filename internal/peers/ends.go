package peers

import (
	"context"
	"time"
)

// ReplicaEnd reports the end of a replica's life as its sender observed it. Clocks differ, so
// its time travels as an age.
type ReplicaEnd struct {
	ID  string        // ID of the replica.
	Age time.Duration // Time since the replica ended.
}

// Valid reports whether the message is plausible: it names a replica, and its age is within
// bounds.
func (e *ReplicaEnd) Valid() bool { return e.ID != "" && e.Age >= 0 && e.Age <= MaxReportedAge }

// ReplicaEnds reports which replicas have ended, whatever they were running.
type ReplicaEnds struct{ Ends []ReplicaEnd }

// SendReplicaEnds sends the ends of replicas to the gateway at an address. Delivery is not
// confirmed.
func (g *Gossip) SendReplicaEnds(ctx context.Context, addr string, ends []ReplicaEnd) {
	g.send(ctx, addr, &ReplicaEnds{ends})
}
