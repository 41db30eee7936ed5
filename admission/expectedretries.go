package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/quarantine"
)

// Limits of ExpectedRetries.
const (
	// MaxExpectedRetries is the number of retries that an ExpectedRetries holds. Beyond it, the one
	// that is due first is dropped.
	MaxExpectedRetries = 4096
	// retryGrace is how long after its time a retry is expected.
	retryGrace = 3 * time.Second
	// earlyTolerance is how much earlier than told a retry counts as on time: Retry-After is
	// rounded, and other gateways hear of a refusal after some transit time.
	earlyTolerance = 100 * time.Millisecond
)

// ExpectedRetry is the retry that a caller was told to make when its request was refused. It
// counts for one retry.
type ExpectedRetry struct {
	Key       quarantine.Key // Key of the request.
	NotBefore time.Time
	Rank      int // Rank of the request.
}

// ExpectedRetries holds the retries that are expected from refused callers, and recognises them by
// the keys of their requests. The zero value expects none. Its methods are safe for concurrent use.
//
// The gateways of a hall tell one another which retries to expect, but not which ones have
// arrived. So a caller that retries at two gateways may have its second retry count as on time as
// well.
type ExpectedRetries struct {
	mu       sync.Mutex
	expected []ExpectedRetry // Sorted by NotBefore; at most MaxExpectedRetries.
}

// Expect adds a retry after a refusal by this gateway.
func (r *ExpectedRetries) Expect(now time.Time, e ExpectedRetry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(now, e)
}

// Learn adds a retry after a refusal by another gateway. If one of the same key is already due,
// the refused request was most likely that retry, so the new one replaces it.
func (r *ExpectedRetries) Learn(now time.Time, e ExpectedRetry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.first(e.Key); i >= 0 && r.expected[i].due(now) {
		r.expected = slices.Delete(r.expected, i, i+1)
	}
	r.add(now, e)
}

// Arrive returns which attempt a request with a key is that arrives now. A retry on time uses up
// the expected one that is due first. A request that arrives while all expected ones are due
// later is an early retry and uses up none: its caller is still expected then, and an early
// retry that is refused must not be added again.
func (r *ExpectedRetries) Arrive(now time.Time, k quarantine.Key) Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	i := r.first(k)
	switch {
	case i < 0:
		return FirstAttempt
	case !r.expected[i].due(now):
		return RetriedEarly
	}
	r.expected = slices.Delete(r.expected, i, i+1)
	return RetriedOnTime
}

// due reports whether a retry at a time counts as on time.
func (e *ExpectedRetry) due(now time.Time) bool {
	return !now.Before(e.NotBefore.Add(-earlyTolerance))
}

// add adds a retry. The caller holds r.mu.
func (r *ExpectedRetries) add(now time.Time, e ExpectedRetry) {
	r.expire(now)
	if len(r.expected) >= MaxExpectedRetries {
		r.expected = slices.Delete(r.expected, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(r.expected, e.NotBefore, func(o ExpectedRetry, at time.Time) int { return o.NotBefore.Compare(at) })
	r.expected = slices.Insert(r.expected, i, e)
}

// first returns the index of the retry with a key that is due first, or -1. The caller holds
// r.mu.
func (r *ExpectedRetries) first(k quarantine.Key) int {
	return slices.IndexFunc(r.expected, func(e ExpectedRetry) bool { return e.Key == k })
}

// expire drops the retries that are no longer expected. The caller holds r.mu.
func (r *ExpectedRetries) expire(now time.Time) {
	n := 0
	for n < len(r.expected) && now.Sub(r.expected[n].NotBefore) >= retryGrace {
		n++
	}
	r.expected = slices.Delete(r.expected, 0, n)
}
