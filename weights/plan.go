package weights

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/rendezvous"
)

// Origin is the name under which a Plan speaks of the origin.
const Origin = ""

// defaultParallel and the defaults of an Exchange were chosen by measurement:
// docs/design/weights.md.
const defaultParallel = 8

// Tuning of a Plan. Those in chunks are multiples of the time that one chunk
// takes on a box's idle link.
const (
	perPeer         = 1                       // Open fetches from one peer.
	defaultAtOrigin = 2                       // Open fetches from the origin.
	graceChunks     = 24                      // Between the turns of two boxes in a chunk's order,
	minGrace        = 2 * time.Second         // and at least this.
	slowChunks      = 12                      // After it a second fetch of a chunk may start.
	strikesAllowed  = 2                       // Corrupt chunks after which a peer is left out
	leftOutFor      = 30 * time.Second        // for this, and longer each time.
	mostPutOff      = 3                       // Times that a chunk is left to those ahead.
	mostWaited      = 12 * time.Second        // For one that waits for the origin.
	originRetry     = 500 * time.Millisecond  // Between tries at the origin, with jitter.
	pullAhead       = 0.93                    // Share of the planned time in which seeds ask.
	slowFetch       = 14                      // Of so many, a fetch shows that this box's link is slower than it should be.
	easeBack        = 0.1                     // Fetches regained by each one that is not.
	acrossGrace     = 1000 * time.Millisecond // Between the turns of two boxes of a hall in bringing a chunk there.
	fullGraces      = 5                       // Without room, nothing is fetched for so many graces.
)

// Action is one thing to do.
type Action struct {
	Chunk int
	From  string   // A peer's name, or Origin.
	Ask   []string // If set, ask these boxes about the chunk instead of fetching.
}

// Plan decides what one box fetches next. It does no I/O and is given the time.
// Set the exported fields, then call Init. It is not safe for concurrent use.
type Plan struct {
	Self     string
	Strategy Strategy
	Chunks   int
	Begin    time.Time     // When this box first wanted the artifact.
	Inject   time.Duration // The origin's link carries one copy in it.
	PerChunk time.Duration // One chunk takes this on a box's idle link.
	Spare    float64       // Copies beyond the first that may leave the origin.
	Rand     *rand.Rand
	Parallel int  // Fetches that a box has open; 8 by default.
	AtOrigin int  // Fetches that a box has open from the origin; 2 by default.
	Adapt    bool // Have fewer open while they take long.
	Hold     bool // Leave the origin alone: the box may turn out to have more already.
	Yield    bool // Leave the origin alone: another artifact goes first.
	// Near are the boxes of this box's hall, itself among them. Where it is set, a
	// chunk that one of them has comes from them; one that only other halls have
	// is brought by the first of Near in the chunk's order, and by the next ones
	// if that is late. Nil makes no difference between halls.
	Near []string

	have      Bitmap
	missing   int
	names     []string
	order     order       // Who looks after each chunk.
	turn      []time.Time // When this box next looks after a chunk.
	rarity    []int       // Peers known to have a chunk.
	fetching  map[int][]fetch
	peers     map[string]*peerState
	sorted    []string // The names of peers, sorted, so that a plan is repeatable.
	open      int
	atOrigin  int
	spare     int // Chunks that this box may still fetch beyond its duty.
	asking    map[int]bool
	putOff    map[int]int       // How often a box ahead said that it looks after a chunk.
	waited    map[int]time.Time // Since when a box ahead has said that it waits for the origin.
	granted   map[int]bool      // Nobody ahead looks after the chunk; good for one try at the origin.
	leftOut   time.Time         // Some peer is left out until then.
	originAt  time.Time         // The origin is left alone until then.
	fullTill  time.Time         // The store had no room; nothing is fetched until then.
	tieBreak  []int
	parallel  float64 // Fetches that may be open now: fewer where the link turns out slow. Zero is the usual.
	near      map[string]bool
	across    []int       // Boxes of Near ahead of this one in bringing a chunk from another hall.
	offeredAt []time.Time // When another hall was first seen to have a chunk; zero if none was.
	// movedAt is when a chunk was last seen that nobody was known to have before: it has
	// left the origin.
	movedAt  time.Time
	reshared bool // What is left was shared anew since then.
}

type fetch struct {
	from  string
	since time.Time
}

type peerState struct {
	has       Bitmap
	queue     int // Uploads that wait there, by its last word.
	open      int
	strikes   int
	notBefore time.Time // Left out until then.
	busy      time.Time // Refused for want of a slot; asked again after this.
}

// Init prepares the plan for what the box has already.
func (p *Plan) Init(have Bitmap, members []string) {
	if p.Rand == nil {
		p.Rand = rand.New(rand.NewPCG(rendezvous.Score("plan", p.Self), 1))
	}
	p.have = NewBitmap(p.Chunks)
	for i := range p.Chunks {
		if have.Has(i) {
			p.have.Set(i)
		}
	}
	p.missing = p.Chunks - p.have.Count()
	p.rarity = make([]int, p.Chunks)
	p.fetching = map[int][]fetch{}
	p.peers = map[string]*peerState{}
	p.asking, p.granted, p.putOff, p.waited = map[int]bool{}, map[int]bool{}, map[int]int{}, map[int]time.Time{}
	p.tieBreak = p.Rand.Perm(p.Chunks)
	p.offeredAt = make([]time.Time, p.Chunks)
	p.SetMembers(members)
	p.SetNear(p.Near)
	p.spare = int(p.Spare*float64(p.Chunks)/float64(max(1, len(members))) + p.Rand.Float64())
}

// SetMembers tells which boxes want the artifact now, this one among them.
func (p *Plan) SetMembers(names []string) {
	p.names = names
	fresh, before := p.order.position == nil, p.order.position
	if !fresh && p.Complete() {
		return // Nothing is left to be looked after, and an order of many boxes takes long.
	}
	p.order = order{first: make([]string, p.Chunks), position: make([]int, p.Chunks)}
	if p.Strategy.OrderKey != nil {
		p.order = orderOf(p.Strategy.OrderKey, p.Chunks, p.Self, names, p.Strategy.Balanced)
	}
	if fresh {
		p.turn = make([]time.Time, p.Chunks)
	}
	for i := range p.Chunks {
		ahead := p.order.position[i]
		turn := p.scheduled(i).Add(time.Duration(ahead) * p.grace())
		if fresh || ahead < before[i] && turn.Before(p.turn[i]) {
			p.turn[i] = turn // Sooner, where a box ahead has gone.
		}
	}
}

// SetNear tells which boxes of this box's hall want the artifact now.
func (p *Plan) SetNear(names []string) {
	p.Near = names
	if names == nil || p.Strategy.OrderKey == nil {
		p.near = nil
		return
	}
	p.near = map[string]bool{}
	for _, n := range names {
		p.near[n] = true
	}
	across := func(chunk int) string { return "across/" + p.Strategy.OrderKey(chunk) }
	p.across = orderOf(across, p.Chunks, p.Self, names, p.Strategy.Balanced).position
}

// scheduled is when the origin's link comes to a chunk, one after another.
func (p *Plan) scheduled(chunk int) time.Time {
	if p.Strategy.OrderKey == nil {
		return p.Begin
	}
	share := pullAhead * float64(chunk) / float64(p.Chunks)
	return p.Begin.Add(time.Duration(share * float64(p.Inject)))
}

func (p *Plan) grace() time.Duration {
	return max(minGrace, graceChunks*p.PerChunk)
}

// Complete reports whether the box has every chunk.
func (p *Plan) Complete() bool { return p.missing == 0 }

// Have returns what the box has. The caller must not change it.
func (p *Plan) Have() Bitmap { return p.have }

// Missing returns how many chunks the box lacks.
func (p *Plan) Missing() int { return p.missing }

// Unoffered returns how many chunks neither this box nor a neighbour has: they have
// yet to leave the origin, as far as is known.
func (p *Plan) Unoffered(now time.Time) int {
	n := 0
	for i := range p.Chunks {
		if !p.have.Has(i) && !p.offered(now, i) {
			n++
		}
	}
	return n
}

func (p *Plan) peer(name string) *peerState {
	s, ok := p.peers[name]
	if !ok {
		s = &peerState{has: NewBitmap(p.Chunks)}
		p.peers[name] = s
		i, _ := slices.BinarySearch(p.sorted, name)
		p.sorted = slices.Insert(p.sorted, i, name)
	}
	return s
}

// PeerHas records that a peer has chunks, and how many uploads wait there.
func (p *Plan) PeerHas(now time.Time, name string, chunks Bitmap, queue int) {
	s := p.peer(name)
	s.queue = queue
	for i := range p.Chunks {
		if chunks.Has(i) && !s.has.Has(i) {
			s.has.Set(i)
			p.rarity[i]++
			if p.rarity[i] == 1 && !p.have.Has(i) {
				p.hasMoved(now)
			}
		}
	}
}

// PeerGone forgets a peer's chunks. Its strikes are kept, so that a peer that
// sends corrupt chunks gains nothing by connecting again.
func (p *Plan) PeerGone(name string) {
	s := p.peer(name)
	for i := range p.Chunks {
		if s.has.Has(i) {
			p.rarity[i]--
		}
	}
	s.has = NewBitmap(p.Chunks)
}

// Found records that the box turned out to have a chunk.
func (p *Plan) Found(chunk int) {
	if !p.have.Has(chunk) {
		p.have.Set(chunk)
		p.missing--
	}
}

// Fetched records how a fetch ended; code is empty when the chunk is kept.
func (p *Plan) Fetched(now time.Time, chunk int, from string, code fault.Code) {
	p.endFetch(chunk, from)
	if code == "" {
		if from == Origin {
			p.hasMoved(now)
		}
		p.Found(chunk)
		return
	}
	if code == fault.StoreFull {
		p.fullTill = now.Add(fullGraces * p.grace())
		return
	}
	if from == Origin {
		// The next try asks those ahead again: when the origin comes back, one of
		// all that were waiting for it may have the chunk by then.
		delete(p.granted, chunk)
		if p.order.position[chunk] > 0 {
			p.turn[chunk] = now.Add(p.grace() / 2)
		}
		p.originAt = now.Add(originRetry/2 + time.Duration(p.Rand.Int64N(int64(originRetry))))
		return
	}
	s := p.peer(from)
	switch code {
	case fault.Corrupt:
		s.strikes++
		if s.strikes >= strikesAllowed {
			p.leaveOut(s, now.Add(leftOutFor*time.Duration(s.strikes-1)))
		}
	case fault.Busy:
		s.busy = now.Add(p.PerChunk/2 + time.Duration(p.Rand.Int64N(int64(p.PerChunk)+1)))
	case fault.Cancelled:
	case fault.NotHeld:
		if s.has.Has(chunk) {
			s.has[chunk/64] &^= 1 << (chunk % 64)
			p.rarity[chunk]--
		}
	default:
		p.leaveOut(s, now.Add(p.grace()))
	}
}

func (p *Plan) leaveOut(s *peerState, until time.Time) {
	s.notBefore = until
	p.leftOut = laterOf(p.leftOut, until)
}

func (p *Plan) endFetch(chunk int, from string) {
	for i, f := range p.fetching[chunk] {
		if f.from != from {
			continue
		}
		p.fetching[chunk] = append(p.fetching[chunk][:i], p.fetching[chunk][i+1:]...)
		p.open--
		if from == Origin {
			p.atOrigin--
		} else {
			p.peer(from).open--
		}
		break
	}
	if len(p.fetching[chunk]) == 0 {
		delete(p.fetching, chunk)
	}
}

// Others returns from whom else a chunk is being fetched, so that the caller
// can cancel what is no longer needed.
func (p *Plan) Others(chunk int) []string {
	var out []string
	for _, f := range p.fetching[chunk] {
		out = append(out, f.from)
	}
	return out
}

// LooksAfter reports whether this box is to get a chunk from the origin, now or
// when the origin can be had: it is first in the order, or those ahead have left
// it to this box.
func (p *Plan) LooksAfter(chunk int) bool {
	return !p.have.Has(chunk) && (p.order.position[chunk] == 0 || p.granted[chunk])
}

// AskedAhead records that a box ahead looks after a chunk but has not begun to
// get it: the origin is away or has a queue, and another one that asks there would
// be no help. After long it may be that box that is cut off.
func (p *Plan) AskedAhead(now time.Time, chunk int) {
	delete(p.asking, chunk)
	if p.waited[chunk].IsZero() {
		p.waited[chunk] = now
	}
	if now.Sub(p.waited[chunk]) >= mostWaited {
		p.granted[chunk] = true
		p.turn[chunk] = now
		return
	}
	p.turn[chunk] = now.Add(p.grace())
}

// Asked records the answer to an Action with Ask: whether a box ahead has the
// chunk or is getting it. If none does, this box's turn has come. So it has if
// one says so again and again and no neighbour ever gets the chunk: it may be
// unable to pass it on, or passes it on corrupt.
func (p *Plan) Asked(now time.Time, chunk int, someoneHas bool) {
	delete(p.asking, chunk)
	p.putOff[chunk]++
	if someoneHas && p.putOff[chunk] < mostPutOff {
		p.turn[chunk] = now.Add(p.grace())
		return
	}
	p.granted[chunk] = true
	p.turn[chunk] = now
}

// Next returns what to do now, and when to call again if nothing happens.
func (p *Plan) Next(now time.Time) (todo []Action, wake time.Time) {
	wake = now.Add(p.grace())
	if p.missing == 0 {
		return nil, wake
	}
	if p.fullTill.After(now) {
		return nil, p.fullTill
	}
	todo = p.duties(now, &wake, todo)
	for p.open < p.mayOpen() {
		a, ok := p.best(now, &wake)
		if !ok {
			a, ok = p.spareFetch(now)
		}
		if !ok {
			break
		}
		todo = append(todo, p.begin(now, a))
	}
	return todo, wake
}

func (p *Plan) begin(now time.Time, a Action) Action {
	p.fetching[a.Chunk] = append(p.fetching[a.Chunk], fetch{a.From, now})
	p.open++
	if a.From == Origin {
		p.atOrigin++
	} else {
		p.peer(a.From).open++
	}
	return a
}
