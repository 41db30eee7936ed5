package weights

import (
	"time"

	"github.com/poststand/poststand/internal/times"
)

// originFetches starts fetches from the origin of the chunks that are due and that this box
// may claim.
func (p *Plan) originFetches(now time.Time, wake *time.Time, todo []Action) []Action {
	if p.HoldOrigin || p.YieldOrigin {
		return todo
	}
	if p.Strategy.OrderKey == nil {
		return p.fetchAll(now, wake, todo)
	}
	p.renewClaims(now, wake)
	due := p.due(now, wake)
	if p.origin.down { // Boxes that probe at the same time fetch different chunks.
		p.Rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, i := range due {
		if p.openAtOrigin >= p.originLimit() {
			break
		}
		if p.mayClaim(now, i, wake) {
			todo = append(todo, p.fetchDue(now, i))
		}
	}
	return todo
}

// fetchAll fetches all missing chunks from the origin, for a strategy without a ranking.
func (p *Plan) fetchAll(now time.Time, wake *time.Time, todo []Action) []Action {
	if p.origin.down && p.origin.probeAt.After(now) {
		setEarlier(wake, p.origin.probeAt)
		return todo
	}
	for i := range p.Chunks {
		if p.openAtOrigin >= p.originLimit() {
			break
		}
		if !p.have.Has(i) && len(p.fetching[i]) == 0 {
			todo = append(todo, p.startFetch(now, Action{Chunk: i, From: Origin}))
		}
	}
	return todo
}

// hasHolder reports whether a peer that is not excluded has a chunk.
func (p *Plan) hasHolder(now time.Time, chunk int) bool {
	if p.holders[chunk] == 0 || !p.excludedUntil.After(now) {
		return p.holders[chunk] > 0
	}
	for _, s := range p.sorted {
		if s.has.Has(chunk) && !s.excludedUntil.After(now) {
			return true
		}
	}
	return false
}

// setEarlier sets t to other if that is earlier.
func setEarlier(t *time.Time, other time.Time) {
	if other.Before(*t) {
		*t = other
	}
}

// bestFetch returns the rarest missing chunk that an available peer has, and the least loaded
// of those peers.
func (p *Plan) bestFetch(now time.Time, wake *time.Time) (Action, bool) {
	chunk, peer := -1, ""
	for i := range p.Chunks {
		if p.have.Has(i) || p.holders[i] == 0 || !p.mayFetch(now, i) {
			continue
		}
		if chunk >= 0 && !p.rarer(i, chunk) {
			continue
		}
		if name, ok := p.choosePeer(now, i, wake); ok {
			chunk, peer = i, name
		}
	}
	return Action{Chunk: chunk, From: peer}, chunk >= 0
}

// rarer orders chunks: those with fewer open fetches first, then the rarest.
func (p *Plan) rarer(a, b int) bool {
	if fa, fb := len(p.fetching[a]), len(p.fetching[b]); fa != fb {
		return fa < fb
	}
	if p.holders[a] != p.holders[b] {
		return p.holders[a] < p.holders[b]
	}
	return p.tieBreak[a] < p.tieBreak[b]
}

// mayFetch allows a second fetch of a chunk only if the first one is slow.
func (p *Plan) mayFetch(now time.Time, chunk int) bool {
	fs := p.fetching[chunk]
	switch len(fs) {
	case 0:
		return true
	case 1:
		return now.Sub(fs[0].since) > slowChunks*p.ChunkTime
	}
	return false
}

func (p *Plan) choosePeer(now time.Time, chunk int, wake *time.Time) (string, bool) {
	best, load, ties := "", 0, 0
	crossHall := p.mayCrossHall(now, chunk, wake)
	for _, s := range p.sorted {
		if !s.has.Has(chunk) || s.openFetches >= fetchesPerPeer || !crossHall && !s.inHall {
			continue
		}
		if until := times.Later(s.excludedUntil, s.busyUntil); until.After(now) {
			setEarlier(wake, until)
			continue
		}
		switch {
		case best == "" || s.queue < load:
			best, load, ties = s.name, s.queue, 1
		case s.queue == load:
			ties++
			if p.Rand.IntN(ties) == 0 {
				best = s.name
			}
		}
	}
	return best, best != ""
}

// mayCrossHall reports whether a chunk may be fetched from another hall: no available peer in
// this hall has it, and the turn of this box to fetch it for the hall has come.
func (p *Plan) mayCrossHall(now time.Time, chunk int, wake *time.Time) bool {
	if p.inHall == nil {
		return true
	}
	for _, s := range p.sorted {
		if s.inHall && s.has.Has(chunk) && !s.excludedUntil.After(now) {
			return false
		}
	}
	if p.crossHallSince[chunk].IsZero() {
		p.crossHallSince[chunk] = now
	}
	turn := p.crossHallSince[chunk].Add(time.Duration(p.hallPosition[chunk]) * crossHallTurn)
	if turn.After(now) {
		setEarlier(wake, turn)
		return false
	}
	return true
}

// spareFetch returns a fetch from the origin within this box's part of the spare copies. It
// returns none before the time in which the first copy should have left the origin. Next calls
// it only if no chunk can be fetched from a peer.
func (p *Plan) spareFetch(now time.Time) (Action, bool) {
	if p.HoldOrigin || p.YieldOrigin || p.spareChunks == 0 || p.openAtOrigin > 0 || p.origin.down || p.origin.backoffUntil.After(now) || now.Before(p.StartAt.Add(p.OriginCopyTime)) {
		return Action{}, false
	}
	chunk := -1
	for i := range p.Chunks {
		if !p.have.Has(i) && len(p.fetching[i]) == 0 && (chunk < 0 || p.rarer(i, chunk)) {
			chunk = i
		}
	}
	if chunk < 0 {
		return Action{}, false
	}
	p.spareChunks--
	return Action{Chunk: chunk, From: Origin}, true
}
