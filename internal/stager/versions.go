package stager

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
)

// versions holds the transfers of a model: of the newest published version, and of older
// ones that have not expired. An older version may be complete while the newest cannot be
// downloaded in time, and is better than none. It is used by the loader only.
type versions struct {
	newest        *versionTransfer
	older         []*versionTransfer // The oldest first; each has its manifest, or is fetched from other boxes only.
	lastOrdered   uint64             // The version that the replica was last ordered to load.
	originVersion uint64             // The version that is fetched from the origin.
	// unsent is the number of chunks of the newest version that the origin had not sent yet
	// when it last changed, at progressAt.
	unsent     int
	progressAt time.Time
}

// Times for versions that overlap.
const (
	// minUse is how long a version must remain usable to be worth loading it.
	minUse = 1500 * time.Millisecond
	// swarmLag is the time from when the last chunk has left the origin until all boxes
	// have it.
	swarmLag = time.Second
	// originSlack is the ratio of the time that the origin takes to send a copy to the time
	// that its link needs for it.
	originSlack = 1.25
	// stalledAfter is how long a version may make no progress at the origin until it is
	// assumed to be late: the origin is down or unreachable.
	stalledAfter = time.Second
)

// candidate is a version that the replica may load, with its progress and time limits.
type candidate struct {
	version       uint64
	complete      bool          // All chunks are on the box.
	completeAt    time.Time     // When the last chunk arrived; zero before.
	completeBy    time.Time     // When it is expected to be complete; zero if not known.
	stalled       bool          // The origin has sent no chunk of it for stalledAfter.
	usableUntil   time.Time     // When replicas should have changed from it; zero for the newest.
	unsent        int           // Chunks that the origin has not sent yet; -1 if not known.
	chunks        int           // Total number of chunks; 0 if not known.
	previousUntil time.Time     // When replicas should have changed from the version before it.
	perChunk      time.Duration // Time that the origin's link needs for one chunk.
}

// updateTransfers starts the transfer of the assigned version, and ends those of versions
// that are no longer useful.
func (s *Stager) updateTransfers(ctx context.Context, vs *versions, a *peers.Assignment, target catalog.Target) {
	now := time.Now()
	if vs.newest == nil || vs.newest.model != a.Model || vs.newest.version != a.Version {
		if old := vs.newest; old != nil {
			vs.older = append(vs.older, old)
		}
		vs.newest = s.startTransfer(ctx, a, target.SupersededAt(a.Version-1))
	}
	if v := s.stopgap(vs, a, target, now); v != 0 {
		vs.older = append([]*versionTransfer{s.startPeerTransfer(ctx, a, v, target.SupersededAt(v-1))}, vs.older...)
	}
	vs.older = slices.DeleteFunc(vs.older, func(r *versionTransfer) bool {
		keep := r.model == a.Model && (r.peersOnly || r.Manifest() != nil) && s.usableUntil(target, r.version).Sub(now) >= minUse
		if !keep {
			s.endTransfer(r)
		}
		return !keep
	})
}

// stopgap returns the older version that an empty replica should load from other boxes
// until the newest can be downloaded: one that other replicas serve and that remains usable
// for long enough. It returns 0 if there is none, or if a transfer of one is in progress.
// Without it a replica that joins while the origin is down would be idle until the newest
// version is complete.
func (s *Stager) stopgap(vs *versions, a *peers.Assignment, target catalog.Target, now time.Time) uint64 {
	rep, ok := s.status.report()
	if !ok || rep.Version != 0 || rep.OrderPending || len(vs.older) > 0 || vs.newest.isComplete() {
		return 0
	}
	v := mostHeld(a)
	if v == 0 {
		return 0
	}
	copyTime := time.Duration(firstCopyFactor * float64(a.VersionBytes) / s.linkRate() * float64(time.Second))
	if s.usableUntil(target, v).Sub(now) < copyTime+minUse {
		return 0
	}
	return v
}

// mostHeld returns the older version that the most replicas hold, or 0 if there is none.
// It is a pure function.
func mostHeld(a *peers.Assignment) uint64 {
	n := map[uint64]int{}
	best := uint64(0)
	for _, r := range a.Replicas {
		if r.Leaving || r.Version == 0 || r.Version >= a.Version {
			continue
		}
		n[r.Version]++
		if n[r.Version] > n[best] || n[r.Version] == n[best] && r.Version > best {
			best = r.Version
		}
	}
	return best
}

// endTransfer cancels a transfer and unpins its chunks.
func (s *Stager) endTransfer(r *versionTransfer) {
	telemetry.Log("transfer_ended", "artifact", r.Artifact)
	r.cancel()
	s.exchange.Store.Unpin(r.Artifact)
}

// usableUntil returns when replicas should have changed from a version; zero for the
// newest.
func (s *Stager) usableUntil(target catalog.Target, version uint64) time.Time {
	t := target.SupersededAt(version)
	if t.IsZero() {
		return t
	}
	return t.Add(s.bounds.Load().VersionWithin - rollMargin)
}

// candidates returns the versions that the replica may load, the oldest first.
func (s *Stager) candidates(vs *versions, a *peers.Assignment, target catalog.Target, now time.Time) []candidate {
	var out []candidate
	for _, r := range vs.all() {
		c := candidate{
			version: r.version, complete: r.isComplete(), completeAt: r.CompletedAt(), completeBy: r.CompleteBy(now), usableUntil: s.usableUntil(target, r.version),
			unsent: r.Unseeded(now), previousUntil: s.usableUntil(target, r.version-1),
		}
		if r.peersOnly {
			c.unsent = 0
		}
		c.chunks, _ = r.Progress()
		if c.chunks > 0 && a.OriginRate > 0 {
			c.perChunk = time.Duration(float64(a.VersionBytes) / a.OriginRate / float64(c.chunks) * float64(time.Second))
		}
		out = append(out, c)
	}
	return out
}

// isComplete reports whether every chunk is on the box.
func (r *versionTransfer) isComplete() bool {
	select {
	case <-r.Complete():
		return true
	default:
		return false
	}
}

// allotOrigin lets one transfer fetch from the origin, and makes the others yield.
func (vs *versions) allotOrigin(now time.Time, cs []candidate) {
	first := originFirst(now, cs)
	if first != vs.originVersion {
		vs.originVersion = first
		logOriginFirst(now, first, cs)
	}
	for _, r := range vs.all() {
		r.SetYieldOrigin(r.peersOnly || r.version != first)
	}
	newest := &cs[len(cs)-1]
	if first != newest.version || newest.unsent != vs.unsent {
		vs.unsent, vs.progressAt = newest.unsent, now
	}
	newest.stalled = newest.unsent != 0 && now.Sub(vs.progressAt) >= stalledAfter
}

// logOriginFirst logs which version is fetched from the origin from now on, and for each
// version the chunks that the origin has not sent and how long it remains usable.
func logOriginFirst(now time.Time, first uint64, cs []candidate) {
	var known []string
	for _, c := range cs {
		left := "newest"
		if !c.usableUntil.IsZero() {
			left = c.usableUntil.Sub(now).Round(time.Millisecond).String()
		}
		known = append(known, fmt.Sprintf("%d:%d:%s", c.version, c.unsent, left))
	}
	telemetry.Log("origin_first", "version", first, "known", strings.Join(known, ","))
}

// originFirst returns the version whose chunks the origin should send first: the newest,
// unless fetching an older one first shortens the time without service, or both will be
// complete before the version that replicas hold expires, so that the older one is
// available if the origin fails. It is a pure function. cs must not be empty; its last
// element is the newest.
func originFirst(now time.Time, cs []candidate) uint64 {
	newest := cs[len(cs)-1]
	var old candidate
	for _, c := range cs[:len(cs)-1] {
		if c.unsent > 0 && c.usableUntil.Sub(now) >= minUse+c.distributionTime() && (old.version == 0 || c.unsent < old.unsent) {
			old = c
		}
	}
	if old.version == 0 || old.previousUntil.IsZero() {
		return newest.version
	}
	newest.assumeSizeOf(old)
	oldAt, newAt, lastAt := now.Add(old.distributionTime()), now.Add(newest.distributionTime()), now.Add(old.originTime()+newest.distributionTime())
	without := lateBy(newAt, old.previousUntil)
	with := lateBy(oldAt, old.previousUntil) + lateBy(lastAt, old.usableUntil)
	bothInTime := !now.Add(old.distributionTime() + newest.distributionTime()).After(old.previousUntil)
	if with < without || with == without && bothInTime {
		return old.version
	}
	return newest.version
}

// lateBy returns how long replicas have no usable version: from until, when theirs expires,
// to when the next one is complete.
func lateBy(completeAt, until time.Time) time.Duration { return max(0, completeAt.Sub(until)) }

// distributionTime returns how long it takes until all boxes have the version, if the
// origin sends nothing else.
func (c *candidate) distributionTime() time.Duration { return swarmLag + c.originTime() }

// originTime returns how long the origin needs to send the remaining chunks.
func (c *candidate) originTime() time.Duration {
	return time.Duration(originSlack * float64(max(0, c.unsent)) * float64(c.perChunk))
}

// assumeSizeOf assumes that a version without a manifest is as large as another.
func (c *candidate) assumeSizeOf(o candidate) {
	if c.perChunk == 0 {
		c.perChunk, c.unsent = o.perChunk, o.chunks
	}
}

// nextVersion returns the version that a replica should load next, given the one that it
// holds and until when that is usable: the newest, unless that will be late and an older
// one is complete. It is a pure function. cs must not be empty; its last element is the
// newest.
func nextVersion(now time.Time, cs []candidate, held uint64, heldUntil time.Time) candidate {
	newest := cs[len(cs)-1]
	if newest.complete {
		return newest
	}
	deadline := heldUntil
	if held == 0 {
		deadline = now.Add(minUse)
	}
	newest.assumeSizeOf(cs[0])
	expected := newest.completeBy
	if expected.IsZero() {
		expected = now.Add(newest.distributionTime())
	}
	if !newest.stalled && !expected.After(deadline) {
		return newest
	}
	for _, c := range slices.Backward(cs[:len(cs)-1]) {
		if c.complete && c.version > held && c.usableUntil.Sub(now) >= minUse {
			return c
		}
	}
	return newest
}

// all returns all transfers, the newest last.
func (vs *versions) all() []*versionTransfer { return append(slices.Clone(vs.older), vs.newest) }

// find returns the transfer of a version.
func (vs *versions) find(version uint64) *versionTransfer {
	for _, r := range vs.older {
		if r.version == version {
			return r
		}
	}
	return vs.newest
}
