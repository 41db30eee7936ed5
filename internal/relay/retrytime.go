package relay

import (
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/times"
)

// minRetryDelay is the shortest time after which refused callers should retry.
const minRetryDelay = 350 * time.Millisecond

// retryAfterBackoff returns when a caller should retry after all replicas that could run its
// request have requested a backoff until the given time. Retries are spread out from
// then on, so that the replicas do not receive all callers at once.
func retryAfterBackoff(now, until time.Time) time.Time {
	const maxSpread = 1500 * time.Millisecond
	spread := max(minRetryDelay, min(maxSpread, until.Sub(now)/2))
	return times.Later(until, now.Add(minRetryDelay)).Add(rand.N(spread))
}

// retryTime returns when the caller of a request that is refused for a reason should retry: when
// there is room, or, if no replica is usable, after a fixed time with jitter.
func (g *Relay) retryTime(now time.Time, rq *request, reason fault.Code) time.Time {
	const delay = 1400 * time.Millisecond
	if reason == fault.QueueFull {
		return g.reserveRetry(now, rq)
	}
	return now.Add(delay + rand.N(delay/2+1))
}

// reserveRetry returns when the caller of a request that is refused for lack of room should retry.
// That is no earlier than the end of the wait predicted at the replica chosen last. If there is no
// room by the latest time at which the caller would retry, it is a time past the caller's deadline,
// so that it does not retry only to be refused again.
func (g *Relay) reserveRetry(now time.Time, rq *request) time.Time {
	const margin = 20 * time.Millisecond // Retry-After is rounded, and the refusal takes some time to arrive.
	t := g.retryTimes.Reserve(now, admission.RetryRequest{
		Service: rq.service, Level: g.admissions.level(rq),
		Earliest: now.Add(max(minRetryDelay, rq.queueWait)), Latest: rq.latestRetry(now).Add(-margin),
		NoPlace: rq.attempt != admission.FirstAttempt,
	})
	rq.retriesBefore = t.Before
	if t.At.IsZero() {
		g.countExpectedRetry("no_room")
		return rq.deadline.Add(minRetryDelay)
	}
	return t.At
}

// recordCompletion records a request that was answered, as a measure of the room for others.
func (g *Relay) recordCompletion(rq *request, res dispatch.Result) {
	if res.Reason == "" {
		g.retryTimes.Complete(time.Now(), rq.service)
	}
}

// latestRetry returns when the caller of a request that is refused now retries at the latest,
// whatever Retry-After says: callers wait for a third of the time that they have left.
func (rq *request) latestRetry(now time.Time) time.Time {
	const waitDivisor = 3
	return now.Add(rq.deadline.Sub(now) / waitDivisor)
}
