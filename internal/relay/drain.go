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

// callerConns tracks the connections of callers. http.Server.Shutdown closes an idle
// connection even if its next request has been read but not yet handled, and that request gets
// no answer. Here only the reads of a connection are made to fail, and only while no byte of
// the next request has been read.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn

	mu      sync.Mutex
	idle    bool // No byte of the next request has been read.
	served  bool // At least one request has been answered on it.
	closing bool // Reads fail, so that the server closes the connection. Implies idle.
}

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
		c.requestBegan()
	}
	return n, err
}

// requestBegan records that a request has started to arrive. If the connection was about to be
// closed, the request is served nevertheless.
func (c *callerConn) requestBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	c.idle, c.served = true, served
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

// trackState records the state of a connection; it is the server's ConnState hook.
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

// closeIdle closes the connections on which no request is in progress, see
// callerConn.closeIfIdle. It returns the number of connections left.
func (s *callerConns) closeIdle(unused bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle(unused)
	}
	return len(s.open)
}

// drainTimes holds the deadlines of a draining process.
type drainTimes struct {
	streamsUntil time.Time // Later streams are refused if they may have to be cut short.
	answersUntil time.Time // All answers have been sent by then.
}

// draining reports whether the gateway is draining.
func (g *Relay) draining() bool { return g.stopping.Load() != nil }

// admits reports whether a request may start. The length of a stream is hard to predict: the
// first event of a long one is predicted no later than that of others, and the caller's length
// hint is often far off. After streamsUntil, a stream therefore starts only if its caller's
// deadline is not after answersUntil. A plain answer can be waited for until then, so its
// deadline is shortened instead, and its caller receives a failure when it passes.
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

// drainRetryDelay returns after what time a caller that a draining process refused should
// retry. It is short, because other gateways can take the request at once.
func drainRetryDelay() time.Duration {
	const minDelay, spread = 20 * time.Millisecond, 80 * time.Millisecond
	return minDelay + rand.N(spread)
}

// ServeCallers serves callers until stop ends, and then drains and returns the cause of the stop
// unless that was a plain cancellation. It returns at once when lifetime ends.
func (g *Relay) ServeCallers(stop, lifetime context.Context, ln net.Listener) error {
	var conns callerConns
	srv := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout,
		ErrorLog: nil, ConnState: conns.trackState,
	}
	served := make(chan error, 1)
	go func() { served <- telemetry.ServeHTTP(lifetime, callerListener{ln}, srv) }()
	select {
	case err := <-served:
		g.logCut("server_ended")
		return err
	case <-stop.Done():
	}
	g.drain(stop, lifetime, ln, &conns)
	g.logCut("grace_over")
	_ = srv.Close() // It fails if the server has not noticed yet that the listener is closed.
	return kernel.Failure(stop)
}

// drain reports "not ready" and continues to serve for as long as the load balancer may take
// to notice. Then it closes the listener and lets requests in progress finish.
func (g *Relay) drain(stop, lifetime context.Context, ln net.Listener, conns *callerConns) {
	const pollInterval = 50 * time.Millisecond
	began := time.Now()
	telemetry.Log("drain_started", "box", g.Settings.Box, "reason", kernel.Failure(stop))
	noticedBy, end := began.Add(balancerNotice), began.Add(g.bounds.Load().GracePeriod-exitMargin)
	g.stopping.Store(&drainTimes{streamsUntil: began.Add(streamCutoff), answersUntil: end.Add(-answerMargin)})
	left := conns.closeIdle(false)
	for ; lifetime.Err() == nil && time.Now().Before(noticedBy); kernel.Sleep(lifetime, pollInterval) {
		left = conns.closeIdle(false)
	}
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		telemetry.LogError(err, "listener_not_closed", "box", g.Settings.Box)
	}
	for ; lifetime.Err() == nil && time.Now().Before(end); kernel.Sleep(lifetime, pollInterval) {
		if left = conns.closeIdle(true); left == 0 {
			break
		}
	}
	telemetry.Log("drain_ended", "box", g.Settings.Box, "whole", left == 0, "left", left, "took", time.Since(began))
}
