package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/limit"
)

// retryUsageInterval is the time between two log lines about the retries of a service.
const retryUsageInterval = time.Second

// retryUsage returns how much of the retry budget of each service is used.
func (g *Relay) retryUsage(now time.Time) map[string]limit.RetryUsage {
	l, out := g.retryLimit(now), map[string]limit.RetryUsage{}
	for service, w := range g.retries.all() {
		out[service] = w.Usage(now, l)
	}
	return out
}

// logRetryUsage logs the retries of each service that has any, until ctx ends.
func (g *Relay) logRetryUsage(ctx context.Context) error {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, retryUsageInterval)
		now := time.Now()
		l := g.retryLimit(now)
		for service, u := range g.retryUsage(now) {
			if u.Retries > 0 {
				telemetry.Log("retry_budget", "service", service, "requests", u.Requests, "spent", u.Retries, "allowed", u.Allowed, "known", u.Known, "slack", l.Slack,
					"gateways", g.retryGateways(), "confirmed_only", l.BoundsUnconfirmed, "up_ms", now.Sub(g.startedAt).Milliseconds())
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
