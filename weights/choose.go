package weights

import (
	"slices"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// duties looks after the chunks whose turn has come and that no neighbour has:
// fetch from the origin if nobody is ahead, else ask those who are.
func (p *Plan) duties(now time.Time, wake *time.Time, todo []Action) []Action {
	if p.Hold || p.Yield {
		return todo
	}
	p.shareAnew(now, wake)
	for i := range p.Chunks {
		if p.have.Has(i) || len(p.fetching[i]) > 0 || p.asking[i] || p.offered(now, i) {
			continue
		}
		switch {
		case p.turn[i].After(now):
			earlier(wake, p.turn[i])
		case p.order.position[i] > 0 && !p.granted[i]:
			p.asking[i] = true
			todo = append(todo, Action{Chunk: i, Ask: p.ahead(i)})
		case p.originAt.After(now):
			earlier(wake, p.originAt)
		case p.atOrigin < orDefault(p.AtOrigin, defaultAtOrigin):
			todo = append(todo, p.begin(now, Action{Chunk: i, From: Origin}))
		}
	}
	return todo
}

// offered reports whether a peer that is not left out has a chunk.
func (p *Plan) offered(now time.Time, chunk int) bool {
	if p.rarity[chunk] == 0 || !p.leftOut.After(now) {
		return p.rarity[chunk] > 0
	}
	for _, s := range p.peers {
		if s.has.Has(chunk) && !s.notBefore.After(now) {
			return true
		}
	}
	return false
}

// ahead returns the nearest boxes before this one in a chunk's order.
func (p *Plan) ahead(chunk int) []string {
	const most = 3
	ranked := rendezvous.Rank(p.Strategy.OrderKey(chunk), p.names)
	if at := slices.Index(ranked, p.order.first[chunk]); at > 0 {
		ranked = slices.Insert(slices.Delete(ranked, at, at+1), 0, p.order.first[chunk])
	}
	for i, n := range ranked {
		if n == p.Self {
			return ranked[max(0, i-most):i]
		}
	}
	return nil
}

func earlier(t *time.Time, by time.Time) {
	if by.Before(*t) {
		*t = by
	}
}

// best chooses the rarest chunk that a peer with room has, and of those peers
// the one with the least to do.
func (p *Plan) best(now time.Time, wake *time.Time) (Action, bool) {
	chunk, peer := -1, ""
	for i := range p.Chunks {
		if p.have.Has(i) || p.rarity[i] == 0 || !p.mayFetch(now, i) {
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

// rarer orders chunks: those not being fetched first, then the rarest.
func (p *Plan) rarer(a, b int) bool {
	if fa, fb := len(p.fetching[a]), len(p.fetching[b]); fa != fb {
		return fa < fb
	}
	if p.rarity[a] != p.rarity[b] {
		return p.rarity[a] < p.rarity[b]
	}
	return p.tieBreak[a] < p.tieBreak[b]
}

// mayFetch allows a second fetch of a chunk only when the first is slow.
func (p *Plan) mayFetch(now time.Time, chunk int) bool {
	fs := p.fetching[chunk]
	switch len(fs) {
	case 0:
		return true
	case 1:
		return now.Sub(fs[0].since) > slowChunks*p.PerChunk
	}
	return false
}

func (p *Plan) choosePeer(now time.Time, chunk int, wake *time.Time) (string, bool) {
	best, load, ties := "", 0, 0
	far := p.mayCross(now, chunk, wake)
	for _, name := range p.sorted {
		s := p.peers[name]
		if !s.has.Has(chunk) || s.open >= perPeer || !far && !p.near[name] {
			continue
		}
		if until := laterOf(s.notBefore, s.busy); until.After(now) {
			earlier(wake, until)
			continue
		}
		switch {
		case best == "" || s.queue < load:
			best, load, ties = name, s.queue, 1
		case s.queue == load:
			ties++
			if p.Rand.IntN(ties) == 0 {
				best = name
			}
		}
	}
	return best, best != ""
}

// mayCross reports whether a chunk may be fetched from another hall: nobody here
// has it, and it is this box's turn to bring it.
func (p *Plan) mayCross(now time.Time, chunk int, wake *time.Time) bool {
	if p.near == nil {
		return true
	}
	for name, s := range p.peers {
		if p.near[name] && s.has.Has(chunk) && !s.notBefore.After(now) {
			return false
		}
	}
	if p.offeredAt[chunk].IsZero() {
		p.offeredAt[chunk] = now
	}
	turn := p.offeredAt[chunk].Add(time.Duration(p.across[chunk]) * acrossGrace)
	if turn.After(now) {
		earlier(wake, turn)
		return false
	}
	return true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// spareFetch spends what the origin may send beyond one copy, once the first
// copy has left it and no peer has room.
func (p *Plan) spareFetch(now time.Time) (Action, bool) {
	if p.Hold || p.Yield || p.spare == 0 || p.atOrigin > 0 || p.originAt.After(now) || now.Before(p.Begin.Add(p.Inject)) {
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
	p.spare--
	return Action{Chunk: chunk, From: Origin}, true
}
