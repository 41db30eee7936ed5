package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// Rate enforces one gateway's part of an organisation's limits, which apply to all gateways
// together. The limits are split evenly between the live gateways of the view. While views
// differ, or part of the fleet is unreachable, the sum of the parts differs from the limit by
// at most the ratio of the gateways that exist to those that each one sees.
//
// The zero value has had no requests before its first one. A process that may follow another one of its box
// sets Since.
type Rate struct {
	// Since is when the process started, if it does not know what earlier ones of its box have used: the
	// rate is earned from then on. Zero if there were none. It is set before first use.
	Since time.Time

	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
	inFlight int
}

// GatewayLimit is the part of a limit that one gateway may use.
type GatewayLimit struct {
	PerSecond float64 // 0 means no limit.
	InFlight  int     // 0 means no limit.
}

// Split returns the part of a limit for one of n gateways.
func Split(perSecond float64, inFlight, n int) GatewayLimit {
	n = max(1, n)
	l := GatewayLimit{PerSecond: perSecond / float64(n)}
	if inFlight > 0 {
		l.InFlight = max(1, (inFlight+n-1)/n)
	}
	return l
}

// burstSize returns how many requests may come at once at a rate.
func burstSize(perSecond float64) float64 { return max(1, perSecond) }

// Acquire admits one request, or refuses it with fault.RateLimited and the time at which to
// retry. An admitted request must be ended with Release.
func (r *Rate) Acquire(now time.Time, l GatewayLimit) (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.InFlight > 0 && r.inFlight >= l.InFlight {
		return now.Add(time.Second), fault.New(fault.RateLimited, "limit of requests in flight reached")
	}
	if l.PerSecond > 0 {
		r.refill(now, l)
		if r.tokens < 1 {
			wait := (1 - r.tokens) / l.PerSecond
			return now.Add(time.Duration(wait * float64(time.Second))), fault.New(fault.RateLimited, "limit of requests per second reached")
		}
		r.tokens--
	}
	r.inFlight++
	return time.Time{}, nil
}

func (r *Rate) refill(now time.Time, l GatewayLimit) {
	if r.filledAt.IsZero() {
		r.filledAt = r.Since
	}
	if r.filledAt.IsZero() {
		r.tokens = burstSize(l.PerSecond)
	} else if now.After(r.filledAt) {
		r.tokens = min(burstSize(l.PerSecond), r.tokens+now.Sub(r.filledAt).Seconds()*l.PerSecond)
	}
	if now.After(r.filledAt) {
		r.filledAt = now
	}
}

// Release ends a request that Acquire admitted.
func (r *Rate) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// RetryBudget limits retries to a percentage of requests, plus a few a second for when there
// are few requests. The zero value is a full budget.
type RetryBudget struct {
	// Since is when the process started, if it does not know what earlier ones of its box have spent: the
	// budget is earned from then on. Zero if there were none. It is set before first use.
	Since time.Time

	mu        sync.Mutex
	debt      float64 // Retries spent and not yet regained; at least 0.
	updatedAt time.Time
}

const (
	budgetBurst     = 10  // Retries that may come at once after an idle period.
	budgetPerSecond = 1.0 // Retries regained per second without any request.
)

// earn regains n retries plus those for the time since the last call. The caller holds b.mu.
func (b *RetryBudget) earn(now time.Time, n float64) {
	if b.updatedAt.IsZero() && !b.Since.IsZero() {
		b.debt, b.updatedAt = budgetBurst, b.Since
	}
	if now.After(b.updatedAt) {
		if !b.updatedAt.IsZero() {
			n += now.Sub(b.updatedAt).Seconds() * budgetPerSecond
		}
		b.updatedAt = now
	}
	b.debt = max(0, b.debt-n)
}

// RecordRequest adds a request's share of a retry to the budget.
func (b *RetryBudget) RecordRequest(now time.Time, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, float64(percent)/100)
}

// TrySpend takes one retry from the budget, and reports whether there was one.
func (b *RetryBudget) TrySpend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, 0)
	if b.debt+1 > budgetBurst {
		return false
	}
	b.debt++
	return true
}

// RetryTime returns the time at which a refused caller should retry: randomly between one and
// two times the wait that the queue suggests, which counts as at least a second, so that
// retries are spread.
func RetryTime(now time.Time, wait time.Duration) time.Time {
	wait = max(wait, time.Second)
	return now.Add(wait + rand.N(wait))
}
