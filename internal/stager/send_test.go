package stager

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
)

// limitedContext ends after its error has been read limit times, so that a loop without a pause,
// during which virtual time stands still, ends as well.
type limitedContext struct {
	context.Context
	cancel context.CancelFunc
	limit  int64
	reads  atomic.Int64
}

func (c *limitedContext) Err() error {
	if c.reads.Add(1) > c.limit {
		c.cancel()
	}
	return c.Context.Err()
}

// An agent that reaches no gateway must not use its share of a core for repeating attempts: during
// the redial delay each one fails at once. All gateways are still tried without a pause the first
// time.
func TestUnreachableGatewaysAreRetriedWithPauses(t *testing.T) {
	const period = 2 * time.Second
	for name, gateways := range map[string]int{"one gateway": 1, "three gateways": 3} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(_ *is.I, s *testCluster) {
				is := is.NewRelaxed(t) // Failures are reported, and the test continues to its end.
				s.add(t, withVersion(1))
				a := s.agents[0]
				a.assignments.set(&peers.Assignment{
					At: 1, Model: "m", Version: 1, ReportTargets: 2,
					Gateways: []peers.Member{{Addr: "10.9.0.1:1"}, {Addr: "10.9.0.2:1"}, {Addr: "10.9.0.3:1"}}[:gateways],
				}, "test")
				inner, cancel := context.WithTimeout(context.Background(), period)
				defer cancel()
				ctx := &limitedContext{Context: inner, cancel: cancel, limit: 1000}
				began := time.Now()
				a.sendToFirst(ctx, 0)
				is.Equal(time.Since(began), period)
				passes := int(ctx.reads.Load())
				is.True(passes >= gateways)
				is.True(passes <= 4*(gateways+int(period/sendRetry))) // The error is read a few times in each pass.
			})
		})
	}
}

// A sender pauses only while no gateway is free that is not avoided, so that a lost one is replaced at
// once.
func TestLostGatewayIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	order := []peers.Member{{Addr: "a"}, {Addr: "b"}}
	var c claims
	_, _, _ = c.take(order, now)
	c.release("a", true, now)
	is.True(c.anyUsable(order, now))
	_, _, _ = c.take(order, now)
	is.True(!c.anyUsable(order, now)) // b is claimed.
	c.release("b", true, now)
	is.True(!c.anyUsable(order, now))
	is.True(c.anyUsable(order, now.Add(avoidFor)))
}
