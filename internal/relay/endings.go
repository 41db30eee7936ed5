package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/internal/link"
)

const (
	// endProbeTimeout is how long a replica may take to turn a connection away: one that says
	// nothing may be cut off, and is not known to have ended.
	endProbeTimeout = 200 * time.Millisecond
	// endProbeTTL is for how long what was found out of a replica holds: all of its
	// connections break at one moment when it ends.
	endProbeTTL = endProbeTimeout
)

// endProbes finds out whether replicas whose connections broke have ended: a lost connection
// alone does not say so, and is no reason to suspect a request. The zero value needs Dial.
type endProbes struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	probes map[string]*endProbe // By the ID of the replica.
}

// endProbe is one question.
type endProbe struct {
	at    time.Time
	done  chan struct{}
	ended bool // The replica has ended; set before done is closed.
}

// ended asks whether the process at an address is gone. What was asked of late is not asked
// again.
func (e *endProbes) ended(id, addr string) bool {
	q, isNew := e.probe(id)
	if isNew {
		q.ended = e.refusesConnection(addr)
		close(q.done)
	}
	<-q.done
	return q.ended
}

// probe returns the last question about a replica, or a new one to be answered by the
// caller.
func (e *endProbes) probe(id string) (q *endProbe, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if q := e.probes[id]; q != nil && now.Sub(q.at) <= endProbeTTL {
		return q, false
	}
	if e.probes == nil {
		e.probes = map[string]*endProbe{}
	}
	q = &endProbe{at: now, done: make(chan struct{})}
	e.probes[id] = q
	return q, true
}

// refusesConnection reports whether nobody listens at an address.
func (e *endProbes) refusesConnection(addr string) bool {
	dial := e.Dial
	if dial == nil {
		dial = link.Dial
	}
	ctx, cancel := context.WithTimeout(context.Background(), endProbeTimeout)
	defer cancel()
	c, err := dial(ctx, addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sweep forgets old questions.
func (e *endProbes) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, q := range e.probes {
		if now.Sub(q.at) > endProbeTTL {
			delete(e.probes, id)
		}
	}
}
