package relay

import (
	"sync"
	"sync/atomic"

	"github.com/poststand/poststand/fault"
)

// Bounds on what is held for callers that read slowly, in bytes.
const (
	// directBytes of a stream are written to the caller at once: the kernel takes as many.
	directBytes      = 8 << 10
	maxHeldPerAnswer = 256 << 10
	maxHeldInAll     = 24 << 20
)

// callerBuffer holds events of one stream that its caller has not read yet. Without it the replica
// would be read no faster than the caller reads, and replicas cut off answers that nobody reads.
// Use newCallerBuffer to create one.
type callerBuffer struct {
	write func(b []byte) error // Writes to the caller, and may block.
	held  *atomic.Int64        // Bytes held in all buffers of the gateway.

	mu      sync.Mutex
	pending []byte
	closed  bool  // Nothing more is added.
	err     error // The first failed write; nothing is written after it.
	changed chan struct{}
	done    chan struct{} // Closed when nothing more will be written.
}

func newCallerBuffer(held *atomic.Int64, write func(b []byte) error) *callerBuffer {
	b := &callerBuffer{write: write, held: held, changed: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// add takes events to be written. It fails with fault.CallerTooSlow if that exceeds a bound, and
// with the error of an earlier write.
func (b *callerBuffer) add(events []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err
	}
	if len(b.pending)+len(events) > maxHeldPerAnswer {
		return fault.New(fault.CallerTooSlow, "too much of the answer has not been read")
	}
	if b.held.Add(int64(len(events))) > maxHeldInAll {
		b.held.Add(-int64(len(events)))
		return fault.New(fault.CallerTooSlow, "too much of all answers has not been read")
	}
	b.pending = append(b.pending, events...)
	b.wake()
	return nil
}

// close waits until all events have been written or a write has failed. No more may be added.
func (b *callerBuffer) close() error {
	b.mu.Lock()
	b.closed = true
	b.wake()
	b.mu.Unlock()
	<-b.done
	return b.err
}

func (b *callerBuffer) wake() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// run writes the events as they are added.
func (b *callerBuffer) run() {
	defer close(b.done)
	for {
		events, closed := b.take()
		if len(events) == 0 {
			if closed {
				return
			}
			<-b.changed
			continue
		}
		err := b.write(events)
		b.held.Add(-int64(len(events)))
		if err != nil {
			b.fail(err)
			return
		}
	}
}

// take removes and returns the pending events.
func (b *callerBuffer) take() (events []byte, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, b.pending = b.pending, nil
	return events, b.closed
}

// fail records a failed write and drops what is pending.
func (b *callerBuffer) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.held.Add(-int64(len(b.pending)))
	b.pending = nil
}
