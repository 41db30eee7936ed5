package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// Rate is one gateway's part of an organisation's limits, which hold over all
// gateways. The parts are split by the gateways that the view shows live. While
// views differ, or a part of the fleet is cut off, the sum of the parts is off
// by at most the ratio of the gateways that exist to those that each one sees.
type Rate struct {
	mu       sync.Mutex
	tokens   float64
	filled   time.Time
	inFlight int
}

// GatewayLimit is the limit that falls to this gateway.
type GatewayLimit struct {
	PerSecond float64 // 0 is no limit.
	InFlight  int     // 0 is no limit.
}

// Split returns the part of a limit for one of n gateways.
func Split(perSecond float64, inFlight, n int) GatewayLimit {
	n = max(1, n)
	p := GatewayLimit{PerSecond: perSecond / float64(n)}
	if inFlight > 0 {
		p.InFlight = max(1, (inFlight+n-1)/n)
	}
	return p
}

// burstOf is how many requests may come at once at a rate.
func burstOf(perSecond float64) float64 { return max(1, perSecond) }

// Acquire admits one request or refuses it with fault.RateLimited and the time to
// come back. Give must follow an admission.
func (r *Rate) Acquire(now time.Time, p GatewayLimit) (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.InFlight > 0 && r.inFlight >= p.InFlight {
		return now.Add(time.Second), fault.New(fault.RateLimited, "requests in flight")
	}
	if p.PerSecond > 0 {
		r.fill(now, p)
		if r.tokens < 1 {
			wait := (1 - r.tokens) / p.PerSecond
			return now.Add(time.Duration(wait * float64(time.Second))), fault.New(fault.RateLimited, "requests a second")
		}
		r.tokens--
	}
	r.inFlight++
	return time.Time{}, nil
}

func (r *Rate) fill(now time.Time, p GatewayLimit) {
	if r.filled.IsZero() {
		r.tokens = burstOf(p.PerSecond)
	} else if now.After(r.filled) {
		r.tokens = min(burstOf(p.PerSecond), r.tokens+now.Sub(r.filled).Seconds()*p.PerSecond)
	}
	if now.After(r.filled) {
		r.filled = now
	}
}

// Release ends a request that Take admitted.
func (r *Rate) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// RetryBudget keeps retries to a share of requests, and to a few a second where there
// are few requests. The zero value is full.
type RetryBudget struct {
	mu   sync.Mutex
	debt float64 // Retries spent and not yet earned back; at least 0.
	at   time.Time
}

const (
	budgetBurst     = 10  // Retries that may come at once after quiet times.
	budgetPerSecond = 1.0 // Retries that are earned by time alone.
)

// earn forgives n retries and what time has earned. The caller holds b.mu.
func (b *RetryBudget) earn(now time.Time, n float64) {
	if now.After(b.at) {
		if !b.at.IsZero() {
			n += now.Sub(b.at).Seconds() * budgetPerSecond
		}
		b.at = now
	}
	b.debt = max(0, b.debt-n)
}

// RecordRequest earns a request's share of a retry.
func (b *RetryBudget) RecordRequest(now time.Time, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, float64(percent)/100)
}

// Spend takes one retry, if there is one.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, 0)
	if b.debt+1 > budgetBurst {
		return false
	}
	b.debt++
	return true
}

// RetryTime spreads the time at which refused callers return: evenly over one
// to two times the wait that the queue suggests, at least a second.
func RetryTime(now time.Time, wait time.Duration) time.Time {
	wait = max(wait, time.Second)
	return now.Add(wait + rand.N(wait))
}
