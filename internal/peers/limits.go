package peers

import (
	"context"
	"math"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// MaxReportedAge bounds the ages in a ReplicaLimit, ReplicaEnd or RetryRecord.
const MaxReportedAge = time.Hour

// ReplicaLimit is the rate limit that a replica stated in an answer: how many requests it
// accepts from all gateways together. Clocks differ, so times travel as ages.
type ReplicaLimit struct {
	ID        string // ID of the replica.
	Born      int64  // Start of the incarnation; see fleet.Incarnation.
	Named     bool
	PerSecond float64       // 0 if no limit is stated.
	AskedAge  time.Duration // Age of the request: the answer was produced after it.
	HeardAge  time.Duration // Age of the answer's arrival: the answer was produced before it.
}

// Incarnation returns the incarnation of the replica that the limit belongs to.
func (l *ReplicaLimit) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: l.ID, Born: l.Born}
}

// Valid reports whether the message is plausible: its values are within bounds.
func (l *ReplicaLimit) Valid() bool {
	return l.ID != "" && l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1) && l.HeardAge >= 0 && l.AskedAge >= l.HeardAge && l.AskedAge <= MaxReportedAge
}

// PermitRequest requests permission to send one request from the gateway that enforces a
// replica's limit. It is answered by a Permit.
type PermitRequest struct {
	Limit ReplicaLimit `msgpack:"Word"` // The limit as known to the sender.
	Rank  int          // Priority of the request; 0 is the most urgent.
}

// ColdPermitRequest requests permission to send one request to a cold replica. It is answered by
// a Permit. Builds that do not know it refuse it.
type ColdPermitRequest struct {
	ID        string // ID of the replica.
	Born      int64  // Start of the incarnation; see fleet.Incarnation.
	PerSecond float64
	Rank      int // Priority of the request; 0 is the most urgent.
}

// Incarnation returns the incarnation of the replica that the request is for.
func (r *ColdPermitRequest) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: r.ID, Born: r.Born}
}

// Valid reports whether the message is plausible: its values are within bounds.
func (r *ColdPermitRequest) Valid() bool {
	return r.ID != "" && r.PerSecond > 0 && !math.IsInf(r.PerSecond, 1)
}

// LimiterQuery asks which gateway the receiver takes for the limiter of a replica. It is answered
// by a LimiterAnswer.
type LimiterQuery struct {
	ID string // ID of the replica.
}

// LimiterAnswer answers a LimiterQuery.
type LimiterAnswer struct {
	Addr string // Address of the limiter.
}

// Permit answers a PermitRequest or a ColdPermitRequest.
type Permit struct {
	Limit   ReplicaLimit  `msgpack:"Word"` // The limit as known to the limiter; not set for a cold replica.
	Granted bool          `msgpack:"Given"`
	NextIn  time.Duration // Time until a permit may be available, if none is granted.
	// NotLimiter reports that this gateway does not enforce the limit, as far as it can tell.
	NotLimiter bool
}

// ReplicaLimits reports limits that replicas have stated.
type ReplicaLimits struct {
	Limits []ReplicaLimit `msgpack:"Words"`
}

// RequestPermit requests a permit from the gateway at an address.
func (g *Gossip) RequestPermit(ctx context.Context, addr string, req *PermitRequest) (*Permit, error) {
	p, err := g.callForPermit(ctx, addr, req)
	if err == nil && !p.Limit.Valid() {
		return nil, fault.New(fault.Garbage, "invalid limit in a permit")
	}
	return p, err
}

// RequestColdPermit requests a permit for a cold replica from the gateway at an address.
func (g *Gossip) RequestColdPermit(ctx context.Context, addr string, req *ColdPermitRequest) (*Permit, error) {
	return g.callForPermit(ctx, addr, req)
}

// QueryLimiter returns the address of the gateway that the one at addr takes for the limiter of a
// replica.
func (g *Gossip) QueryLimiter(ctx context.Context, addr, replica string) (string, error) {
	m, err := g.call(ctx, addr, &LimiterQuery{replica})
	if err != nil {
		return "", err
	}
	a, ok := m.(*LimiterAnswer)
	if !ok {
		return "", fault.New(fault.Garbage, "invalid answer to a limiter query")
	}
	return a.Addr, nil
}

func (g *Gossip) callForPermit(ctx context.Context, addr string, req any) (*Permit, error) {
	m, err := g.call(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	p, ok := m.(*Permit)
	if !ok || p.NextIn < 0 {
		return nil, fault.New(fault.Garbage, "invalid answer to a permit request")
	}
	return p, nil
}

// SendLimits sends limits of replicas to the gateway at an address. Delivery is not confirmed.
func (g *Gossip) SendLimits(ctx context.Context, addr string, limits []ReplicaLimit) {
	g.send(ctx, addr, &ReplicaLimits{limits})
}

// call sends a request to the gateway at an address and returns its answer.
func (g *Gossip) call(ctx context.Context, addr string, req any) (any, error) {
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.Call(ctx, req)
}

// send sends a message that has no answer.
func (g *Gossip) send(ctx context.Context, addr string, m any) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	if s, err := c.Open(ctx, m); err == nil {
		s.Close()
	}
}
