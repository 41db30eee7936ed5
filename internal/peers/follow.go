package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
)

// Follower keeps a mirror up to date from the platform's store. Set the exported fields before
// Run.
type Follower struct {
	Mirror *mirror.Mirror
	// ReadAll reads all records; Watch waits for changes after a position.
	ReadAll func(ctx context.Context) (mirror.Delta, error)
	Watch   func(ctx context.Context, since mirror.Position, wait time.Duration) (mirror.Delta, error)
	// Newest reads the position of the store's newest change. It finds changes that a silent
	// watch misses.
	Newest func(ctx context.Context) (mirror.Position, error)
	// CheckInterval is the time between two checks by a process that watches; 250 ms by
	// default.
	CheckInterval time.Duration
	Event         func(name string, c fault.Code)
	// MaxAssumedAge is the age that a change found only now is assumed to have at most, where
	// nothing proves that it is younger.
	MaxAssumedAge time.Duration
	// Needed, if set, reports whether this process should read the platform. While it does not,
	// Run reads nothing and calls Needed at intervals.
	Needed func() bool

	// ReadDelay, if set, returns how long this process waits for changes from its peers before
	// it reads all records, once the store no longer has the changes after its position.
	ReadDelay func() time.Duration

	// Standby, if set, reports whether this process is one of those that would watch if the
	// process that does were lost: these check again the soonest.
	Standby func() bool

	mu           sync.Mutex
	currentAsOf  time.Time // When the mirror was last known to be up to date.
	completeAsOf time.Time // The mirror has every change that was made before this time.
	watching     bool
	platformAt   mirror.Position // The newest position that this process received from the platform itself.
}

// MarkCurrent records that the mirror was up to date at a time, by a peer's message. The
// message may have been delayed, so this only schedules the next check: no change is dated by
// it.
func (f *Follower) MarkCurrent(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.currentAsOf) {
		f.currentAsOf = at
	}
}

// CurrentAsOf returns when the mirror was last known to be up to date.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentAsOf
}

// MarkComplete records that the mirror has every change made before a time: this process sent
// a request then or later, and the answer has been applied.
func (f *Follower) MarkComplete(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeAsOf = times.Later(f.completeAsOf, before)
}

// CompleteAsOf returns the latest time for which the mirror is known to have every change made
// before it.
func (f *Follower) CompleteAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeAsOf
}

// Watching reports whether this process watches the platform, as far as it can tell: nothing
// has failed since the last answer.
func (f *Follower) Watching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching
}

func (f *Follower) setWatching(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = yes
}

// PlatformPosition returns the newest position that this process received from the platform
// itself, including one that is just being applied.
func (f *Follower) PlatformPosition() mirror.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platformAt
}

// applyFromPlatform applies a delta that came from the platform.
func (f *Follower) applyFromPlatform(d mirror.Delta) {
	f.mu.Lock()
	f.platformAt = max(f.platformAt, d.At) // Before Apply, which wakes the goroutine that forwards changes.
	f.mu.Unlock()
	f.Mirror.Apply(d)
}

// withLowerBounds returns a delta with the lower bounds of the times of those changes in it that
// the mirror lacks: a proven one and an assumed one.
func (f *Follower) withLowerBounds(d mirror.Delta) mirror.Delta {
	d.NotBefore, d.AssumedNotBefore = f.CompleteAsOf(), time.Now().Add(-f.MaxAssumedAge)
	return d
}

// settleTime is how long a process that has started, or was cut off, may still use a version
// that was superseded at an unknown time.
const settleTime = 2500 * time.Millisecond

// MaxAssumedAgeFor returns the MaxAssumedAge of a process that may use a version for the given
// time after it was superseded.
func MaxAssumedAgeFor(versionWithin time.Duration) time.Duration {
	return max(0, versionWithin-settleTime)
}

// Timing of a Follower.
const (
	watchWait            = 20 * time.Second
	watchSlack           = 2 * time.Second // Added to watchWait for the answer to arrive.
	readAllTimeout       = 5 * time.Second
	minRetryDelay        = 100 * time.Millisecond
	maxRetryDelay        = time.Second
	idlePollInterval     = 250 * time.Millisecond // Time between polls while the platform need not be read.
	startPollInterval    = 20 * time.Millisecond  // Time between polls while the mirror is empty.
	defaultCheckInterval = 250 * time.Millisecond // The default of CheckInterval.
	watchLag             = 300 * time.Millisecond // By then this process's own watch should have reported a change.
	// standbySlack is how much longer than the interval of checks a process on standby waits
	// for the report of a check, and otherChecks is how many intervals the others wait.
	standbySlack       = 400 * time.Millisecond
	otherChecks        = 4
	watchAcceptedAfter = time.Second            // A watch that has not failed by then counts as answered.
	changePause        = 150 * time.Millisecond // Pause after changes, so that a burst of changes costs few calls.
)

// Run keeps the mirror up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	r := readState{retryDelay: minRetryDelay}
	for ctx.Err() == nil {
		if f.Needed != nil && !f.Needed() {
			f.waitIdle(ctx)
			continue
		}
		prev := f.Mirror.At()
		r.readAll = r.readAll && prev == r.lostAt // Otherwise peers sent the changes.
		err := f.attempt(ctx, &r)
		switch {
		case err == nil:
			r.succeeded(f.Mirror.At())
		case ctx.Err() != nil:
			return nil
		case f.Needed != nil && !f.Needed(), f.Mirror.At().Era() > prev.Era():
			// The read was cancelled because peers sent the changes, or it is no longer
			// needed.
		default:
			f.handleFailure(ctx, &r, err, prev)
		}
	}
	return nil
}

// readState is the state of a Follower's reads.
type readState struct {
	retryDelay    time.Duration   // Delay after the next failure.
	failing       bool            // The last read failed.
	readAll       bool            // The next read is of all records.
	lostAt        mirror.Position // Position after which the store no longer has the changes.
	retriedAtOnce bool            // All records were read without a delay, and no watch has been answered since.
}

// succeeded records a successful read.
func (r *readState) succeeded(at mirror.Position) {
	if r.failing {
		telemetry.Log("store_regained", "at", at)
	}
	if !r.readAll {
		r.retryDelay, r.retriedAtOnce = minRetryDelay, false
	}
	r.failing, r.readAll = false, false
}

// waitIdle waits while the platform need not be read.
func (f *Follower) waitIdle(ctx context.Context) {
	f.setWatching(false)
	interval := idlePollInterval
	if f.Mirror.At() == 0 {
		interval = startPollInterval
	}
	kernel.Sleep(ctx, interval)
}

// attempt reads once and updates whether this process counts as watching.
func (f *Follower) attempt(ctx context.Context, r *readState) error {
	if !r.failing {
		f.setWatching(true)
	}
	answered := time.AfterFunc(watchAcceptedAfter, func() { f.setWatching(true) })
	err := f.readOnce(ctx, r.readAll)
	answered.Stop()
	f.setWatching(err == nil)
	return err
}

// handleFailure records a failed read that began at prev, and waits until the next one is due.
func (f *Follower) handleFailure(ctx context.Context, r *readState, err error, prev mirror.Position) {
	if !r.failing {
		telemetry.Log("store_lost", "reason", fault.CodeOf(err), "at", f.Mirror.At(), "detail", err.Error())
	}
	r.failing = true
	if f.Event != nil {
		f.Event("store_failed", fault.CodeOf(err))
	}
	if fault.Is(err, fault.HistoryGone) {
		r.readAll, r.lostAt = !f.waitForPeers(ctx, prev), prev
		if !r.retriedAtOnce {
			r.retriedAtOnce = true
			return
		}
	}
	kernel.Sleep(ctx, r.retryDelay/2+rand.N(r.retryDelay))
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
}

// waitForPeers waits for the time of ReadDelay, in which peers that read all records first may
// send them, and reports whether the mirror moved past prev.
func (f *Follower) waitForPeers(ctx context.Context, prev mirror.Position) bool {
	if f.ReadDelay == nil {
		return false
	}
	deadline := time.Now().Add(f.ReadDelay())
	for ctx.Err() == nil && f.Mirror.At() == prev && time.Now().Before(deadline) {
		kernel.Sleep(ctx, startPollInterval)
	}
	return f.Mirror.At() > prev
}

// readOnce performs one read: of all records while the mirror is empty or its position is
// unknown to the store, otherwise of the next changes.
func (f *Follower) readOnce(ctx context.Context, whole bool) error {
	if whole || f.Mirror.At() == 0 {
		return f.readSnapshot(ctx)
	}
	since := f.Mirror.At()
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	go f.cancelOutdated(ctx, cancel, since)
	requestedAt := time.Now()
	d, err := f.Watch(ctx, since, watchWait)
	if err != nil {
		return err
	}
	// The delta is dated by the request, not by its answer: a watch that begins after a gap is
	// answered at once with the changes missed in it, and an answer may wait in the socket
	// while this process is paused. Dated by the answer, gateways that were paused while the
	// target version changed would use the older version for too long.
	f.applyRead(d, requestedAt)
	if len(d.Records) > 0 {
		telemetry.Log("store_changed", "at", d.At, "since", since, "records", len(d.Records), "first", d.Records[0].Key)
		kernel.Sleep(ctx, changePause)
	}
	return nil
}

func (f *Follower) readSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	go f.cancelUnneeded(ctx, cancel)
	requestedAt := time.Now()
	d, err := f.ReadAll(ctx)
	if err != nil {
		return err
	}
	prev := f.Mirror.At()
	f.applyRead(d, requestedAt)
	n, key := f.Mirror.NotApplied(d)
	telemetry.Log("store_read", "at", d.At, "had", prev, "records", len(d.Records), "bytes", d.Bytes(), "passed_over", n, "such_as", key)
	return nil
}

// cancelOutdated cancels a watch once peers have sent a later era: the store sends nothing
// more on that watch.
func (f *Follower) cancelOutdated(ctx context.Context, cancel context.CancelFunc, since mirror.Position) {
	for {
		at, changed := f.Mirror.Watch()
		if at.Era() > since.Era() {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// cancelUnneeded cancels a read of all records once Needed reports that it is not needed, as when
// peers have sent them: all records are many bytes on a shared link.
func (f *Follower) cancelUnneeded(ctx context.Context, cancel context.CancelFunc) {
	for ; ctx.Err() == nil; kernel.Sleep(ctx, startPollInterval) {
		if f.Needed != nil && !f.Needed() {
			cancel()
		}
	}
}

// applyRead applies a delta read from the platform by a request sent at the given time.
func (f *Follower) applyRead(d mirror.Delta, requestedAt time.Time) {
	f.applyFromPlatform(f.withLowerBounds(d))
	f.MarkCurrent(time.Now())
	f.MarkComplete(requestedAt)
}

// RunChecks compares the mirror with the store's newest position at intervals, and reads all
// records if the watch missed a change. A process that watches checks at even intervals. The
// others learn from its announcements when the mirror was last up to date, and check by
// themselves once that is long ago. A process that finds a change forwards it to the others.
func (f *Follower) RunChecks(ctx context.Context) error {
	interval := f.CheckInterval
	if interval == 0 {
		interval = defaultCheckInterval
	}
	for ctx.Err() == nil {
		kernel.Sleep(ctx, interval/2-interval/16+rand.N(interval/8))
		if f.Mirror.At() > 0 && time.Since(f.CurrentAsOf()) >= f.checkAfter(interval) {
			f.check(ctx)
		}
	}
	return nil
}

// checkAfter returns how long after the mirror was last known to be up to date this process
// checks. The result of a check by a watching process reaches those on standby within some
// 0.4 s, and the others after a few announcements.
func (f *Follower) checkAfter(interval time.Duration) time.Duration {
	switch {
	case f.Watching():
		return interval / 2
	case f.Standby != nil && f.Standby():
		return interval + standbySlack
	}
	return otherChecks * interval
}

func (f *Follower) check(ctx context.Context) {
	requestedAt := time.Now()
	at, err := f.readNewest(ctx)
	if err != nil {
		// The watch may have stalled too. Other processes may take over watching meanwhile.
		f.setWatching(false)
		telemetry.Log("store_check_failed", "reason", fault.CodeOf(err), "at", f.Mirror.At(), "certain", time.Since(f.CurrentAsOf()))
		f.Event("store_check_failed", fault.CodeOf(err))
		return
	}
	prev := f.Mirror.At()
	switch {
	case at.Era() > prev.Era():
		f.waitForPeers(ctx, prev)
	case at > prev && f.Watching():
		kernel.Sleep(ctx, watchLag)
	}
	prev = f.Mirror.At()
	if at.Era() < prev.Era() {
		telemetry.Log("store_check_of_an_older_era", "had", prev, "newest", at)
		return // An older era proves nothing about the current one.
	}
	if at <= prev {
		f.MarkCurrent(time.Now())
		f.MarkComplete(requestedAt)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readAllTimeout) // A timeout separate from that of the check: the records may take long on a slow link.
	defer cancel()
	requestedAt = time.Now()
	d, err := f.ReadAll(ctx)
	telemetry.Log("store_watch_behind", "had", prev, "newest", at, "read", d.At, "reason", fault.CodeOf(err))
	if err == nil {
		f.applyRead(d, requestedAt)
	}
}

// readNewest calls Newest with a short timeout.
func (f *Follower) readNewest(ctx context.Context) (mirror.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, watchSlack)
	defer cancel()
	return f.Newest(ctx)
}
