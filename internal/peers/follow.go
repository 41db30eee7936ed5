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

// Follower keeps a mirror up to date from the platform's service. Set the
// exported fields before Run.
type Follower struct {
	Mirror *mirror.Mirror
	// ReadAll reads all records; Watch waits for changes after a revision.
	ReadAll func(ctx context.Context) (mirror.Delta, error)
	Watch   func(ctx context.Context, since mirror.Position, wait time.Duration) (mirror.Delta, error)
	// Newest reads the position of the service's newest change: a watch may hear nothing while
	// changes are made.
	Newest func(ctx context.Context) (mirror.Position, error)
	// CheckInterval is the time between two checks by one that watches; 250 ms by default.
	CheckInterval time.Duration
	Event         func(name string, c fault.Code)
	// MaxAssumedAge is how long ago a change is taken to have been made, at the most, that is only
	// found out now, where nothing proves that it is younger.
	MaxAssumedAge time.Duration
	// Needed, if set, holds while the platform should be read; a follower that
	// is not needed looks again after a while.
	Needed func() bool

	// ReadDelay, if set, returns for how long this process waits for others to tell it before it reads
	// all records, where its place in the changes is lost.
	ReadDelay func() time.Duration

	// Standby, if set, reports whether this process is one of those that would watch if
	// the one that does were lost: they miss it soonest.
	Standby func() bool

	mu       sync.Mutex
	certain  time.Time // When the mirror was last known to be the newest.
	complete time.Time // Nothing that was made before it is lacking in the mirror.
	watching bool
	tookAt   mirror.Position // The newest revision that this process has from the platform itself.
}

// MarkCurrent records that the mirror was the newest at a time, by what was heard. What was heard
// may have been on its way for a while: this is a hint of when to look again, and nothing is
// dated by it.
func (f *Follower) MarkCurrent(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.certain) {
		f.certain = at
	}
}

// CurrentAsOf is when the mirror was last known to be the newest.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.certain
}

// MarkComplete records that nothing that was made before a time is lacking in the mirror: this
// process asked then or later, and what the answer told is here.
func (f *Follower) MarkComplete(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = times.Later(f.complete, before)
}

// CompleteAsOf is the time before which nothing was made that the mirror lacks.
func (f *Follower) CompleteAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete
}

// Watching reports whether the platform is being watched, as far as this process
// can tell: nothing has failed since.
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

// PlatformPosition returns the newest revision that this process has from the platform itself, or is
// about to have.
func (f *Follower) PlatformPosition() mirror.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tookAt
}

// apply takes what came from the platform.
func (f *Follower) apply(d mirror.Delta) {
	f.mu.Lock()
	f.tookAt = max(f.tookAt, d.At) // Before it is applied: that wakes the one who passes it on.
	f.mu.Unlock()
	f.Mirror.Apply(d)
}

// dated returns a delta with the times before which nothing in it was made that the mirror
// lacks: as is proved, and as far as this process doubts.
func (f *Follower) dated(d mirror.Delta) mirror.Delta {
	d.NotBefore, d.AssumedNotBefore = f.CompleteAsOf(), time.Now().Add(-f.MaxAssumedAge)
	return d
}

// settledIn is how long a process that has started, or has been cut off, may still use a
// version that was overtaken it does not know when.
const settledIn = 2500 * time.Millisecond

// MaxAssumedAgeFor is the Doubt of a process that may use a version for a while after it was
// overtaken.
func MaxAssumedAgeFor(versionWithin time.Duration) time.Duration {
	return max(0, versionWithin-settledIn)
}

// Waits of a Follower.
const (
	watchWait  = 20 * time.Second
	watchSlack = 2 * time.Second // For the answer to a watch that nothing ended.
	wholeIn    = 5 * time.Second
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	idleLook   = 250 * time.Millisecond // While the platform need not be read,
	startLook  = 20 * time.Millisecond  // and while nothing is known at all.
	checkEvery = 250 * time.Millisecond // The default of CheckEvery.
	checkLag   = 300 * time.Millisecond // The process's own watch tells of a change by then.
	// standbySlack is how much longer than the interval of checks those on standby wait
	// for word of one, and otherChecks for how many of them the others do.
	standbySlack = 400 * time.Millisecond
	otherChecks  = 4
	watchHolds   = time.Second            // A watch that was not refused by then is taken as answered.
	watchPause   = 150 * time.Millisecond // After changes, so that many at once cost few calls.
)

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	r := reading{wait: retryFirst}
	for ctx.Err() == nil {
		if f.Needed != nil && !f.Needed() {
			f.idle(ctx)
			continue
		}
		had := f.Mirror.At()
		r.whole = r.whole && had == r.gone // Else others have told.
		err := f.attempt(ctx, &r)
		switch {
		case err == nil:
			r.answered(f.Mirror.At())
		case ctx.Err() != nil:
			return nil
		case f.Needed != nil && !f.Needed(), f.Mirror.At().Era() > had.Era():
			// It was ended since others have told, or nothing is wanted of it now.
		default:
			f.failed(ctx, &r, err, had)
		}
	}
	return nil
}

// reading is how it stands with a Follower's reads.
type reading struct {
	wait   time.Duration   // After the next failure.
	lost   bool            // The last read failed.
	whole  bool            // The next one is of all records,
	gone   mirror.Position // since the service does not tell what followed this.
	rushed bool            // A whole was read without a pause, and no watch was answered since.
}

// answered takes note of a read that was answered.
func (r *reading) answered(at mirror.Position) {
	if r.lost {
		telemetry.Log("store_regained", "at", at)
	}
	if !r.whole {
		r.wait, r.rushed = retryFirst, false
	}
	r.lost, r.whole = false, false
}

// idle waits while the platform need not be read.
func (f *Follower) idle(ctx context.Context) {
	f.setWatching(false)
	look := idleLook
	if f.Mirror.At() == 0 {
		look = startLook
	}
	kernel.Sleep(ctx, look)
}

// attempt reads once, and keeps what others are told of that up to date.
func (f *Follower) attempt(ctx context.Context, r *reading) error {
	if !r.lost {
		f.setWatching(true)
	}
	answered := time.AfterFunc(watchHolds, func() { f.setWatching(true) })
	err := f.once(ctx, r.whole)
	answered.Stop()
	f.setWatching(err == nil)
	return err
}

// failed takes note of a read after a position that failed, and waits until the next one.
func (f *Follower) failed(ctx context.Context, r *reading, err error, had mirror.Position) {
	if !r.lost {
		telemetry.Log("store_lost", "reason", fault.CodeOf(err), "at", f.Mirror.At(), "detail", err.Error())
	}
	r.lost = true
	if f.Event != nil {
		f.Event("store_failed", fault.CodeOf(err))
	}
	if fault.Is(err, fault.HistoryGone) {
		r.whole, r.gone = !f.told(ctx, had), had
		if !r.rushed {
			r.rushed = true
			return
		}
	}
	kernel.Sleep(ctx, r.wait/2+rand.N(r.wait))
	r.wait = min(2*r.wait, retryMost)
}

// told waits while it is others' turn to read all records, and reports whether they have told
// of what followed a position.
func (f *Follower) told(ctx context.Context, had mirror.Position) bool {
	if f.ReadDelay == nil {
		return false
	}
	until := time.Now().Add(f.ReadDelay())
	for ctx.Err() == nil && f.Mirror.At() == had && time.Now().Before(until) {
		kernel.Sleep(ctx, startLook)
	}
	return f.Mirror.At() > had
}

// once reads once: all records while the mirror is empty or its place in the
// changes was lost, and else what changes next.
func (f *Follower) once(ctx context.Context, whole bool) error {
	if whole || f.Mirror.At() == 0 {
		return f.readAll(ctx)
	}
	since := f.Mirror.At()
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	go f.cancelOutdated(ctx, cancel, since)
	asked := time.Now()
	d, err := f.Watch(ctx, since, watchWait)
	if err != nil {
		return err
	}
	// Not of now: a watch that begins after a gap is told at once what was missed in it,
	// and an answer may have lain in the socket while this process stood still. Dated now,
	// gateways that stood still over a naming would use the older version too long.
	f.take(d, asked)
	if len(d.Records) > 0 {
		telemetry.Log("store_changed", "at", d.At, "since", since, "records", len(d.Records), "first", d.Records[0].Key)
		kernel.Sleep(ctx, watchPause)
	}
	return nil
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, wholeIn)
	defer cancel()
	go f.cancelUnneeded(ctx, cancel)
	asked := time.Now()
	d, err := f.ReadAll(ctx)
	if err != nil {
		return err
	}
	had := f.Mirror.At()
	f.take(d, asked)
	over, key := f.Mirror.NotApplied(d)
	telemetry.Log("store_read", "at", d.At, "had", had, "records", len(d.Records), "bytes", d.Bytes(), "passed_over", over, "such_as", key)
	return nil
}

// cancelOutdated ends a watch when others have told of a later era: the service tells nothing
// more on it.
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

// cancelUnneeded ends a read of all records when somebody has told of them meanwhile:
// they are many bytes on a link that others share.
func (f *Follower) cancelUnneeded(ctx context.Context, cancel context.CancelFunc) {
	for ; ctx.Err() == nil; kernel.Sleep(ctx, startLook) {
		if f.Needed != nil && !f.Needed() {
			cancel()
		}
	}
}

// take applies what was read rather than told, as asked for at a time.
func (f *Follower) take(d mirror.Delta, asked time.Time) {
	f.apply(f.dated(d))
	f.MarkCurrent(time.Now())
	f.MarkComplete(asked)
}

// RunChecks compares the mirror with the service's newest revision now and then, and
// reads all records where the watch did not tell. A process that watches does so at even
// intervals; the others hear from it how lately the mirror was the newest, and check for
// themselves when that is long ago. Whoever finds something tells the others.
func (f *Follower) RunChecks(ctx context.Context) error {
	every := f.CheckInterval
	if every == 0 {
		every = checkEvery
	}
	for ctx.Err() == nil {
		kernel.Sleep(ctx, every/2-every/16+rand.N(every/8))
		if f.Mirror.At() > 0 && time.Since(f.CurrentAsOf()) >= f.uncheckedFor(every) {
			f.check(ctx)
		}
	}
	return nil
}

// uncheckedFor is how long ago the mirror was last known to be the newest when this
// process checks. Word of a check of one that watches comes to those on standby within
// some 0.4 s, and takes some announcements on its way to the others.
func (f *Follower) uncheckedFor(every time.Duration) time.Duration {
	switch {
	case f.Watching():
		return every / 2
	case f.Standby != nil && f.Standby():
		return every + standbySlack
	}
	return otherChecks * every
}

func (f *Follower) check(ctx context.Context) {
	asked := time.Now()
	at, err := f.newest(ctx)
	if err != nil {
		// The watch may hear nothing either. Others are not kept from watching by it.
		f.setWatching(false)
		telemetry.Log("store_check_failed", "reason", fault.CodeOf(err), "at", f.Mirror.At(), "certain", time.Since(f.CurrentAsOf()))
		f.Event("store_check_failed", fault.CodeOf(err))
		return
	}
	had := f.Mirror.At()
	switch {
	case at.Era() > had.Era():
		f.told(ctx, had)
	case at > had && f.Watching():
		kernel.Sleep(ctx, checkLag)
	}
	had = f.Mirror.At()
	if at.Era() < had.Era() {
		telemetry.Log("store_check_of_an_older_era", "had", had, "newest", at)
		return // It proves nothing of this one.
	}
	if at <= had {
		f.MarkCurrent(time.Now())
		f.MarkComplete(asked)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wholeIn) // Of its own: records are many on a slow link.
	defer cancel()
	asked = time.Now()
	d, err := f.ReadAll(ctx)
	telemetry.Log("store_watch_behind", "had", had, "newest", at, "read", d.At, "reason", fault.CodeOf(err))
	if err == nil {
		f.take(d, asked)
	}
}

// newest is Newest, not waited for long.
func (f *Follower) newest(ctx context.Context) (mirror.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, watchSlack)
	defer cancel()
	return f.Newest(ctx)
}
