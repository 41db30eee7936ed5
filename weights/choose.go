package weights

import (
	"time"

	"github.com/poststand/poststand/internal/times"
)

// duties fetches from the origin what is due there and this box's to claim.
func (p *Plan) duties(now time.Time, wake *time.Time, todo []Action) []Action {
	if p.HoldOrigin || p.YieldOrigin {
		return todo
	}
	if p.Strategy.OrderKey == nil {
		return p.everything(now, wake, todo)
	}
	p.renew(now, wake)
	due := p.due(now, wake)
	if p.origin.away { // Boxes that try it at the same moment fetch different chunks.
		p.Rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, i := range due {
		if p.atOrigin >= p.mayAsk() {
			break
		}
		if p.mayClaim(now, i, wake) {
			todo = append(todo, p.fetchDue(now, i))
		}
	}
	return todo
}

// everything fetches whatever is missing from the origin, for a strategy without an
// order.
func (p *Plan) everything(now time.Time, wake *time.Time, todo []Action) []Action {
	if p.origin.away && p.origin.tryAt.After(now) {
		earlier(wake, p.origin.tryAt)
		return todo
	}
	for i := range p.Chunks {
		if p.atOrigin >= p.mayAsk() {
			break
		}
		if !p.have.Has(i) && len(p.fetching[i]) == 0 {
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
	for _, s := range p.sorted {
		if s.has.Has(chunk) && !s.notBefore.After(now) {
			return true
		}
	}
	return false
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
		return now.Sub(fs[0].since) > slowChunks*p.ChunkTime
	}
	return false
}

func (p *Plan) choosePeer(now time.Time, chunk int, wake *time.Time) (string, bool) {
	best, load, ties := "", 0, 0
	far := p.mayCross(now, chunk, wake)
	for _, s := range p.sorted {
		if !s.has.Has(chunk) || s.open >= perPeer || !far && !s.near {
			continue
		}
		if until := times.Later(s.notBefore, s.busy); until.After(now) {
			earlier(wake, until)
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

// mayCross reports whether a chunk may be fetched from another hall: nobody here
// has it, and it is this box's turn to bring it.
func (p *Plan) mayCross(now time.Time, chunk int, wake *time.Time) bool {
	if p.near == nil {
		return true
	}
	for _, s := range p.sorted {
		if s.near && s.has.Has(chunk) && !s.notBefore.After(now) {
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

// spareFetch spends what the origin may send beyond one copy, once the first
// copy has left it and no peer has room.
func (p *Plan) spareFetch(now time.Time) (Action, bool) {
	if p.HoldOrigin || p.YieldOrigin || p.spare == 0 || p.atOrigin > 0 || p.origin.away || p.origin.leaveTil.After(now) || now.Before(p.StartAt.Add(p.OriginCopyTime)) {
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
