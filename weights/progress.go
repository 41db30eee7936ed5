package weights

import "time"

// Complete returns a channel that is closed when every chunk is in the store.
func (t *Transfer) Complete() <-chan struct{} {
	t.init()
	return t.complete
}

// CompletedAt returns the time at which the last chunk arrived, or the zero time while the
// transfer is incomplete.
func (t *Transfer) CompletedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completedAt
}

// Manifest returns the manifest, or nil before it has been fetched.
func (t *Transfer) Manifest() *Manifest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.manifest
}

// Progress returns the number of chunks and how many of them are missing.
func (t *Transfer) Progress() (chunks, missing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return 0, 0
	}
	return t.plan.Chunks, t.plan.Missing()
}

// ParallelFraction returns the number of fetches that the box may have open as a fraction of
// the configured number. It is below 1 where the box's link is slower than expected.
func (t *Transfer) ParallelFraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return 1
	}
	return t.plan.ParallelFraction()
}

// Unseeded returns the number of chunks that no box is known to have received from the origin.
// It returns -1 before the manifest has been fetched.
func (t *Transfer) Unseeded(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return -1
	}
	return t.plan.Unseeded(now)
}

// SetYieldOrigin sets whether the transfer leaves the origin to another transfer.
func (t *Transfer) SetYieldOrigin(yields bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.yieldOrigin = yields
	if t.plan != nil && t.plan.YieldOrigin != yields {
		t.plan.YieldOrigin = yields
		t.notify()
	}
}

// SetSingleFetch sets whether the transfer is limited to one open fetch from a peer and one
// from the origin.
func (t *Transfer) SetSingleFetch(single bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.singleFetch = single
	if t.plan != nil && t.plan.SingleFetch != single {
		t.plan.SingleFetch = single
		t.notify()
	}
}

// openFetches returns the number of fetches that the link sustains as measured by this
// transfer, or zero if the transfer is complete or has not measured it.
func (t *Transfer) openFetches() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil || t.plan.Complete() {
		return 0
	}
	return t.plan.currentParallel
}

// ratePause is the time without an arrival after which the rate before it is disregarded: the
// origin was most likely unavailable.
const ratePause = time.Second

// recordArrival records for CompleteBy that a chunk has arrived. The caller holds t.mu.
func (t *Transfer) recordArrival(now time.Time) {
	if t.lastChunkAt.IsZero() || now.Sub(t.lastChunkAt) >= ratePause {
		t.firstChunkAt, t.missingAtFirst = now, t.plan.Missing()+1
	}
	t.lastChunkAt = now
}

// CompleteBy extrapolates the time of completion from the rate so far, or since the last pause
// of ratePause. It returns the zero time before the first chunk and after completion.
func (t *Transfer) CompleteBy(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return time.Time{}
	}
	missing := t.plan.Missing()
	got := t.missingAtFirst - missing
	if missing == 0 || got <= 0 || t.firstChunkAt.IsZero() {
		return time.Time{}
	}
	return now.Add(now.Sub(t.firstChunkAt) / time.Duration(got) * time.Duration(missing))
}
