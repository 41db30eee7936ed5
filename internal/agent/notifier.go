package agent

import "sync"

// notifier wakes all goroutines that wait on it. The zero value is ready for use.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next notify.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
