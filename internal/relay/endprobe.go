package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/internal/link"
)

const (
	// endProbeTimeout is how long a replica may take to refuse a connection. One that does not
	// respond may be cut off and does not count as terminated.
	endProbeTimeout = 200 * time.Millisecond
	// endProbeSettleTime is how long after its connections a terminating process may close its
	// listener.
	endProbeSettleTime = 30 * time.Millisecond
	// endProbeTTL is how long the result of a probe is valid: all connections of a replica
	// break at the same moment when it terminates.
	endProbeTTL = endProbeTimeout
)

// endProbes determines whether replicas whose connections broke have terminated. A broken
// connection alone does not prove it and is no reason to suspect a request. Dial defaults to
// link.Dial.
type endProbes struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	probes map[string]*endProbe // Keyed by replica ID.
}

// endProbe is one check whether a replica has terminated.
type endProbe struct {
	at    time.Time
	done  chan struct{}
	ended bool // The replica has terminated; set before done is closed.
}

// ended reports whether the replica at an address has terminated. It reuses the result of a recent
// probe, but not of one that began before since and found the replica alive.
func (e *endProbes) ended(id, addr string, since time.Time) bool {
	for {
		p, isNew := e.probe(id, since)
		if isNew {
			p.ended = e.refusesConnection(addr)
			close(p.done)
		}
		<-p.done
		if p.ended || !p.at.Before(since) {
			return p.ended
		}
	}
}

// probe returns the most recent probe of a replica that may answer for since, or a new one whose
// result the caller must set.
func (e *endProbes) probe(id string, since time.Time) (p *endProbe, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if p := e.probes[id]; p != nil && now.Sub(p.at) <= endProbeTTL && !p.foundAliveBefore(since) {
		return p, false
	}
	if e.probes == nil {
		e.probes = map[string]*endProbe{}
	}
	p = &endProbe{at: now, done: make(chan struct{})}
	e.probes[id] = p
	return p, true
}

// foundAliveBefore reports whether the probe began before a time and found the replica alive.
func (p *endProbe) foundAliveBefore(t time.Time) bool {
	select {
	case <-p.done:
		return !p.ended && p.at.Before(t)
	default:
		return false
	}
}

// refusesConnection reports whether no process listens at an address. A process that terminates may
// close its connections before its listener, and then ends one that it has just accepted.
func (e *endProbes) refusesConnection(addr string) bool {
	const tries = 2
	for range tries {
		c, err := e.dial(addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		stays := staysOpen(c)
		_ = c.Close()
		if stays {
			return false
		}
	}
	return false
}

func (e *endProbes) dial(addr string) (net.Conn, error) {
	dial := e.Dial
	if dial == nil {
		dial = link.Dial
	}
	ctx, cancel := context.WithTimeout(context.Background(), endProbeTimeout)
	defer cancel()
	return dial(ctx, addr)
}

// staysOpen reports whether the other end of a new connection does not close it at once.
func staysOpen(c net.Conn) bool {
	if c.SetReadDeadline(time.Now().Add(endProbeSettleTime)) != nil {
		return false
	}
	var b [1]byte
	_, err := c.Read(b[:])
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// sweep deletes expired probes.
func (e *endProbes) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, p := range e.probes {
		if now.Sub(p.at) > endProbeTTL {
			delete(e.probes, id)
		}
	}
}
