package weights

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/times"
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
	perPeer         = 1                      // Open fetches from one peer.
	defaultAtOrigin = 2                      // Open fetches from the origin.
	graceChunks     = 24                     // A peer that failed is left out for it, and a box without peers gives each box ahead it,
	minGrace        = time.Second            // or this if that is longer.
	slowChunks      = 12                     // After it a second fetch of a chunk may start.
	strikesAllowed  = 2                      // Corrupt chunks after which a peer is left out
	leftOutFor      = 30 * time.Second       // for this, and longer each time.
	slowFetch       = 14                     // Of so many, a fetch shows that this box's link is slower than it should be.
	easeBack        = 0.1                    // Fetches regained by each one that is not.
	acrossGrace     = 500 * time.Millisecond // Between the turns of two boxes of a hall in bringing a chunk there.
	fullGraces      = 5                      // Without room, nothing is fetched for so many graces.
)

// Action is one thing to do.
type Action struct {
	Chunk int
	From  string // A peer's name, or Origin.
}

// Plan decides what one box fetches next. It does no I/O and is given the time.
// Set the exported fields, then call Init. It is not safe for concurrent use.
type Plan struct {
	Self             string
	Strategy         Strategy
	Chunks           int
	StartAt          time.Time     // When this box first wanted the artifact.
	OriginCopyTime   time.Duration // The origin's link carries one copy in it.
	ChunkTime        time.Duration // One chunk takes this on a box's idle link.
	SpareCopies      float64       // Copies beyond the first that may leave the origin.
	Rand             *rand.Rand
	Parallel         int  // Fetches that a box has open; 8 by default.
	OriginParallel   int  // Fetches that a box has open from the origin; 2 by default.
	AdaptiveParallel bool // Have fewer open while they take long.
	HoldOrigin       bool // Leave the origin alone: the box may turn out to have more already.
	SingleFetch      bool // Have no more than one fetch open from a peer, and one from the origin.
	YieldOrigin      bool // Leave the origin alone: another artifact goes first.
	// Stagger is the time between the turns of two boxes in a chunk's order: longer than
	// a claim takes to reach all boxes.
	Stagger time.Duration
	// Seq is that of the last claim of this box: of an earlier process, at the start.
	Seq uint64
	// HallMembers are the boxes of this box's hall, itself among them. Where it is set, a
	// chunk that one of them has comes from them; one that only other halls have
	// is brought by the first of Near in the chunk's order, and by the next ones
	// if that is late. Nil makes no difference between halls.
	HallMembers []string

	have      Bitmap
	missing   int
	names     []string
	order     order            // Who looks after each chunk.
	ranks     map[int][]string // The whole order of some chunks, worked out as it is needed.
	dueAt     []time.Time      // Since when a chunk is due at the origin and not claimed; zero if it is not.
	dueTo     int              // Chunks from this one on were not due at the last look.
	turn      []time.Time      // Of a chunk that is due, when this box may claim it.
	claims    []claim
	leftUntil []time.Time          // A chunk that has left the origin is looked for at other boxes until then.
	spoilt    map[int]int          // Spoilt answers of the origin.
	silent    map[string]time.Time // Boxes that let a turn pass, until when they are not waited for.
	origin    originState
	connected int               // Neighbours with which there is a session,
	met       bool              // of which there was one before.
	heardAt   time.Time         // When a neighbour last told of anything; zero before.
	seqs      map[string]uint64 // The last claim heard of each box.
	news      Gossip
	yielded   []int // Chunks that are left to another box, to be cancelled.
	asked     int   // Fetches from the origin that were begun.
	takeovers int   // Chunks claimed after others had let their turns pass.
	rarity    []int // Peers known to have a chunk.
	fetching  map[int][]fetch
	peers     map[string]*peerState
	sorted    []*peerState // The peers by name, so that a plan is repeatable.
	open      int
	atOrigin  int
	spare     int       // Chunks that this box may still fetch beyond its duty.
	leftOut   time.Time // Some peer is left out until then.
	fullTill  time.Time // The store had no room; nothing is fetched until then.
	tieBreak  []int
	parallel  float64 // Fetches that may be open now: fewer where the link turns out slow. Zero is the usual.
	near      map[string]bool
	across    []int       // Boxes of Near ahead of this one in bringing a chunk from another hall.
	offeredAt []time.Time // When another hall was first seen to have a chunk; zero if none was.
}

type fetch struct {
	from  string
	since time.Time
}

type peerState struct {
	connected bool
	name      string
	near      bool // Of this box's hall.
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
	p.spoilt, p.silent, p.seqs = map[int]int{}, map[string]time.Time{}, map[string]uint64{}
	p.dueAt, p.turn, p.leftUntil = make([]time.Time, p.Chunks), make([]time.Time, p.Chunks), make([]time.Time, p.Chunks)
	p.claims = make([]claim, p.Chunks)
	p.tieBreak = p.Rand.Perm(p.Chunks)
	p.offeredAt = make([]time.Time, p.Chunks)
	p.SetMembers(members)
	p.SetHallMembers(p.HallMembers)
	p.spare = int(p.SpareCopies*float64(p.Chunks)/float64(max(1, len(members))) + p.Rand.Float64())
}

// SetMembers tells which boxes want the artifact now, this one among them.
func (p *Plan) SetMembers(names []string) {
	p.names = names
	if p.order.first != nil && p.Complete() {
		return // Nothing is left to be looked after, and an order of many boxes takes long.
	}
	p.ranks = map[int][]string{}
	p.order = order{first: make([]string, p.Chunks), position: make([]int, p.Chunks)}
	if p.Strategy.OrderKey != nil {
		p.order = orderOf(p.Strategy.OrderKey, p.Chunks, p.Self, names, p.Strategy.Balanced)
	}
}

// SetHallMembers tells which boxes of this box's hall want the artifact now.
func (p *Plan) SetHallMembers(names []string) {
	p.HallMembers = names
	if names == nil || p.Strategy.OrderKey == nil {
		p.near = nil
		return
	}
	p.near = map[string]bool{}
	for _, n := range names {
		p.near[n] = true
	}
	for _, s := range p.sorted {
		s.near = p.near[s.name]
	}
	across := func(chunk int) string { return "across/" + p.Strategy.OrderKey(chunk) }
	p.across = orderOf(across, p.Chunks, p.Self, names, p.Strategy.Balanced).position
}

func (p *Plan) grace() time.Duration {
	return max(minGrace, graceChunks*p.ChunkTime)
}

// Complete reports whether the box has every chunk.
func (p *Plan) Complete() bool { return p.missing == 0 }

// Have returns what the box has. The caller must not change it.
func (p *Plan) Have() Bitmap { return p.have }

// Missing returns how many chunks the box lacks.
func (p *Plan) Missing() int { return p.missing }

// Unseeded returns how many chunks no box is known to have: they have yet to leave the
// origin.
func (p *Plan) Unseeded(now time.Time) int {
	n := 0
	for i := range p.Chunks {
		if !p.have.Has(i) && !p.hasLeft(now, i) {
			n++
		}
	}
	return n
}

func (p *Plan) peer(name string) *peerState {
	s, ok := p.peers[name]
	if !ok {
		s = &peerState{name: name, near: p.near[name], has: NewBitmap(p.Chunks)}
		p.peers[name] = s
		i, _ := slices.BinarySearchFunc(p.sorted, name, func(o *peerState, n string) int { return strings.Compare(o.name, n) })
		p.sorted = slices.Insert(p.sorted, i, s)
	}
	return s
}

// PeerHas records that a peer has chunks, and how many uploads wait there.
func (p *Plan) PeerHas(now time.Time, name string, chunks Bitmap, queue int) {
	s := p.peer(name)
	if !s.connected {
		s.connected, p.met = true, true
		p.connected++
	}
	s.queue = queue
	for i := range p.Chunks {
		if chunks.Has(i) && !s.has.Has(i) {
			s.has.Set(i)
			p.rarity[i]++
			p.left(now, i)
		}
	}
}

// PeerDisconnected forgets a peer's chunks. Its strikes are kept, so that a peer that
// sends corrupt chunks gains nothing by connecting again.
func (p *Plan) PeerDisconnected(name string) {
	s := p.peer(name)
	if s.connected {
		s.connected = false
		p.connected--
	}
	for i := range p.Chunks {
		if s.has.Has(i) {
			p.rarity[i]--
		}
	}
	s.has = NewBitmap(p.Chunks)
}

// MarkHeld records that the box turned out to have a chunk.
func (p *Plan) MarkHeld(chunk int) {
	if !p.have.Has(chunk) {
		p.have.Set(chunk)
		p.missing--
	}
}

// FetchEnded records how a fetch ended; code is empty when the chunk is kept.
func (p *Plan) FetchEnded(now time.Time, chunk int, from string, code fault.Code) {
	p.endFetch(chunk, from)
	if code == "" {
		if from == Origin {
			p.origin.troubles, p.origin.failedAt = 0, time.Time{}
			p.moved(now)
		}
		p.claims[chunk].until, p.dueAt[chunk] = time.Time{}, time.Time{}
		p.MarkHeld(chunk)
		return
	}
	if code == fault.StoreFull {
		p.release(chunk, false)
		p.fullTill = now.Add(fullGraces * p.grace())
		return
	}
	if from == Origin {
		switch code {
		case fault.Corrupt:
			p.originSpoilt(now, chunk)
		case fault.Cancelled:
			p.release(chunk, false)
		default:
			p.originFailed(now, chunk)
		}
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
		s.busy = now.Add(p.ChunkTime/2 + time.Duration(p.Rand.Int64N(int64(p.ChunkTime)+1)))
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
	p.leftOut = times.Later(p.leftOut, until)
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

// FetchSources returns from whom else a chunk is being fetched, so that the caller
// can cancel what is no longer needed.
func (p *Plan) FetchSources(chunk int) []string {
	var out []string
	for _, f := range p.fetching[chunk] {
		out = append(out, f.from)
	}
	return out
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
