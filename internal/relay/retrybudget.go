package relay

import (
	"context"
	"maps"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/limit"
)

// retryWindow returns the retry budget of a service.
func (g *Relay) retryWindow(service string) *limit.RetryWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.retryWindows[service]
	if !ok {
		s := g.bounds.Load()
		w = &limit.RetryWindow{Length: s.RetryWindow, Ratio: s.RetryRatio * retryShare}
		g.retryWindows[service] = w
	}
	return w
}

// retryShare is the fraction of the retry budget that is used, because gateways do not share
// their counts and callers' requests are counted where they arrive.
const retryShare = 0.8

// retrySlack returns this gateway's share of the retries that are allowed beyond the ratio. A
// gateway with few known peers may be cut off, so it takes a third at most, and peers count
// for a while after they have stopped. It is unknown how many retries the previous process of
// this gateway used, so the share of a new process grows from zero over one window.
func (g *Relay) retrySlack() float64 {
	const minPeers = 3
	b := g.bounds.Load()
	ramp := min(1, float64(time.Since(g.startedAt))/float64(b.RetryWindow))
	return ramp * retryShare * float64(b.RetrySlack) / float64(max(minPeers, g.gossip.KnownCount()))
}

// retryUsageInterval is the time between two log lines about the retries of a service.
const retryUsageInterval = time.Second

// retryUsage returns how much of the retry budget of each service is used.
func (g *Relay) retryUsage(now time.Time) map[string]limit.RetryUsage {
	g.mu.Lock()
	windows := maps.Clone(g.retryWindows)
	g.mu.Unlock()
	out := map[string]limit.RetryUsage{}
	for service, w := range windows {
		out[service] = w.Usage(now, g.retrySlack())
	}
	return out
}

// logRetryUsage logs the retries of each service that has any, until ctx ends.
func (g *Relay) logRetryUsage(ctx context.Context) error {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, retryUsageInterval)
		now := time.Now()
		for service, u := range g.retryUsage(now) {
			if u.Retries > 0 {
				telemetry.Log("retry_budget", "service", service, "requests", u.Requests, "spent", u.Retries, "allowed", u.Allowed, "slack", g.retrySlack(),
					"gateways", g.gossip.KnownCount(), "up_ms", now.Sub(g.startedAt).Milliseconds())
			}
		}
	}
	return nil
}

// addRetryGauges adds gauges of the retries of all services together.
func (g *Relay) addRetryGauges() error {
	sum := func(value func(limit.RetryUsage) float64) func() float64 {
		return func() (total float64) {
			for _, u := range g.retryUsage(time.Now()) {
				total += value(u)
			}
			return total
		}
	}
	err := g.Metrics.Gauge("poststand_retries_spent", "Retries in the current window, of all services.",
		sum(func(u limit.RetryUsage) float64 { return float64(u.Retries) }))
	if err != nil {
		return err
	}
	return g.Metrics.Gauge("poststand_retries_allowed", "Retries that this gateway may make in the current window, of all services.",
		sum(func(u limit.RetryUsage) float64 { return u.Allowed }))
}
