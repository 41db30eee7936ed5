package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/poststand/poststand/internal/drain"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
)

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
	var conns drain.Conns
	srv := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout,
		ErrorLog: nil, ConnState: conns.TrackState,
	}
	served := make(chan error, 1)
	go func() { served <- telemetry.ServeHTTP(lifetime, conns.Listener(ln), srv) }()
	select {
	case err := <-served:
		g.inFlight.LogCut(g.Metrics, "server_ended")
		return err
	case <-stop.Done():
	}
	g.drain(stop, lifetime, ln, &conns)
	g.handOverRetries(lifetime)
	g.inFlight.LogCut(g.Metrics, "grace_over")
	_ = srv.Close() // It fails if the server has not noticed yet that the listener is closed.
	return kernel.Failure(stop)
}

// drain reports "not ready" and continues to serve for as long as the load balancer may take
// to notice. Then it closes the listener and lets requests in progress finish.
func (g *Relay) drain(stop, lifetime context.Context, ln net.Listener, conns *drain.Conns) {
	began := time.Now()
	telemetry.Log("drain_started", "box", g.Settings.Box, "reason", kernel.Failure(stop))
	noticedBy, end := began.Add(balancerNotice), began.Add(g.bounds.Load().GracePeriod-exitMargin)
	g.stopping.Store(&drainTimes{streamsUntil: began.Add(streamCutoff), answersUntil: end.Add(-answerMargin)})
	g.waiting.close()
	conns.CloseIdle(false)
	for ; lifetime.Err() == nil && time.Now().Before(noticedBy); kernel.Sleep(lifetime, drain.PollInterval) {
		conns.CloseIdle(false)
	}
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		telemetry.LogError(err, "listener_not_closed", "box", g.Settings.Box)
	}
	left := conns.Wait(lifetime, end)
	telemetry.Log("drain_ended", "box", g.Settings.Box, "whole", left == 0, "left", left, "took", time.Since(began))
}
