// Package drain holds what a server of callers needs to stop without losing requests: Conns closes
// its idle connections, and InFlight knows the requests that it handles.
//
// http.Server.Shutdown closes an idle connection even if its next request has been read but not
// yet handled, and that request gets no answer. Here only the reads of a connection are made to
// fail, and only while no byte of the next request has been read.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/poststand/poststand/kernel"
)

// Conns tracks the connections of callers. The zero value has none.
type Conns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn

	mu      sync.Mutex
	idle    bool // No byte of the next request has been read.
	ahead   bool // A byte of the next request has been read before the answer to the last was complete.
	served  bool // At least one request has been answered on it.
	closing bool // Reads fail, so that the server closes the connection. Implies idle.
}

// Listener returns a listener for a server whose ConnState hook is TrackState.
func (s *Conns) Listener(ln net.Listener) net.Listener { return callerListener{ln} }

// callerListener accepts connections of callers as callerConn.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc}, nil
}

// Read implements net.Conn. The first byte of a request ends the idle state.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.dataRead(len(b) == 1)
	}
	return n, err
}

// dataRead records that data of a request has been read. If the connection was about to be
// closed, the request is served nevertheless. While a request is handled, the server reads a
// single byte to notice that the caller disconnects; it belongs to the next request.
func (c *callerConn) dataRead(singleByte bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = !c.idle && singleByte
	c.idle = false
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that is closing.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// setIdle records that the connection waits for its next request.
func (c *callerConn) setIdle(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.ahead, c.served = !c.ahead, false, served
}

// closeIfIdle makes the server close the connection if no request is in progress on it. A
// connection that has served no request is closed only if unused is set.
func (c *callerConn) closeIfIdle(unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closing || !c.served && !unused {
		return
	}
	c.closing = true
	past := time.Unix(1, 0)
	_ = c.Conn.SetReadDeadline(past)
}

// TrackState records the state of a connection; it is the server's ConnState hook.
func (s *Conns) TrackState(nc net.Conn, st http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch st {
	case http.StateNew:
		c.setIdle(false)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.open == nil {
			s.open = map[*callerConn]struct{}{}
		}
		s.open[c] = struct{}{}
	case http.StateIdle:
		c.setIdle(true)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}
}

// CloseIdle makes the server close the connections on which no request is in progress, and those
// that have served no request only if unused is set. It returns the number of connections left.
func (s *Conns) CloseIdle(unused bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle(unused)
	}
	return len(s.open)
}

// PollInterval is how often a draining server looks for idle connections.
const PollInterval = 50 * time.Millisecond

// Wait closes idle connections until none is left, ctx ends or the deadline passes. It returns
// the number of connections left. The listener must have been closed.
func (s *Conns) Wait(ctx context.Context, deadline time.Time) (left int) {
	for {
		left = s.CloseIdle(true)
		if left == 0 || ctx.Err() != nil || !time.Now().Before(deadline) {
			return left
		}
		kernel.Sleep(ctx, PollInterval)
	}
}
