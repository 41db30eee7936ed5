package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/quarantine"
)

// MaxReturnIn bounds the time until an ExpectedReturn. Callers are not expected to wait longer.
const MaxReturnIn = time.Minute

// ExpectedReturn is the retry that a refused caller was told to make. Clocks differ and may jump,
// so its time travels as a duration.
type ExpectedReturn struct {
	Key  quarantine.Key // Key of the request.
	In   time.Duration  // Time until the retry, when the message was sent.
	Rank int            // Rank of the request; 0 is the most urgent.
}

// Valid reports whether the values are within bounds.
func (e *ExpectedReturn) Valid() bool {
	return e.Key != quarantine.Key{} && e.In >= 0 && e.In <= MaxReturnIn && e.Rank >= 0 && e.Rank < limit.NumRanks
}

// ExpectedReturns reports retries that the sender told refused callers to make, to the gateways of
// its hall, since callers may retry at any of them.
type ExpectedReturns struct{ Returns []ExpectedReturn }

// SendExpectedReturns sends expected retries to the gateway at an address. Delivery is not
// confirmed.
func (g *Gossip) SendExpectedReturns(ctx context.Context, addr string, returns []ExpectedReturn) {
	g.send(ctx, addr, &ExpectedReturns{returns})
}
