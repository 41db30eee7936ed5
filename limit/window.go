package limit

import (
	"sync"
	"time"
)

// RetryWindow bounds the further sends of requests in every span of a length: to a
// share of the requests and a number besides. It is the part of one gateway in a
// bound over all of them.
type RetryWindow struct {
	Length time.Duration
	Ratio  float64 // Further sends for each request.

	mu       sync.Mutex
	began    time.Time // Steps are counted from it, so that the time of day may jump.
	requests ring
	extra    ring
}

// parts is into how many steps a window is cut. A step counts whole while any of
// it lies in the window, so the bound holds for every span.
const parts = 20

type ring struct {
	counts [parts + 1]int
	step   int64 // Of the newest count.
	sum    int
}

func (r *ring) move(step int64) {
	if step-r.step > parts {
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
	r.move(step)
	r.counts[r.step%int64(len(r.counts))] += n
	r.sum += n
}

func (w *RetryWindow) step(now time.Time) int64 {
	if w.began.IsZero() {
		w.began = now
	}
	return int64(now.Sub(w.began)) / max(1, int64(w.Length/parts))
}

// RecordRequest counts a request.
func (w *RetryWindow) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests.add(w.step(now), 1)
}

// Spend takes one further send if the bound allows it, with slack sends besides
// the share of requests.
func (w *RetryWindow) Spend(now time.Time, slack float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := w.step(now)
	w.requests.move(step)
	w.extra.move(step)
	if float64(w.extra.sum+1) > w.Ratio*float64(w.requests.sum)+slack {
		return false
	}
	w.extra.add(step, 1)
	return true
}

// SetRatio changes the share from now on.
func (w *RetryWindow) SetRatio(ratio float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Ratio = ratio
}
