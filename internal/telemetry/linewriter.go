package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// lineQueueSize bounds the lines that are queued for a slow reader.
const lineQueueSize = 4096

// LineWriter is a writer of log lines that never blocks: if its queue is full, lines are
// dropped and counted. Use NewLineWriter.
type LineWriter struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int // Lines dropped since the last line that reported it.
	closed  bool
}

// NewLineWriter returns a LineWriter that writes to out from its own goroutine.
func NewLineWriter(out io.Writer) *LineWriter {
	l := &LineWriter{out: out, queue: make(chan []byte, lineQueueSize), done: make(chan struct{})}
	go l.run()
	return l
}

// Write queues one line, or drops it if the queue is full.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped++
	}
	return len(line), nil
}

func (l *LineWriter) run() {
	defer close(l.done)
	for line := range l.queue {
		_, _ = l.out.Write(line)
		if n := l.takeDropped(); n > 0 {
			_, _ = fmt.Fprintf(l.out, "\"log_lines_left_out\" count=%d\n", n)
		}
	}
}

func (l *LineWriter) takeDropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

// Close waits up to 500 ms for the queued lines to be written.
func (l *LineWriter) Close() {
	const timeout = 500 * time.Millisecond
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}
