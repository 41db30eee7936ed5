package weights

import (
	"maps"
	"slices"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// A claim announces that a box fetches a chunk from the origin. Boxes forward claims to all
// their neighbours, together with the chunks that have left the origin, so that within a few
// flushes each box has the set of chunks that remain to be fetched and their claimants. Each
// chunk has a ranking of boxes: the first box claims the chunk once it is due, and each
// further box may claim it one stagger later if it has received no claim. A claim expires
// unless it is renewed, so that a claim of a box that has failed or is cut off does not block
// the chunk for long.

// Claim is the wire form of a claim.
type Claim struct {
	Chunk int
	Owner string        // Name of the box that fetches the chunk.
	Seq   uint64        // Increases with every claim that the owner announces, so that each claim is forwarded once.
	TTL   time.Duration // Remaining validity of the claim; zero releases the chunk.
	// Answered is set if the origin has accepted the request, Failed if it could not be
	// reached or did not answer.
	Answered, Failed bool
}

// claim is the local state of a claim.
type claim struct {
	owner       string
	announcedAt time.Time // When this box last announced its own claim.
	expiresAt   time.Time // The claim is valid until then; zero if it was released.
}

// Gossip is information that boxes forward to their neighbours.
type Gossip struct {
	Seeded []int // Chunks that have left the origin: at least one box has them.
	Claims []Claim
}

// Empty reports whether there is nothing to forward.
func (g *Gossip) Empty() bool { return len(g.Seeded) == 0 && len(g.Claims) == 0 }

// merge appends o.
func (g *Gossip) merge(o Gossip) {
	g.Seeded = append(g.Seeded, o.Seeded...)
	g.Claims = append(g.Claims, o.Claims...)
}

// Parameters of claims and of the use of the origin.
const (
	defaultStagger     = 450 * time.Millisecond // Between the turns of consecutive boxes in a chunk's ranking: four flushes of an Exchange and a margin.
	claimStaggers      = 4                      // Validity of a claim, in staggers.
	renewalsPerClaim   = 3                      // A claim is renewed this many times within its validity,
	maxClaimTerms      = 5                      // for at most this many times its validity.
	skipFor            = 3 * time.Second        // A box that missed its turn is skipped in rankings for this long.
	originLag          = 300 * time.Millisecond // From when a chunk becomes due until the chunk after it is seen as due by all boxes.
	extraOriginChunks  = 2                      // Chunks that may leave the origin at once, beyond those of originLag.
	probesPerStagger   = 4                      // Probes of an origin that is down, in one stagger, of all boxes together.
	maxProbeFactor     = 8                      // Maximum time between two probes of a box, as a multiple of the mean.
	probeAnsweredAfter = 100 * time.Millisecond // A probe that has not failed by then counts as being answered.
	minSeededWait      = 600 * time.Millisecond // Minimum time for which a chunk that has left the origin is requested from other boxes only,
	seededWaitChunks   = 14                     // and the same in transfer times of a chunk on an idle link; the longer one counts.
	recentServe        = time.Second            // A failure of another box within this time of a successful fetch from the origin,
	recentServeChunks  = 3                      // plus the time of this many chunks, does not show that the origin is down.
	loneFailureWindow  = 300 * time.Millisecond // If the origin serves another box within this time of a failure of this box,
	loneFailureChunks  = 2                      // plus the time of this many chunks, the failure concerns this box alone.
	minOriginBackoff   = 250 * time.Millisecond // It then backs off from the origin, at first for this time, which doubles up to the maximum.
	maxOriginBackoff   = 4 * time.Second
	quietAfterStaggers = 2 // A box that has received nothing for this many staggers,
	quietAfterChunks   = 3 // plus the time in which this many chunks leave the origin,
	quietStaggerFactor = 3 // waits longer by this factor for the boxes ranked before it.
	maxCorruptAnswers  = 2 // Corrupt answers for one chunk after which the chunk is left to other boxes.
)

// TakeGossip returns the gossip to forward since the last call.
func (p *Plan) TakeGossip() Gossip {
	g := p.gossip
	p.gossip = Gossip{}
	return g
}

// TakeTakeovers returns how many chunks this box has claimed since the last call after the
// boxes ranked before it had missed their turns.
func (p *Plan) TakeTakeovers() int {
	n := p.takeovers
	p.takeovers = 0
	return n
}

// GossipSnapshot returns the current state for a new neighbour.
func (p *Plan) GossipSnapshot(now time.Time) Gossip {
	var g Gossip
	for i, c := range p.claims {
		switch {
		case p.have.Has(i): // The neighbour receives it as a chunk that this box has.
		case p.isSeeded(now, i):
			g.Seeded = append(g.Seeded, i)
		case c.expiresAt.After(now):
			g.Claims = append(g.Claims, Claim{Chunk: i, Owner: c.owner, Seq: p.lastSeq[c.owner], TTL: c.expiresAt.Sub(now)})
		}
	}
	return g
}

// ApplyGossip applies the gossip of a neighbour. What is new to this box is forwarded.
func (p *Plan) ApplyGossip(now time.Time, g Gossip) {
	p.heardAt = now
	for _, i := range g.Seeded {
		if i >= 0 && i < p.Chunks {
			p.markSeeded(now, i)
		}
	}
	for _, c := range g.Claims {
		if c.Chunk >= 0 && c.Chunk < p.Chunks && c.Owner != p.Self && c.Seq > p.lastSeq[c.Owner] {
			p.lastSeq[c.Owner] = c.Seq
			p.gossip.Claims = append(p.gossip.Claims, c)
			p.applyClaim(now, c)
		}
	}
}

func (p *Plan) applyClaim(now time.Time, c Claim) {
	delete(p.skipUntil, c.Owner)
	switch {
	case c.Failed && now.Sub(p.origin.servedAt) >= recentServe+recentServeChunks*p.perChunkAtOrigin():
		p.originDown(now) // Otherwise the origin served a box recently, and the box that reports the failure may be cut off.
	case c.Answered:
		p.originUp(now)
	}
	old := &p.claims[c.Chunk]
	live := old.expiresAt.After(now)
	if live && old.owner == p.Self && c.TTL > 0 && p.yieldsTo(c) {
		*old = claim{owner: c.Owner, expiresAt: now.Add(min(c.TTL, p.claimTerm()))}
		p.yielded = append(p.yielded, c.Chunk)
		return
	}
	if live && old.owner != c.Owner || p.have.Has(c.Chunk) || p.seededUntil[c.Chunk].After(now) {
		return // The first claim received has precedence.
	}
	if c.TTL <= 0 {
		*old = claim{}
		return
	}
	if !live {
		p.skipSilent(now, c.Chunk, c.Owner)
	}
	*old = claim{owner: c.Owner, expiresAt: now.Add(min(c.TTL, p.claimTerm()))}
}

// yieldsTo reports whether this box leaves a chunk to another box that claimed it at the same
// time, which happens if the boxes have different member lists. The result depends on the two
// names only, so that both boxes decide alike.
func (p *Plan) yieldsTo(c Claim) bool {
	key := p.Strategy.OrderKey(c.Chunk)
	return rendezvous.Score(key, c.Owner) > rendezvous.Score(key, p.Self)
}

// TakeYielded returns the chunks whose fetches from the origin must be cancelled because
// another box fetches them.
func (p *Plan) TakeYielded() []int {
	out := p.yielded
	p.yielded = nil
	return out
}

func (p *Plan) claimTerm() time.Duration { return claimStaggers * p.stagger() }

// announceClaim announces that this box fetches a chunk.
func (p *Plan) announceClaim(now time.Time, chunk int, answered bool) {
	p.claims[chunk] = claim{owner: p.Self, announcedAt: now, expiresAt: now.Add(p.claimTerm())}
	p.queueClaim(Claim{Chunk: chunk, TTL: p.claimTerm(), Answered: answered})
}

func (p *Plan) queueClaim(c Claim) {
	p.Seq++
	c.Owner, c.Seq = p.Self, p.Seq
	p.gossip.Claims = append(p.gossip.Claims, c)
}

// renewClaims announces this box's claims again while the fetches run, and announces probes of
// a recovered origin once they are being answered.
func (p *Plan) renewClaims(now time.Time, wake *time.Time) {
	if p.openAtOrigin == 0 {
		return
	}
	interval := p.claimTerm() / renewalsPerClaim
	for _, i := range slices.Sorted(maps.Keys(p.fetching)) {
		fs := p.fetching[i]
		at := slices.IndexFunc(fs, func(f fetch) bool { return f.from == Origin })
		if at < 0 || now.Sub(fs[at].since) > maxClaimTerms*p.claimTerm() {
			continue
		}
		renewAt := fs[at].since.Add(probeAnsweredAfter)
		if c := p.claims[i]; c.owner == p.Self {
			renewAt = c.announcedAt.Add(interval)
		}
		if renewAt.After(now) {
			setEarlier(wake, renewAt)
			continue
		}
		p.originUp(now)
		p.announceClaim(now, i, true)
		setEarlier(wake, now.Add(interval))
	}
}

// release releases this box's claim of a chunk; failed reports that the fetch failed because
// of the origin.
func (p *Plan) release(chunk int, failed bool) {
	if p.claims[chunk].owner == p.Self {
		p.claims[chunk] = claim{}
		p.queueClaim(Claim{Chunk: chunk, Failed: failed})
	}
}
