package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
)

// callerConns are the connections of callers. The server's own way to end idle ones
// closes a connection whose next request has been read but not been looked at yet,
// and that request would get no answer. Here only the reads of a connection are
// ended, and only while no byte of the next request was read.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is one of them.
type callerConn struct {
	net.Conn

	mu      sync.Mutex
	idle    bool // No byte of the next request was read yet.
	served  bool // A request was answered on it.
	closing bool // Its reads fail, so that the server closes it. Implies waiting.
}

// callerListener accepts connections of callers.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc}, nil
}

// Read ends the wait for a request with the first byte that comes.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.requestBegan()
	}
	return n, err
}

// requestBegan records that a request has begun to come in. One that came just before its
// connection was to end is served.
func (c *callerConn) requestBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline sets when reads fail, unless they do already.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// setIdle records that the next request is waited for.
func (c *callerConn) setIdle(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.served = true, served
}

// closeIfIdle ends the connection if no request is under way on it; one that never
// had a request only if fresh is set.
func (c *callerConn) closeIfIdle(fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closing || !c.served && !fresh {
		return
	}
	c.closing = true
	past := time.Unix(1, 0)
	_ = c.Conn.SetReadDeadline(past)
}

// trackState follows a connection; it is the ConnState of the server.
func (s *callerConns) trackState(nc net.Conn, st http.ConnState) {
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

// closeIdle ends the connections on which no request is under way, see
// callerConn.closeIfIdle. It returns how many connections are left.
func (s *callerConns) closeIdle(fresh bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle(fresh)
	}
	return len(s.open)
}

// drainTimes is when a process that is told to stop does what.
type drainTimes struct {
	streamsUntil time.Time // From then on it begins nothing that it may have to cut.
	answersUntil time.Time // By then it has answered.
}

// draining reports whether the process is told to stop.
func (g *Relay) draining() bool { return g.stopping.Load() != nil }

// admits reports whether a request may be begun. Little tells beforehand how long a stream
// will be: the first event of long ones is
// predicted no later than that of all others, and the caller's guess of the length is often
// far off. So a late one is begun only if its caller waits no longer than the process
// stays. An answer that is given only whole can be waited for until the process leaves, and
// then its caller is told so.
func (d *drainTimes) admits(now time.Time, rq *request) bool {
	if d == nil || !rq.deadline.After(d.answersUntil) {
		return true
	}
	if rq.route.Kind != streamKind {
		rq.deadline = d.answersUntil
		return true
	}
	return now.Before(d.streamsUntil)
}

// drainRetryDelay is when the caller of a request that a stopping process turns away should
// come back: other gateways can take it at once.
func drainRetryDelay() time.Duration {
	const least, spread = 20 * time.Millisecond, 80 * time.Millisecond
	return least + rand.N(spread)
}

// ServeCallers serves callers until stop ends, and then drains. It ends at once with
// own.
func (g *Relay) ServeCallers(stop, own context.Context, ln net.Listener) error {
	var conns callerConns
	srv := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout,
		ErrorLog: nil, ConnState: conns.trackState,
	}
	served := make(chan error, 1)
	go func() { served <- telemetry.ServeHTTP(own, callerListener{ln}, srv) }()
	select {
	case err := <-served:
		return err
	case <-stop.Done():
	}
	g.drain(own, ln, &conns)
	return srv.Close()
}

// drain says "not ready" and still serves for as long as the balancer may take to
// notice. Then it takes no more connections and lets what is in progress finish.
func (g *Relay) drain(own context.Context, ln net.Listener, conns *callerConns) {
	const look = 50 * time.Millisecond
	began := time.Now()
	telemetry.Log("drain_started", "box", g.Settings.Box)
	noticed, end := began.Add(balancerNotice), began.Add(g.bounds.Load().GraceFor-exitMargin)
	g.stopping.Store(&drainTimes{streamsUntil: began.Add(streamCutoff), answersUntil: end.Add(-answerMargin)})
	left := conns.closeIdle(false)
	for ; own.Err() == nil && time.Now().Before(noticed); kernel.Sleep(own, look) {
		left = conns.closeIdle(false)
	}
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		telemetry.LogError(err, "listener_not_closed", "box", g.Settings.Box)
	}
	for ; own.Err() == nil && time.Now().Before(end); kernel.Sleep(own, look) {
		if left = conns.closeIdle(true); left == 0 {
			break
		}
	}
	telemetry.Log("drain_ended", "box", g.Settings.Box, "whole", left == 0, "left", left, "took", time.Since(began))
}
