package limit

import (
	"sync"
	"time"
)

// RetryWindow limits retries, in every time span of a given length, to a ratio of the requests
// plus a constant slack. It is one gateway's part of a limit over all of them.
type RetryWindow struct {
	Length time.Duration
	Ratio  float64 // Retries allowed per request.

	mu        sync.Mutex
	startedAt time.Time // Steps are counted from here, so that changes of the wall clock have no effect.
	requests  ring
	retries   ring
}

// windowSteps is the number of steps that a window is divided into. A step counts in full while
// any part of it is within the window, so the limit holds for every span.
const windowSteps = 20

type ring struct {
	counts [windowSteps + 1]int
	step   int64 // Step of the newest count.
	sum    int
}

func (r *ring) advance(step int64) {
	if step-r.step > windowSteps {
		*r = ring{step: step}
		return
	}
	for r.step < step {
		r.step++
		i := r.step % int64(len(r.counts))
		r.sum -= r.counts[i]
		r.counts[i] = 0
	}
}

func (r *ring) add(step int64, n int) {
	r.advance(step)
	r.counts[r.step%int64(len(r.counts))] += n
	r.sum += n
}

func (w *RetryWindow) step(now time.Time) int64 {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	return int64(now.Sub(w.startedAt)) / max(1, int64(w.Length/windowSteps))
}

// RecordRequest counts a request.
func (w *RetryWindow) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests.add(w.step(now), 1)
}

// TrySpend counts one retry if the limit allows it, and reports whether it does. The limit is
// Ratio times the requests in the window, plus slack.
func (w *RetryWindow) TrySpend(now time.Time, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u := w.usage(now, slack); float64(u.Retries+1) > u.Allowed {
		return false
	}
	w.retries.add(w.step(now), 1)
	return true
}

// RetryUsage is how much of a limit on retries is used.
type RetryUsage struct {
	Requests int     // Requests in the window.
	Retries  int     // Retries in the window.
	Allowed  float64 // Retries that the limit allows in the window.
}

// Usage returns how much of the limit is used, given the slack; see TrySpend.
func (w *RetryWindow) Usage(now time.Time, slack float64) RetryUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage(now, slack)
}

// usage implements Usage. The caller holds w.mu.
func (w *RetryWindow) usage(now time.Time, slack float64) RetryUsage {
	step := w.step(now)
	w.requests.advance(step)
	w.retries.advance(step)
	return RetryUsage{w.requests.sum, w.retries.sum, w.Ratio*float64(w.requests.sum) + slack}
}

// SetRatio changes Ratio.
func (w *RetryWindow) SetRatio(ratio float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Ratio = ratio
}
