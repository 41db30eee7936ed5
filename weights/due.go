package weights

import (
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/rendezvous"
)

// left records that a chunk has left the origin.
func (p *Plan) left(now time.Time, chunk int) {
	if p.have.Has(chunk) || p.leftUntil[chunk].After(now) {
		return
	}
	if p.leftUntil[chunk].IsZero() {
		p.moved(now)
	}
	p.leftUntil[chunk] = now.Add(max(leftLeast, leftChunks*p.ChunkTime))
	p.claims[chunk].until, p.dueAt[chunk] = time.Time{}, time.Time{}
	p.news.Seeded = append(p.news.Seeded, chunk)
}

// hasLeft reports whether a chunk is at some box: a neighbour offers it, or it was heard
// to have left the origin not so long ago that it should be here.
func (p *Plan) hasLeft(now time.Time, chunk int) bool {
	return p.leftUntil[chunk].After(now) || p.offered(now, chunk)
}

func (p *Plan) stagger() time.Duration { return orDefault(p.Stagger, defaultStagger) }

// perChunkAtOrigin is the time that one chunk takes on the origin's idle link.
func (p *Plan) perChunkAtOrigin() time.Duration {
	return p.OriginCopyTime / time.Duration(max(1, p.Chunks))
}

// atOnce is how many chunks may be leaving the origin at a time: enough for its link to
// be busy until all boxes know of one that has left, and no more, so that what is asked
// of it next does not wait long.
func (p *Plan) atOnce() int {
	n := originBeside
	if p.perChunkAtOrigin() > 0 {
		n += int(originLag / p.perChunkAtOrigin())
	}
	return n
}

// due returns the chunks that are to be claimed by somebody: the first ones that have
// not left the origin, as many as it may send at once.
func (p *Plan) due(now time.Time, wake *time.Time) []int {
	var out []int
	places := p.atOnce()
	passed := places // Chunks that hold up no other.
	before := p.dueTo
	p.dueTo = p.Chunks
	for i := range p.Chunks {
		if places == 0 {
			p.dueTo = i
			break
		}
		if p.have.Has(i) || p.hasLeft(now, i) {
			p.dueAt[i] = time.Time{}
			if !p.have.Has(i) && p.leftUntil[i].After(now) {
				earlier(wake, p.leftUntil[i])
			}
			continue
		}
		places--
		if c := p.claims[i]; len(p.fetching[i]) > 0 || c.until.After(now) && c.by != p.Self {
			p.dueAt[i] = time.Time{}
			if c.until.After(now) {
				earlier(wake, c.until)
			}
			continue
		}
		out = append(out, i)
		if p.origin.away {
			places++ // Nobody has a turn, and tries are for different chunks.
			continue
		}
		// A turn that passed while the chunk was not due, as others were, begins anew.
		if p.dueAt[i].IsZero() || i >= before && !p.turn[i].After(now) {
			p.dueAt[i] = times.Later(now, p.origin.backAt)
			p.turn[i] = p.dueAt[i].Add(p.wait(now, i))
		}
		if overdue := p.dueAt[i].Add(p.stagger()); overdue.After(now) {
			earlier(wake, overdue)
		} else if passed > 0 {
			passed--
			places++ // Boxes that do not answer have their turns.
		}
	}
	return out
}

// wait is how long this box leaves a chunk that has become due to those before it in the
// chunk's order: a stagger for each that has not let a turn pass of late. One that hears
// nothing cannot know what they do, and waits longer: it may be the one that is cut off.
func (p *Plan) wait(now time.Time, chunk int) time.Duration {
	each, n := p.stagger(), 0
	switch {
	case p.alone():
		each = p.grace()
	case p.quiet(now):
		each *= quietStaggers
	}
	for _, name := range p.ranked(chunk) {
		if name == p.Self {
			break
		}
		if p.alone() || !p.silent[name].After(now) {
			n++
		}
	}
	if p.AdaptiveParallel && p.ParallelFraction() <= slowEase {
		n += len(p.names) // Its link is slow: others first.
	}
	return time.Duration(n) * each
}

// alone reports whether this box has lost all of its neighbours.
func (p *Plan) alone() bool { return p.met && p.connected == 0 }

// quiet reports whether this box has heard nothing for longer than the origin's serving
// others, or they one another, leaves unsaid.
func (p *Plan) quiet(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) > quietAfter*p.stagger()+quietChunks*p.perChunkAtOrigin()
}

// slowEase is the part of its usual fetches at which a box no longer counts on getting a
// chunk in time: its link is slow.
const slowEase = 0.5

// ranked returns the boxes in the order of a chunk.
func (p *Plan) ranked(chunk int) []string {
	if r := p.ranks[chunk]; r != nil {
		return r
	}
	r := rendezvous.Rank(p.Strategy.OrderKey(chunk), p.names)
	if at := slices.Index(r, p.order.first[chunk]); at > 0 {
		r = slices.Insert(slices.Delete(r, at, at+1), 0, p.order.first[chunk])
	}
	p.ranks[chunk] = r
	return r
}

// passOver records that the boxes before one that claims a chunk have let their turns
// pass: they are not waited for again for a while.
func (p *Plan) passOver(now time.Time, chunk int, by string) {
	if p.dueAt[chunk].IsZero() {
		return
	}
	passed := int(now.Sub(p.dueAt[chunk]) / p.stagger())
	for _, name := range p.ranked(chunk) {
		if name == by || passed <= 0 {
			return
		}
		if !p.silent[name].After(now) {
			passed--
		}
		if name != p.Self && !p.busyAtOrigin(now, name) {
			p.silent[name] = now.Add(silentFor)
		}
	}
}

// busyAtOrigin reports whether a box is known to fetch some chunk from the origin.
func (p *Plan) busyAtOrigin(now time.Time, name string) bool {
	return slices.ContainsFunc(p.claims, func(c claim) bool { return c.by == name && c.until.After(now) })
}

// mayClaim reports whether this box is to fetch a chunk that is due.
func (p *Plan) mayClaim(now time.Time, chunk int, wake *time.Time) bool {
	if p.origin.leaveTil.After(now) {
		earlier(wake, p.origin.leaveTil)
		return false
	}
	if p.origin.away {
		// Whoever's time has come tries, with whatever is due.
		if p.origin.tryAt.After(now) {
			earlier(wake, p.origin.tryAt)
			return false
		}
		return p.atOrigin == 0
	}
	if p.claims[chunk].until.After(now) {
		return true // Its own, of which the last answer was spoilt.
	}
	turn := p.turn[chunk]
	if p.alone() || p.quiet(now) {
		turn = times.Later(turn, p.dueAt[chunk].Add(p.wait(now, chunk)))
	}
	if turn.After(now) {
		earlier(wake, turn)
		return false
	}
	return true
}

// fetchDue begins a fetch from the origin and claims the chunk.
func (p *Plan) fetchDue(now time.Time, chunk int) Action {
	p.asked++
	if p.turn[chunk].Sub(p.dueAt[chunk]) > 0 && !p.origin.away {
		p.passOver(now, chunk, p.Self)
		p.takeovers++
	}
	p.dueAt[chunk] = time.Time{}
	if p.origin.away {
		p.origin.tryAt = now.Add(p.probeWait()) // Nobody is told of a mere try.
	} else {
		p.claim(now, chunk, false)
	}
	return p.begin(now, Action{Chunk: chunk, From: Origin})
}
