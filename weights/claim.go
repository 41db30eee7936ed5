package weights

import (
	"maps"
	"math"
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
	By    string        // The box that fetches it.
	Seq   uint64        // Rises with each claim that the box tells of, so that each is passed on once.
	For   time.Duration // Of the claim that is left. Zero gives the chunk up.
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

// News is what a box has learnt and passes on.
type News struct {
	Left   []int // Chunks that have left the origin: some box has them.
	Claims []Claim
}

// Empty reports whether there is nothing to pass on.
func (n *News) Empty() bool { return len(n.Left) == 0 && len(n.Claims) == 0 }

// add joins what has been learnt since.
func (n *News) add(o News) {
	n.Left = append(n.Left, o.Left...)
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

// originState is what a box knows of the origin.
type originState struct {
	away     bool      // Nobody is known to have been served since a failure.
	tryAt    time.Time // While it is away, when this box tries it.
	backAt   time.Time // When turns begin, after it was away.
	movedAt  time.Time // When it was last known to have served some box,
	failedAt time.Time // and when it failed this one.
	troubles int       // Failures in a row after which it served others.
	leaveTil time.Time // It is left to others until then.
}

// TakeNews returns what is to be passed on since the last call.
func (p *Plan) TakeNews() News {
	n := p.news
	p.news = News{}
	return n
}

// TakeTakeovers returns how many chunks this box claimed, since the last call, after
// others had let their turns pass.
func (p *Plan) TakeTakeovers() int {
	n := p.takeovers
	p.takeovers = 0
	return n
}

// Known returns all that a new neighbour needs to be told.
func (p *Plan) Known(now time.Time) News {
	var n News
	for i, c := range p.claims {
		switch {
		case p.have.Has(i): // The neighbour is told of it as of what this box has.
		case p.hasLeft(now, i):
			n.Left = append(n.Left, i)
		case c.until.After(now):
			n.Claims = append(n.Claims, Claim{Chunk: i, By: c.by, Seq: p.seqs[c.by], For: c.until.Sub(now)})
		}
	}
	return n
}

// Learn takes what a neighbour passed on. What is new to this box is passed on in turn.
func (p *Plan) Learn(now time.Time, n News) {
	p.heardAt = now
	for _, i := range n.Left {
		if i >= 0 && i < p.Chunks {
			p.left(now, i)
		}
	}
	for _, c := range n.Claims {
		if c.Chunk >= 0 && c.Chunk < p.Chunks && c.By != p.Self && c.Seq > p.seqs[c.By] {
			p.seqs[c.By] = c.Seq
			p.news.Claims = append(p.news.Claims, c)
			p.learnClaim(now, c)
		}
	}
}

// left records that a chunk has left the origin.
func (p *Plan) left(now time.Time, chunk int) {
	if p.have.Has(chunk) {
		return
	}
	if p.leftUntil[chunk].After(now) {
		return
	}
	if p.leftUntil[chunk].IsZero() {
		p.moved(now)
	}
	p.leftUntil[chunk] = now.Add(max(leftLeast, leftChunks*p.PerChunk))
	p.claims[chunk].until, p.dueAt[chunk] = time.Time{}, time.Time{}
	p.news.Left = append(p.news.Left, chunk)
}

// moved records that the origin has served some box.
func (p *Plan) moved(now time.Time) {
	o := &p.origin
	o.movedAt = now
	p.back(now)
	if !o.failedAt.IsZero() && now.Sub(o.failedAt) < aloneIn+aloneChunks*p.perChunkAtOrigin() {
		o.leaveTil = now.Add(min(troubleMost, troubleFirst<<min(o.troubles, 8)))
		o.troubles++
	}
	o.failedAt = time.Time{}
}

// back records that the origin has begun to serve some box. All turns begin anew, once
// other boxes whose tries are answered had time to say so.
func (p *Plan) back(now time.Time) {
	if p.origin.away {
		p.origin.away = false
		p.origin.backAt = now.Add(p.stagger())
		clear(p.dueAt)
	}
}

// hasLeft reports whether a chunk is at some box: a neighbour offers it, or it was heard
// to have left the origin not so long ago that it should be here.
func (p *Plan) hasLeft(now time.Time, chunk int) bool {
	return p.leftUntil[chunk].After(now) || p.offered(now, chunk)
}

func (p *Plan) learnClaim(now time.Time, c Claim) {
	delete(p.silent, c.By)
	switch {
	case c.Failed && now.Sub(p.origin.movedAt) >= servesFor+servesChunks*p.perChunkAtOrigin():
		p.lost(now) // Else it served some box just now, and the other one may be cut off.
	case c.Answered:
		p.back(now)
	}
	old := &p.claims[c.Chunk]
	live := old.until.After(now)
	if live && old.by == p.Self && c.For > 0 && p.yieldsTo(c) {
		*old = claim{by: c.By, until: now.Add(min(c.For, p.claimFor()))}
		p.yielded = append(p.yielded, c.Chunk)
		return
	}
	if live && old.by != c.By || p.have.Has(c.Chunk) || p.leftUntil[c.Chunk].After(now) {
		return // The one that was heard first holds.
	}
	if c.For <= 0 {
		*old = claim{}
		return
	}
	if !live {
		p.passOver(now, c.Chunk, c.By)
	}
	*old = claim{by: c.By, until: now.Add(min(c.For, p.claimFor()))}
}

// yieldsTo reports whether this box leaves a chunk to another that claimed it at the same
// moment, as boxes that know of different members may. All boxes see their order alike.
func (p *Plan) yieldsTo(c Claim) bool {
	key := p.Strategy.OrderKey(c.Chunk)
	return rendezvous.Score(key, c.By) > rendezvous.Score(key, p.Self)
}

// TakeYielded returns the chunks whose fetches from the origin are to be cancelled, since
// another box fetches them.
func (p *Plan) TakeYielded() []int {
	out := p.yielded
	p.yielded = nil
	return out
}

// lost records that the origin has failed some box: it is taken to be away until it is
// known to have served one since.
func (p *Plan) lost(now time.Time) {
	if !p.origin.away {
		p.origin.away = true
		p.origin.tryAt = now.Add(p.probeWait())
	}
}

// probeWait draws the time until this box's next try at an origin that is away. All
// boxes together try it probesInStagger times in a stagger.
func (p *Plan) probeWait() time.Duration {
	mean := float64(p.stagger()) / probesInStagger * float64(max(1, len(p.names)))
	return time.Duration(min(probeMost*mean, -mean*math.Log(1-p.Rand.Float64())))
}

func (p *Plan) stagger() time.Duration { return orDefault(p.Stagger, defaultStagger) }

func (p *Plan) claimFor() time.Duration { return claimStaggers * p.stagger() }

// perChunkAtOrigin is the time that one chunk takes on the origin's idle link.
func (p *Plan) perChunkAtOrigin() time.Duration { return p.Inject / time.Duration(max(1, p.Chunks)) }

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
	for i := range p.Chunks {
		if places == 0 {
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
		if p.dueAt[i].IsZero() {
			p.dueAt[i] = laterOf(now, p.origin.backAt)
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
	if p.Adapt && p.Ease() <= slowEase {
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
		turn = laterOf(turn, p.dueAt[chunk].Add(p.wait(now, chunk)))
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

// claim tells all that this box fetches a chunk.
func (p *Plan) claim(now time.Time, chunk int, answered bool) {
	p.claims[chunk] = claim{by: p.Self, told: now, until: now.Add(p.claimFor())}
	p.tell(Claim{Chunk: chunk, For: p.claimFor(), Answered: answered})
}

func (p *Plan) tell(c Claim) {
	p.Seq++
	c.By, c.Seq = p.Self, p.Seq
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

// originFailed records a fetch from the origin that brought nothing.
func (p *Plan) originFailed(now time.Time, chunk int) {
	p.origin.failedAt = now
	p.release(chunk, true)
	p.lost(now)
}

// originSpoilt records an answer of the origin that does not match its digest. The box
// asks again at once, and leaves the chunk to others if that is spoilt too.
func (p *Plan) originSpoilt(now time.Time, chunk int) {
	p.moved(now)
	p.spoilt[chunk]++
	if p.spoilt[chunk]%spoiltAllowed != 0 {
		return
	}
	p.release(chunk, false)
	p.dueAt[chunk] = now
	p.turn[chunk] = now.Add(p.claimFor())
}
