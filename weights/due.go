package weights

import (
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/rendezvous"
)

// markSeeded records that a chunk has left the origin.
func (p *Plan) markSeeded(now time.Time, chunk int) {
	if p.have.Has(chunk) || p.seededUntil[chunk].After(now) {
		return
	}
	if p.seededUntil[chunk].IsZero() {
		p.originServed(now)
	}
	p.seededUntil[chunk] = now.Add(max(minSeededWait, seededWaitChunks*p.ChunkTime))
	p.claims[chunk].expiresAt, p.dueSince[chunk] = time.Time{}, time.Time{}
	p.gossip.Seeded = append(p.gossip.Seeded, chunk)
}

// isSeeded reports whether some box has a chunk: a neighbour has it, or gossip reported it
// recently enough that it should still arrive from a peer.
func (p *Plan) isSeeded(now time.Time, chunk int) bool {
	return p.seededUntil[chunk].After(now) || p.hasHolder(now, chunk)
}

func (p *Plan) stagger() time.Duration { return orDefault(p.Stagger, defaultStagger) }

// perChunkAtOrigin returns the transfer time of a chunk on the origin's idle link.
func (p *Plan) perChunkAtOrigin() time.Duration {
	return p.OriginCopyTime / time.Duration(max(1, p.Chunks))
}

// maxDue returns how many chunks may leave the origin at the same time: enough to keep its
// link busy until all boxes have learnt that one of them has left, and no more, so that later
// requests are not queued for long.
func (p *Plan) maxDue() int {
	n := extraOriginChunks
	if p.perChunkAtOrigin() > 0 {
		n += int(originLag / p.perChunkAtOrigin())
	}
	return n
}

// due returns the chunks to be claimed by some box: the first maxDue chunks that have not left
// the origin.
func (p *Plan) due(now time.Time, wake *time.Time) []int {
	var out []int
	slots := p.maxDue()
	overdueLimit := slots // Overdue chunks that may be added to the due ones without blocking others.
	prevEnd := p.dueEnd
	p.dueEnd = p.Chunks
	for i := range p.Chunks {
		if slots == 0 {
			p.dueEnd = i
			break
		}
		if p.have.Has(i) || p.isSeeded(now, i) {
			p.dueSince[i] = time.Time{}
			if !p.have.Has(i) && p.seededUntil[i].After(now) {
				setEarlier(wake, p.seededUntil[i])
			}
			continue
		}
		slots--
		if c := p.claims[i]; len(p.fetching[i]) > 0 || c.expiresAt.After(now) && c.owner != p.Self {
			p.dueSince[i] = time.Time{}
			if c.expiresAt.After(now) {
				setEarlier(wake, c.expiresAt)
			}
			continue
		}
		out = append(out, i)
		if p.origin.down {
			slots++ // There are no turns while the origin is down, and boxes probe with different chunks.
			continue
		}
		// A turn that passed while the chunk was not due, because other chunks were, restarts.
		if p.dueSince[i].IsZero() || i >= prevEnd && !p.turnAt[i].After(now) {
			p.dueSince[i] = times.Later(now, p.origin.turnsFrom)
			p.turnAt[i] = p.dueSince[i].Add(p.turnDelay(now, i))
		}
		if overdue := p.dueSince[i].Add(p.stagger()); overdue.After(now) {
			setEarlier(wake, overdue)
		} else if overdueLimit > 0 {
			overdueLimit--
			slots++ // The box ranked first has missed its turn; the chunk must not hold up others.
		}
	}
	return out
}

// turnDelay returns how long after a chunk becomes due this box waits for the boxes ranked
// before it: one stagger for each box that has not missed a turn recently. A box that receives
// nothing cannot observe the others and waits longer, because it may be the one that is cut
// off.
func (p *Plan) turnDelay(now time.Time, chunk int) time.Duration {
	each, n := p.stagger(), 0
	switch {
	case p.isolated():
		each = p.grace()
	case p.quiet(now):
		each *= quietStaggerFactor
	}
	for _, name := range p.ranked(chunk) {
		if name == p.Self {
			break
		}
		if p.isolated() || !p.skipUntil[name].After(now) {
			n++
		}
	}
	if p.AdaptiveParallel && p.ParallelFraction() <= slowFraction {
		n += len(p.members) // The link of this box is slow: other boxes go first.
	}
	return time.Duration(n) * each
}

// isolated reports whether this box has lost all its neighbours.
func (p *Plan) isolated() bool { return p.hadNeighbour && p.connected == 0 }

// quiet reports whether this box has received nothing for longer than the intervals that are
// normal while the origin serves other boxes or they serve one another.
func (p *Plan) quiet(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) > quietAfterStaggers*p.stagger()+quietAfterChunks*p.perChunkAtOrigin()
}

// slowFraction is the ParallelFraction at or below which the link counts as too slow to fetch
// a chunk in time.
const slowFraction = 0.5

// ranked returns the boxes in the order in which they may claim a chunk.
func (p *Plan) ranked(chunk int) []string {
	if r := p.ranks[chunk]; r != nil {
		return r
	}
	r := rendezvous.Rank(p.Strategy.OrderKey(chunk), p.members)
	if at := slices.Index(r, p.order.first[chunk]); at > 0 {
		r = slices.Insert(slices.Delete(r, at, at+1), 0, p.order.first[chunk])
	}
	p.ranks[chunk] = r
	return r
}

// skipSilent records that the boxes ranked before the claimant of a chunk have missed their
// turns: rankings skip them for skipFor.
func (p *Plan) skipSilent(now time.Time, chunk int, claimant string) {
	if p.dueSince[chunk].IsZero() {
		return
	}
	passed := int(now.Sub(p.dueSince[chunk]) / p.stagger())
	for _, name := range p.ranked(chunk) {
		if name == claimant || passed <= 0 {
			return
		}
		if !p.skipUntil[name].After(now) {
			passed--
		}
		if name != p.Self && !p.busyAtOrigin(now, name) {
			p.skipUntil[name] = now.Add(skipFor)
		}
	}
}

// busyAtOrigin reports whether a box has a valid claim of some chunk.
func (p *Plan) busyAtOrigin(now time.Time, name string) bool {
	return slices.ContainsFunc(p.claims, func(c claim) bool { return c.owner == name && c.expiresAt.After(now) })
}

// mayClaim reports whether this box may fetch a chunk that is due from the origin.
func (p *Plan) mayClaim(now time.Time, chunk int, wake *time.Time) bool {
	if p.origin.backoffUntil.After(now) {
		setEarlier(wake, p.origin.backoffUntil)
		return false
	}
	if p.origin.down {
		// Any box whose probe time has come probes, with any chunk that is due.
		if p.origin.probeAt.After(now) {
			setEarlier(wake, p.origin.probeAt)
			return false
		}
		return p.openAtOrigin == 0
	}
	if p.claims[chunk].expiresAt.After(now) {
		return true // This box's own claim, whose last answer was corrupt.
	}
	turn := p.turnAt[chunk]
	if p.isolated() || p.quiet(now) {
		turn = times.Later(turn, p.dueSince[chunk].Add(p.turnDelay(now, chunk)))
	}
	if turn.After(now) {
		setEarlier(wake, turn)
		return false
	}
	return true
}

// fetchDue starts a fetch from the origin and claims the chunk.
func (p *Plan) fetchDue(now time.Time, chunk int) Action {
	p.originRequests++
	if p.turnAt[chunk].Sub(p.dueSince[chunk]) > 0 && !p.origin.down {
		p.skipSilent(now, chunk, p.Self)
		p.takeovers++
	}
	p.dueSince[chunk] = time.Time{}
	if p.origin.down {
		p.origin.probeAt = now.Add(p.probeWait()) // Probes are not announced.
	} else {
		p.announceClaim(now, chunk, false)
	}
	return p.startFetch(now, Action{Chunk: chunk, From: Origin})
}
