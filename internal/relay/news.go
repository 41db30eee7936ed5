package relay

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/kernel"
)

// Waits of telling others what is news.
const (
	tellNewsEvery = 200 * time.Millisecond // Between two messages to each of a few gateways, longer with many.
	tellNewsEach  = 12                     // The time grows with their number beyond so many.
)

// news is what others are to be told of soon. The zero value is none.
type news[K comparable] struct {
	mu    sync.Mutex
	about map[K]bool
	some  chan struct{} // Closed and replaced when there is news.
}

func (n *news[K]) init() {
	if n.some == nil {
		n.about, n.some = map[K]bool{}, make(chan struct{})
	}
}

func (n *news[K]) add(k K) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	if !n.about[k] {
		n.about[k] = true
		close(n.some)
		n.some = make(chan struct{})
	}
}

// take returns the news, and what is closed when there is more.
func (n *news[K]) take() (map[K]bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.init()
	out := n.about
	n.about = map[K]bool{}
	return out, n.some
}

// tellNews keeps telling what is news until ctx ends, by a function that returns how many
// gateways it told.
func tellNews[K comparable](ctx context.Context, n *news[K], tell func(ctx context.Context, about map[K]bool, now time.Time) int) error {
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
		kernel.Sleep(ctx, tellNewsEvery*time.Duration(max(tellNewsEach, told))/tellNewsEach)
	}
	return nil
}
