package stager

import (
	"context"

	"github.com/poststand/poststand/weights"
)

// Report is what a replica says of itself.
type Report struct {
	Model        string
	Version      uint64 // That it holds whole; 0 for none.
	OrderPending bool   // It has not finished an order.
	OrderCount   uint64 // Orders that it took since its start.
	Queued       int
	Running      int
	UsedTokens   int // Tokens of contexts in its memory,
	TotalTokens  int // and how many fit.
	Slowdown     float64
}

// Replica is the replica of this box.
type Replica struct {
	Report func(ctx context.Context) (Report, error)
	// Order has it take the version that is staged, once what runs has finished,
	// if it has taken as many orders as the caller believes.
	Order      func(ctx context.Context, model string, version, orders uint64) error
	Stage      func(ctx context.Context, model string, piece int, data []byte) error
	ListStaged func(ctx context.Context, model string) ([]int, error)
	ReadStaged func(ctx context.Context, model string, piece int) ([]byte, error)
}

// Origin is where weights come from first.
type Origin struct {
	Manifest func(ctx context.Context, addr, model string, version uint64) (*weights.Manifest, error)
	Piece    func(ctx context.Context, addr, model string, version uint64, piece int) ([]byte, error)
}
