package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/wire"
)

// expectedRetryBatchTime is how long expected retries are collected for one message. Callers retry
// minRetryDelay after a refusal at the earliest, and other gateways need to know of it by then.
const expectedRetryBatchTime = 100 * time.Millisecond

// recogniseRetry returns which attempt a request with a key is that arrives now.
func (g *Relay) recogniseRetry(now time.Time, k quarantine.Key) admission.Attempt {
	a := g.expectedRetries.Arrive(now, k)
	if a != admission.FirstAttempt {
		g.countExpectedRetry(a.String())
	}
	return a
}

// expectRetry records that the caller of a refused request was told to retry at a time, and queues
// that for the other gateways of the hall. A caller that is told a later time than its latestRetry
// is expected at that one. The refusal of an early retry adds none, since the retry that it came
// before is still expected.
func (g *Relay) expectRetry(now time.Time, rq *request, at time.Time) {
	if rq.key == (quarantine.Key{}) || rq.attempt == admission.RetriedEarly || !at.Before(rq.deadline) || at.Sub(now) > peers.MaxReturnIn {
		return
	}
	at = times.Earlier(at, rq.latestRetry(now))
	e := admission.ExpectedRetry{Key: rq.key, NotBefore: at, Rank: max(0, min(limit.NumRanks-1, rq.rank))}
	g.expectedRetries.Expect(now, e)
	g.expectedRetryQueue.add(e)
	g.countExpectedRetry("told")
}

func (g *Relay) countExpectedRetry(what string) { g.Metrics.Event("expected_retry", what) }

// notifyExpectedRetries notifies the other gateways of the hall of expected retries until ctx ends.
func (g *Relay) notifyExpectedRetries(ctx context.Context) error {
	return notifyBatches(ctx, &g.expectedRetryQueue, g.sendExpectedRetries)
}

// sendExpectedRetries sends expected retries to the other gateways of the hall and returns how long
// the next ones are collected.
func (g *Relay) sendExpectedRetries(ctx context.Context, pending map[admission.ExpectedRetry]bool, now time.Time) time.Duration {
	var msg []peers.ExpectedReturn
	for e := range pending {
		if len(msg) < admission.MaxExpectedRetries {
			msg = append(msg, peers.ExpectedReturn{Key: e.Key, In: max(0, e.NotBefore.Sub(now)), Rank: e.Rank})
		}
	}
	for _, m := range g.gossip.Live() {
		if m.Hall == g.Settings.Hall && m.Addr != g.Settings.Listen {
			go g.gossip.SendExpectedReturns(ctx, m.Addr, msg)
		}
	}
	return expectedRetryBatchTime
}

// serveExpectedReturns receives the retries that another gateway of the hall told callers to make.
// Those that are out of bounds are dropped, and so is a message with more than a gateway holds.
func (g *Relay) serveExpectedReturns(_ context.Context, s *wire.Stream, m *peers.ExpectedReturns) {
	now, dropped := time.Now(), 0
	if len(m.Returns) > admission.MaxExpectedRetries {
		dropped, m.Returns = len(m.Returns), nil
	}
	for i := range m.Returns {
		e := &m.Returns[i]
		if !e.Valid() {
			dropped++
			continue
		}
		g.expectedRetries.Learn(now, admission.ExpectedRetry{Key: e.Key, NotBefore: now.Add(e.In), Rank: e.Rank})
	}
	if dropped > 0 {
		telemetry.Log("expected_retries_dropped", "from", s.Conn().Remote().Box, "dropped", dropped)
	}
}
