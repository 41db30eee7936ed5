package relay

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/kernel"
)

// Intervals between notifications of other gateways.
const (
	notifyInterval      = 200 * time.Millisecond // Between two messages to each gateway, up to notifyIntervalPeers gateways.
	notifyIntervalPeers = 12                     // Beyond this number, the interval grows in proportion.
)

// notifyQueue holds keys of which other gateways are to be notified. The zero value is an
// empty queue.
type notifyQueue[K comparable] struct {
	mu      sync.Mutex
	pending map[K]bool
	added   chan struct{} // Closed and replaced when a key is added.
}

func (n *notifyQueue[K]) init() {
	if n.added == nil {
		n.pending, n.added = map[K]bool{}, make(chan struct{})
	}
}

func (n *notifyQueue[K]) add(ks ...K) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	before := len(n.pending)
	for _, k := range ks {
		n.pending[k] = true
	}
	if len(n.pending) > before {
		close(n.added)
		n.added = make(chan struct{})
	}
}

// take removes and returns all pending keys, with a channel that is closed when one is added.
func (n *notifyQueue[K]) take() (map[K]bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	out := n.pending
	n.pending = map[K]bool{}
	return out, n.added
}

// notifyPeers calls send with the pending keys whenever there are any, until ctx ends. send
// returns the number of gateways that it notified.
func notifyPeers[K comparable](ctx context.Context, n *notifyQueue[K], send func(ctx context.Context, pending map[K]bool, now time.Time) int) error {
	return notifyBatches(ctx, n, func(ctx context.Context, pending map[K]bool, now time.Time) time.Duration {
		receivers := send(ctx, pending, now)
		return notifyInterval * time.Duration(max(notifyIntervalPeers, receivers)) / notifyIntervalPeers
	})
}

// notifyBatches calls send with the pending keys whenever there are any, until ctx ends. send
// returns how long keys are collected until the next call.
func notifyBatches[K comparable](ctx context.Context, n *notifyQueue[K], send func(ctx context.Context, pending map[K]bool, now time.Time) time.Duration) error {
	for ctx.Err() == nil {
		pending, added := n.take()
		if len(pending) == 0 {
			select {
			case <-added:
			case <-ctx.Done():
			}
			continue
		}
		kernel.Sleep(ctx, send(ctx, pending, time.Now()))
	}
	return nil
}
