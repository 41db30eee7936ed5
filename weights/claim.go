package weights

import (
	"maps"
	"slices"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// A claim says that a box fetches a chunk from the origin. Boxes pass claims on to all
// their neighbours, and so what has left the origin: each box knows within a few flushes
// which chunks are still to be fetched, and by whom they are. A chunk has an order of
// boxes; the first one claims it once it is due, and the next one follows a stagger
// later if it has heard of no claim. A claim ends by itself unless it is renewed, so one
// of a box that has gone, or cannot be heard, holds nothing up for long.

// Claim is the message of a claim.
type Claim struct {
	Chunk int
	Owner string        // The box that fetches it.
	Seq   uint64        // Rises with each claim that the box tells of, so that each is passed on once.
	TTL   time.Duration // Of the claim that is left. Zero gives the chunk up.
	// Answered says that the origin has taken the request, Failed that it could not be
	// reached or did not answer.
	Answered, Failed bool
}

// claim is a claim as this box knows it.
type claim struct {
	by    string
	told  time.Time // When this box told of its own.
	until time.Time // Not live after it; zero for one that was given up.
}

// Gossip is what a box has learnt and passes on.
type Gossip struct {
	Seeded []int // Chunks that have left the origin: some box has them.
	Claims []Claim
}

// Empty reports whether there is nothing to pass on.
func (n *Gossip) Empty() bool { return len(n.Seeded) == 0 && len(n.Claims) == 0 }

// add joins what has been learnt since.
func (n *Gossip) add(o Gossip) {
	n.Seeded = append(n.Seeded, o.Seeded...)
	n.Claims = append(n.Claims, o.Claims...)
}

// Tuning of claims.
const (
	defaultStagger  = 450 * time.Millisecond // Between the turns of two boxes in a chunk's order; four flushes of an Exchange and a little.
	claimStaggers   = 4                      // A claim holds for so many staggers,
	renewParts      = 3                      // is renewed after one of so many parts of that,
	claimMost       = 5                      // and at most for so many times as long.
	silentFor       = 3 * time.Second        // A box that let its turn pass is not waited for again.
	originLag       = 300 * time.Millisecond // From a chunk's becoming due until the next one's, seen at the last box.
	originBeside    = 2                      // Chunks beyond those of originLag that may leave the origin at once.
	probesInStagger = 4                      // Tries at an origin that is away, of all boxes together.
	probeMost       = 8                      // A box's own tries are at most so many of their mean apart.
	probeAnswered   = 100 * time.Millisecond // A try that has not failed by then is being answered.
	leftLeast       = 600 * time.Millisecond // A chunk that has left the origin is looked for at other boxes for so long,
	leftChunks      = 14                     // or for the time of so many chunks on an idle link.
	servesFor       = time.Second            // A box that fails so soon, and within the time of
	servesChunks    = 3                      // so many chunks, after the origin served some box, shows nothing of the others.
	aloneIn         = 300 * time.Millisecond // Where the origin serves another box so soon, and within the time of
	aloneChunks     = 2                      // so many chunks, after it failed this one,
	troubleFirst    = 250 * time.Millisecond // this one leaves it to others for a while, which doubles.
	troubleMost     = 4 * time.Second
	quietAfter      = 2 // A box that has heard nothing for so many staggers,
	quietChunks     = 3 // and for the time in which so many chunks leave the origin,
	quietStaggers   = 3 // gives others so many times their turns.
	spoiltAllowed   = 2 // Spoilt answers to one chunk, after which it is left to others.
)

// TakeGossip returns what is to be passed on since the last call.
func (p *Plan) TakeGossip() Gossip {
	n := p.news
	p.news = Gossip{}
	return n
}

// TakeTakeovers returns how many chunks this box claimed, since the last call, after
// others had let their turns pass.
func (p *Plan) TakeTakeovers() int {
	n := p.takeovers
	p.takeovers = 0
	return n
}

// GossipSnapshot returns all that a new neighbour needs to be told.
func (p *Plan) GossipSnapshot(now time.Time) Gossip {
	var n Gossip
	for i, c := range p.claims {
		switch {
		case p.have.Has(i): // The neighbour is told of it as of what this box has.
		case p.hasLeft(now, i):
			n.Seeded = append(n.Seeded, i)
		case c.until.After(now):
			n.Claims = append(n.Claims, Claim{Chunk: i, Owner: c.by, Seq: p.seqs[c.by], TTL: c.until.Sub(now)})
		}
	}
	return n
}

// ApplyGossip takes what a neighbour passed on. What is new to this box is passed on in turn.
func (p *Plan) ApplyGossip(now time.Time, n Gossip) {
	p.heardAt = now
	for _, i := range n.Seeded {
		if i >= 0 && i < p.Chunks {
			p.left(now, i)
		}
	}
	for _, c := range n.Claims {
		if c.Chunk >= 0 && c.Chunk < p.Chunks && c.Owner != p.Self && c.Seq > p.seqs[c.Owner] {
			p.seqs[c.Owner] = c.Seq
			p.news.Claims = append(p.news.Claims, c)
			p.learnClaim(now, c)
		}
	}
}

func (p *Plan) learnClaim(now time.Time, c Claim) {
	delete(p.silent, c.Owner)
	switch {
	case c.Failed && now.Sub(p.origin.movedAt) >= servesFor+servesChunks*p.perChunkAtOrigin():
		p.lost(now) // Else it served some box just now, and the other one may be cut off.
	case c.Answered:
		p.back(now)
	}
	old := &p.claims[c.Chunk]
	live := old.until.After(now)
	if live && old.by == p.Self && c.TTL > 0 && p.yieldsTo(c) {
		*old = claim{by: c.Owner, until: now.Add(min(c.TTL, p.claimFor()))}
		p.yielded = append(p.yielded, c.Chunk)
		return
	}
	if live && old.by != c.Owner || p.have.Has(c.Chunk) || p.leftUntil[c.Chunk].After(now) {
		return // The one that was heard first holds.
	}
	if c.TTL <= 0 {
		*old = claim{}
		return
	}
	if !live {
		p.passOver(now, c.Chunk, c.Owner)
	}
	*old = claim{by: c.Owner, until: now.Add(min(c.TTL, p.claimFor()))}
}

// yieldsTo reports whether this box leaves a chunk to another that claimed it at the same
// moment, as boxes that know of different members may. All boxes see their order alike.
func (p *Plan) yieldsTo(c Claim) bool {
	key := p.Strategy.OrderKey(c.Chunk)
	return rendezvous.Score(key, c.Owner) > rendezvous.Score(key, p.Self)
}

// TakeYielded returns the chunks whose fetches from the origin are to be cancelled, since
// another box fetches them.
func (p *Plan) TakeYielded() []int {
	out := p.yielded
	p.yielded = nil
	return out
}

func (p *Plan) claimFor() time.Duration { return claimStaggers * p.stagger() }

// claim tells all that this box fetches a chunk.
func (p *Plan) claim(now time.Time, chunk int, answered bool) {
	p.claims[chunk] = claim{by: p.Self, told: now, until: now.Add(p.claimFor())}
	p.tell(Claim{Chunk: chunk, TTL: p.claimFor(), Answered: answered})
}

func (p *Plan) tell(c Claim) {
	p.Seq++
	c.Owner, c.Seq = p.Self, p.Seq
	p.news.Claims = append(p.news.Claims, c)
}

// renew tells again of this box's claims while it fetches, and of tries at an origin that
// was away once they are answered.
func (p *Plan) renew(now time.Time, wake *time.Time) {
	if p.atOrigin == 0 {
		return
	}
	every := p.claimFor() / renewParts
	for _, i := range slices.Sorted(maps.Keys(p.fetching)) {
		fs := p.fetching[i]
		at := slices.IndexFunc(fs, func(f fetch) bool { return f.from == Origin })
		if at < 0 || now.Sub(fs[at].since) > claimMost*p.claimFor() {
			continue
		}
		again := fs[at].since.Add(probeAnswered)
		if c := p.claims[i]; c.by == p.Self {
			again = c.told.Add(every)
		}
		if again.After(now) {
			earlier(wake, again)
			continue
		}
		p.back(now)
		p.claim(now, i, true)
		earlier(wake, now.Add(every))
	}
}

// release gives a chunk up, and says whether that is for the origin's failure.
func (p *Plan) release(chunk int, failed bool) {
	if p.claims[chunk].by == p.Self {
		p.claims[chunk] = claim{}
		p.tell(Claim{Chunk: chunk, Failed: failed})
	}
}
