package peers

import (
	"context"
	"time"
)

// ReplicaEnd is the end of a replica, as its sender saw it. Clocks differ, so its time travels as an
// age.
type ReplicaEnd struct {
	ID  string        // Of the replica.
	Age time.Duration // Of its end.
}

// Valid reports whether the end can be believed.
func (e *ReplicaEnd) Valid() bool { return e.ID != "" && e.Age >= 0 && e.Age <= MaxReportedAge }

// ReplicaEnds tells which replicas ended, whatever ran there.
type ReplicaEnds struct{ Ends []ReplicaEnd }

// SendReplicaEnds tells the gateway at an address which replicas ended. Nothing shows whether it
// arrives.
func (g *Gossip) SendReplicaEnds(ctx context.Context, addr string, ends []ReplicaEnd) {
	g.tell(ctx, addr, &ReplicaEnds{ends})
}
