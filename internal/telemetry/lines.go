package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// linesKept bounds the lines that wait for a slow reader.
const linesKept = 4096

// Lines is a writer of log lines that never blocks: what its reader does not take
// in time is left out and counted. Use NewLines.
type Lines struct {
	out  io.Writer
	ring chan []byte
	done chan struct{}

	mu     sync.Mutex
	left   int // Out, since the last line that said so.
	closed bool
}

// NewLines returns a writer that passes lines on to out.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out, ring: make(chan []byte, linesKept), done: make(chan struct{})}
	go l.run()
	return l
}

// Write takes one line, or leaves it out.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return len(line), nil
	}
	select {
	case l.ring <- append([]byte(nil), line...):
	default:
		l.left++
	}
	return len(line), nil
}

func (l *Lines) run() {
	defer close(l.done)
	for line := range l.ring {
		_, _ = l.out.Write(line)
		if n := l.takeLeft(); n > 0 {
			_, _ = fmt.Fprintf(l.out, "\"log_lines_left_out\" count=%d\n", n)
		}
	}
}

func (l *Lines) takeLeft() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	l.left = 0
	return n
}

// Close waits a moment for what was taken to be passed on.
func (l *Lines) Close() {
	const within = 500 * time.Millisecond
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.ring)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(within):
	}
}
