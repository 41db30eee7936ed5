package stager

import (
	"context"

	"github.com/poststand/poststand/weights"
)

// Report is the state of a replica as reported by itself.
type Report struct {
	Model        string
	Version      uint64 // The version that is loaded; 0 for none.
	Born         int64  // When its process started, in Unix milliseconds by its own clock; 0 if it does not say.
	OrderPending bool   // An order has been accepted and is not finished.
	OrderCount   uint64 // Number of orders accepted since its start.
	Queued       int
	Running      int
	UsedTokens   int // Tokens in the context memory.
	TotalTokens  int // Capacity of the context memory in tokens.
	Slowdown     float64
}

// Replica holds the calls to the replica of this box. They fail with fault.Unreachable if there is
// no answer; one that changes something may then still be carried out.
type Replica struct {
	Report     func(ctx context.Context) (Report, error)
	Connect    func(ctx context.Context) (*ReplicaConn, error)
	Stage      func(ctx context.Context, model string, piece int, data []byte) error
	ListStaged func(ctx context.Context, model string) ([]int, error)
	// ReadStaged returns a staged piece. It fails with fault.NotHeld if there is none, and with
	// fault.TooLarge if that is larger than maxBytes.
	ReadStaged func(ctx context.Context, model string, piece, maxBytes int) ([]byte, error)
}

// ReplicaConn is one connection to the replica, for one order. The order reaches the process to which
// the connection was opened, and no later one.
type ReplicaConn struct {
	// Order orders the replica to load the staged version once its running requests have
	// finished. The replica refuses the order if the number of orders that it has accepted
	// differs from orders.
	Order func(ctx context.Context, model string, version, orders uint64) error
	Close func()
}

// Origin holds the calls to the origin server of weights.
type Origin struct {
	Manifest func(ctx context.Context, addr, model string, version uint64) (*weights.Manifest, error)
	// Piece fails with fault.TooLarge if the piece is larger than maxBytes.
	Piece func(ctx context.Context, addr, model string, version uint64, piece, maxBytes int) ([]byte, error)
}
