package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/quarantine"
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

// MaxEndSuspects is how many Suspects a ReplicaEnds has at most. What is left out comes with
// announcements.
const MaxEndSuspects = 64

// ReplicaEnds reports which replicas have terminated, whatever they were running.
type ReplicaEnds struct {
	Ends []ReplicaEnd
	// Suspects are the keys of requests with new evidence: the sender's own requests were running
	// when a replica terminated, or one has run without harm.
	Suspects []quarantine.Report
}

// SendReplicaEnds sends terminations of replicas to the gateway at an address. Delivery is not
// confirmed.
func (g *Gossip) SendReplicaEnds(ctx context.Context, addr string, m *ReplicaEnds) {
	g.send(ctx, addr, m)
}
