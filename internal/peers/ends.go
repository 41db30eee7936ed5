package peers

import (
	"context"
	"time"
)

// ReplicaEnd reports the termination of a replica as the sender observed it. Clocks differ, so
// its time travels as an age.
type ReplicaEnd struct {
	ID  string        // ID of the replica.
	Age time.Duration // Time since the replica terminated.
}

// Valid reports whether the message is plausible: it names a replica, and its age is within
// bounds.
func (e *ReplicaEnd) Valid() bool { return e.ID != "" && e.Age >= 0 && e.Age <= MaxReportedAge }

// ReplicaEnds reports which replicas have terminated, whatever they were running.
type ReplicaEnds struct{ Ends []ReplicaEnd }

// SendReplicaEnds sends terminations of replicas to the gateway at an address. Delivery is not
// confirmed.
func (g *Gossip) SendReplicaEnds(ctx context.Context, addr string, ends []ReplicaEnd) {
	g.send(ctx, addr, &ReplicaEnds{ends})
}
