package relay

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/kernel"
)

// Waits of telling others what is news.
const (
	notifyInterval      = 200 * time.Millisecond // Between two messages to each of a few gateways, longer with many.
	notifyIntervalPeers = 12                     // The time grows with their number beyond so many.
)

// notifyQueue is what others are to be told of soon. The zero value is none.
type notifyQueue[K comparable] struct {
	mu      sync.Mutex
	pending map[K]bool
	added   chan struct{} // Closed and replaced when there is news.
}

func (n *notifyQueue[K]) init() {
	if n.added == nil {
		n.pending, n.added = map[K]bool{}, make(chan struct{})
	}
}

func (n *notifyQueue[K]) add(k K) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	if !n.pending[k] {
		n.pending[k] = true
		close(n.added)
		n.added = make(chan struct{})
	}
}

// take returns the news, and what is closed when there is more.
func (n *notifyQueue[K]) take() (map[K]bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	out := n.pending
	n.pending = map[K]bool{}
	return out, n.added
}

// notifyPeers keeps telling what is news until ctx ends, by a function that returns how many
// gateways it told.
func notifyPeers[K comparable](ctx context.Context, n *notifyQueue[K], tell func(ctx context.Context, about map[K]bool, now time.Time) int) error {
	for ctx.Err() == nil {
		about, more := n.take()
		if len(about) == 0 {
			select {
			case <-more:
			case <-ctx.Done():
			}
			continue
		}
		told := tell(ctx, about, time.Now())
		kernel.Sleep(ctx, notifyInterval*time.Duration(max(notifyIntervalPeers, told))/notifyIntervalPeers)
	}
	return nil
}
