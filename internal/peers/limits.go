package peers

import (
	"context"
	"math"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// MaxReportedAge bounds the ages that a LimitWord tells.
const MaxReportedAge = time.Hour

// ReplicaLimit is what an answer of a replica said of how many requests it takes from all
// gateways together. Clocks differ, so times travel as ages.
type ReplicaLimit struct {
	ID        string // Of the replica,
	Born      int64  // and of its life; see fleet.Incarnation.
	Named     bool
	PerSecond float64       // 0 where none is named.
	AskedAge  time.Duration // The answer was made after this
	HeardAge  time.Duration // and before this.
}

// Life returns the life of the replica that the word is of.
func (w *ReplicaLimit) Life() fleet.Incarnation { return fleet.Incarnation{ID: w.ID, Born: w.Born} }

// Valid reports whether the word can be believed.
func (w *ReplicaLimit) Valid() bool {
	return w.ID != "" && w.PerSecond >= 0 && !math.IsInf(w.PerSecond, 1) && w.HeardAge >= 0 && w.AskedAge >= w.HeardAge && w.AskedAge <= MaxReportedAge
}

// PermitRequest asks the gateway that keeps a replica's limit for the right to send one request. It
// is answered by a Permit.
type PermitRequest struct {
	Word ReplicaLimit // As far as the sender knows.
	Rank int          // Of the request; 0 is the most urgent.
}

// Permit answers an AskPermit.
type Permit struct {
	Word   ReplicaLimit // As far as the limiter knows.
	Given  bool
	NextIn time.Duration // Until one may be free, where none is given.
	// NotLimiter says that the gateway does not keep the limit, as far as it knows.
	NotLimiter bool
}

// ReplicaLimits tells what replicas said.
type ReplicaLimits struct{ Words []ReplicaLimit }

// RequestPermit asks the gateway at an address for a permit.
func (g *Gossip) RequestPermit(ctx context.Context, addr string, ask *PermitRequest) (*Permit, error) {
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	m, err := c.Call(ctx, ask)
	if err != nil {
		return nil, err
	}
	p, ok := m.(*Permit)
	if !ok || p.NextIn < 0 || !p.Word.Valid() {
		return nil, fault.New(fault.Garbage, "permit")
	}
	return p, nil
}

// SendLimits tells the gateway at an address what replicas said. Nothing shows whether it
// arrives.
func (g *Gossip) SendLimits(ctx context.Context, addr string, words []ReplicaLimit) {
	g.tell(ctx, addr, &ReplicaLimits{words})
}

// tell sends a message that is not answered.
func (g *Gossip) tell(ctx context.Context, addr string, m any) {
	ctx, cancel := context.WithTimeout(ctx, announceIn)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	if s, err := c.Open(ctx, m); err == nil {
		s.Close()
	}
}
