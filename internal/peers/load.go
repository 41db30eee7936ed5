package peers

import (
	"context"
	"math"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// LoadPingInterval is the interval of pings on connections on which gateways query the load of
// replicas. These connections are many and often idle, and a query to an agent that was lost ends
// by its own timeout.
const LoadPingInterval = 15 * time.Second

// LoadQuery asks an agent for the current load of its replica. It is answered by a LoadAnswer.
// Builds that do not know it refuse it.
type LoadQuery struct {
	Addr string // Address of the replica.
}

// LoadAnswer answers a LoadQuery. Its fields have the same meaning as those of a Report. Those that
// are zero are not sent, since three answers are received for each request.
type LoadAnswer struct {
	Version         uint64        `msgpack:",omitempty"`
	Changing        bool          `msgpack:",omitempty"`
	ChangeIn        time.Duration `msgpack:",omitempty"`
	Queued          int           `msgpack:",omitempty"`
	Running         int           `msgpack:",omitempty"`
	Pace            float64       `msgpack:",omitempty"`
	FetchingWeights bool          `msgpack:",omitempty"`
	SlowLink        bool          `msgpack:",omitempty"`
	Reached         bool          `msgpack:",omitempty"` // The replica answered its agent.
}

// maxReportedLoad bounds the numbers of requests that a replica is reported to have, and maxPace its
// pace.
const (
	maxReportedLoad = 1 << 20
	maxPace         = 1000
)

// validLoad reports whether the load and pace of a replica are within bounds.
func validLoad(queued, running int, pace float64) bool {
	return queued >= 0 && queued <= maxReportedLoad && running >= 0 && running <= maxReportedLoad &&
		!math.IsNaN(pace) && pace >= 0 && pace <= maxPace
}

// Valid reports whether the message is plausible: its values are within bounds.
func (a *LoadAnswer) Valid() bool { return validLoad(a.Queued, a.Running, a.Pace) && a.ChangeIn >= 0 }

// QueryLoad requests the load of the replica at an address from its agent.
func QueryLoad(ctx context.Context, c *wire.Conn, replica string) (*LoadAnswer, error) {
	m, err := c.Call(ctx, &LoadQuery{replica})
	if err != nil {
		return nil, err
	}
	a, ok := m.(*LoadAnswer)
	if !ok || !a.Valid() {
		return nil, fault.New(fault.Garbage, "invalid answer to a load query")
	}
	return a, nil
}
