package weights

import "time"

// Complete is closed when every chunk is in the store.
func (t *Transfer) Complete() <-chan struct{} {
	t.init()
	return t.complete
}

// CompletedAt is when the last chunk came; zero before that.
func (t *Transfer) CompletedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wholeAt
}

// Manifest returns the manifest, or nil while it is not here.
func (t *Transfer) Manifest() *Manifest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.manifest
}

// Progress returns how many chunks there are and how many are missing.
func (t *Transfer) Progress() (chunks, missing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return 0, 0
	}
	return t.plan.Chunks, t.plan.Missing()
}

// ParallelFraction is the part of its usual fetches that the box has open: less than 1 where
// its link turns out slower than it should be.
func (t *Transfer) ParallelFraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return 1
	}
	return t.plan.ParallelFraction()
}

// Unseeded returns how many chunks have yet to leave the origin, as far as is known:
// all of them, of which -1 says that the number is not known, while there is no
// manifest.
func (t *Transfer) Unseeded(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return -1
	}
	return t.plan.Unseeded(now)
}

// SetYieldOrigin has the transfer leave the origin to another one, or use it again.
func (t *Transfer) SetYieldOrigin(yields bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.yields = yields
	if t.plan != nil && t.plan.YieldOrigin != yields {
		t.plan.YieldOrigin = yields
		t.happened()
	}
}

// SetSingleFetch has the transfer keep no more than one chunk of a peer and one of the origin on
// their way, or as many as usual again.
func (t *Transfer) SetSingleFetch(few bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.few = few
	if t.plan != nil && t.plan.SingleFetch != few {
		t.plan.SingleFetch = few
		t.happened()
	}
}

// openFetches is how many fetches the link bears, as far as this transfer has found
// out; zero if it is complete or knows of nothing.
func (t *Transfer) openFetches() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil || t.plan.Complete() {
		return 0
	}
	return t.plan.parallel
}

// CompleteBy estimates when the transfer will be complete, if it goes on as it did so
// far. It is zero while nothing is known, and when the transfer is complete.
func (t *Transfer) CompleteBy(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return time.Time{}
	}
	missing := t.plan.Missing()
	got := t.missingAtFirst - missing
	if missing == 0 || got <= 0 || t.firstAt.IsZero() {
		return time.Time{}
	}
	return now.Add(now.Sub(t.firstAt) / time.Duration(got) * time.Duration(missing))
}
