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

// versions are the transfers of a model: of the newest version that was named, and
// of those before it whose time is not over. An older one may be here while the
// newest cannot be had in time, and is better than none. Only the loader uses it.
type versions struct {
	newest  *running
	older   []*running // The oldest first; each has its manifest, or comes from others.
	ordered uint64     // The version that the replica was last ordered to take.
	first   uint64     // The version that uses the origin.
	// left is how many chunks of the newest had yet to leave the origin when that last
	// became less, at movedAt.
	left    int
	movedAt time.Time
}

// Times of overlapping versions.
const (
	// leastUse is for how long a version must serve to be worth a replica's change.
	leastUse = 1500 * time.Millisecond
	// swarmLag is how long after the last chunk has left the origin all boxes have it.
	swarmLag = time.Second
	// originSlack is how much longer than the origin's link needs a copy takes.
	originSlack = 1.25
	// stalledAfter is for how long no chunk of a version leaves the origin until the
	// version is taken to be late: the origin is away, or cannot be reached.
	stalledAfter = time.Second
)

// candidate is a version that a replica may take, as far as the box knows.
type candidate struct {
	version   uint64
	whole     bool          // It is here,
	wholeAt   time.Time     // since then; zero while it is not.
	wholeBy   time.Time     // When it may be; zero while that is not known.
	stalled   bool          // Nothing of it has left the origin for a while.
	until     time.Time     // When requests may no longer begin on it; zero for the newest.
	unoffered int           // Chunks that have yet to leave the origin; -1 if not known.
	chunks    int           // Of the whole; 0 if not known.
	before    time.Time     // When requests may no longer begin on the version before it.
	perChunk  time.Duration // The origin's link carries one chunk in it.
}

// follow starts the transfer of what is assigned, and ends those of versions that
// are of no use any more.
func (s *Stager) follow(ctx context.Context, vs *versions, a *peers.Assignment, wanted catalog.Target) {
	now := time.Now()
	if vs.newest == nil || vs.newest.model != a.Model || vs.newest.version != a.Version {
		if old := vs.newest; old != nil {
			vs.older = append(vs.older, old)
		}
		vs.newest = s.transfer(ctx, a, wanted.SupersededAt(a.Version-1))
	}
	if v := s.stopgap(vs, a, wanted, now); v != 0 {
		vs.older = append([]*running{s.transferFromOthers(ctx, a, v, wanted.SupersededAt(v-1))}, vs.older...)
	}
	vs.older = slices.DeleteFunc(vs.older, func(r *running) bool {
		keeps := r.model == a.Model && (r.fromOthers || r.Manifest() != nil) && s.until(wanted, r.version).Sub(now) >= leastUse
		if !keeps {
			s.drop(r)
		}
		return !keeps
	})
}

// stopgap returns the version that an empty replica should be given from other boxes
// while the newest cannot be had: what others serve with for long enough yet. It returns 0
// if there is none, or the transfer is under way. A replica that comes while the origin
// is away would else stand idle until the newest is here.
func (s *Stager) stopgap(vs *versions, a *peers.Assignment, wanted catalog.Target, now time.Time) uint64 {
	rep, ok := s.status.report()
	if !ok || rep.Version != 0 || rep.OrderPending || len(vs.older) > 0 || vs.newest.whole() {
		return 0
	}
	v := mostHeld(a)
	if v == 0 {
		return 0
	}
	copyIn := time.Duration(spreadLinks * float64(a.VersionBytes) / s.linkRate() * float64(time.Second))
	if s.until(wanted, v).Sub(now) < copyIn+leastUse {
		return 0
	}
	return v
}

// mostHeld returns the version older than the newest that most replicas hold; 0 if none
// does. It is pure.
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

// drop ends a transfer, and lets go of its chunks.
func (s *Stager) drop(r *running) {
	telemetry.Log("transfer_ended", "artifact", r.Artifact)
	r.cancel()
	s.exchange.Store.Unpin(r.Artifact)
}

// until is when replicas should no longer hold a version; zero if it is the newest.
func (s *Stager) until(wanted catalog.Target, version uint64) time.Time {
	t := wanted.SupersededAt(version)
	if t.IsZero() {
		return t
	}
	return t.Add(s.bounds.Load().VersionWithin - rollMargin)
}

// candidates returns what the replica may take, the oldest first.
func (s *Stager) candidates(vs *versions, a *peers.Assignment, wanted catalog.Target, now time.Time) []candidate {
	var out []candidate
	for _, r := range vs.all() {
		c := candidate{
			version: r.version, whole: r.whole(), wholeAt: r.CompletedAt(), wholeBy: r.CompleteBy(now), until: s.until(wanted, r.version),
			unoffered: r.Unseeded(now), before: s.until(wanted, r.version-1),
		}
		if r.fromOthers {
			c.unoffered = 0
		}
		c.chunks, _ = r.Progress()
		if c.chunks > 0 && a.OriginRate > 0 {
			c.perChunk = time.Duration(float64(a.VersionBytes) / a.OriginRate / float64(c.chunks) * float64(time.Second))
		}
		out = append(out, c)
	}
	return out
}

// whole reports whether every chunk is here.
func (r *running) whole() bool {
	select {
	case <-r.Complete():
		return true
	default:
		return false
	}
}

// shareOrigin lets one transfer use the origin, and has the others leave it alone.
func (vs *versions) shareOrigin(now time.Time, cs []candidate) {
	first := originFirst(now, cs)
	if first != vs.first {
		vs.first = first
		logFirst(now, first, cs)
	}
	for _, r := range vs.all() {
		r.SetYieldOrigin(r.fromOthers || r.version != first)
	}
	newest := &cs[len(cs)-1]
	if first != newest.version || newest.unoffered != vs.left {
		vs.left, vs.movedAt = newest.unoffered, now
	}
	newest.stalled = newest.unoffered != 0 && now.Sub(vs.movedAt) >= stalledAfter
}

// logFirst writes which version uses the origin from now on, and what of each is known:
// chunks that have yet to leave it, and for how long it may be used.
func logFirst(now time.Time, first uint64, cs []candidate) {
	var known []string
	for _, c := range cs {
		left := "newest"
		if !c.until.IsZero() {
			left = c.until.Sub(now).Round(time.Millisecond).String()
		}
		known = append(known, fmt.Sprintf("%d:%d:%s", c.version, c.unoffered, left))
	}
	telemetry.Log("origin_first", "version", first, "known", strings.Join(known, ","))
}

// originFirst says which version's chunks leave the origin first: the newest, unless
// service stands still for less long if an older one goes first, or both will be here
// before the version that replicas hold is over: the older one is then at hand if the
// origin goes away. It is pure. cs is not empty, and the newest is the last.
func originFirst(now time.Time, cs []candidate) uint64 {
	newest := cs[len(cs)-1]
	var old candidate
	for _, c := range cs[:len(cs)-1] {
		if c.unoffered > 0 && c.until.Sub(now) >= leastUse+c.takes() && (old.version == 0 || c.unoffered < old.unoffered) {
			old = c
		}
	}
	if old.version == 0 || old.before.IsZero() {
		return newest.version
	}
	newest.assumes(old)
	oldAt, newAt, lastAt := now.Add(old.takes()), now.Add(newest.takes()), now.Add(old.sends()+newest.takes())
	without := lateBy(newAt, old.before)
	with := lateBy(oldAt, old.before) + lateBy(lastAt, old.until)
	both := !now.Add(old.takes() + newest.takes()).After(old.before)
	if with < without || with == without && both {
		return old.version
	}
	return newest.version
}

// lateBy is for how long replicas that have nothing after a time have to wait.
func lateBy(whole, until time.Time) time.Duration { return max(0, whole.Sub(until)) }

// takes is how long a version needs until it is whole everywhere, if the origin sends
// nothing else.
func (c *candidate) takes() time.Duration { return swarmLag + c.sends() }

// sends is how long the origin needs for what it has not sent of a version.
func (c *candidate) sends() time.Duration {
	return time.Duration(originSlack * float64(max(0, c.unoffered)) * float64(c.perChunk))
}

// assumes takes a version of which there is no manifest to be as large as another.
func (c *candidate) assumes(o candidate) {
	if c.perChunk == 0 {
		c.perChunk, c.unoffered = o.perChunk, o.chunks
	}
}

// next says which version a replica takes next, which holds another one until
// heldUntil: the newest, unless an older one is here and the newest will be late. It
// is pure. cs is not empty, and the newest is the last.
func next(now time.Time, cs []candidate, held uint64, heldUntil time.Time) candidate {
	newest := cs[len(cs)-1]
	if newest.whole {
		return newest
	}
	late := heldUntil
	if held == 0 {
		late = now.Add(leastUse)
	}
	newest.assumes(cs[0])
	by := newest.wholeBy
	if by.IsZero() {
		by = now.Add(newest.takes())
	}
	if !newest.stalled && !by.After(late) {
		return newest
	}
	for _, c := range slices.Backward(cs[:len(cs)-1]) {
		if c.whole && c.version > held && c.until.Sub(now) >= leastUse {
			return c
		}
	}
	return newest
}

// all returns every transfer, the newest last.
func (vs *versions) all() []*running { return append(slices.Clone(vs.older), vs.newest) }

// find returns the transfer of a version.
func (vs *versions) find(version uint64) *running {
	for _, r := range vs.older {
		if r.version == version {
			return r
		}
	}
	return vs.newest
}
