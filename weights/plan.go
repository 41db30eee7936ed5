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

// Origin is the name of the origin as the source of actions and fetches.
const Origin = ""

// defaultParallel and the defaults of an Exchange are based on the measurements in
// docs/design/weights.md.
const defaultParallel = 8

// Parameters of a Plan. Values in chunks are multiples of the transfer time of one chunk on a
// box's idle link.
const (
	fetchesPerPeer  = 1                      // Open fetches from one peer.
	defaultAtOrigin = 2                      // Open fetches from the origin.
	graceChunks     = 24                     // The grace period, in chunks: a failed peer is excluded for it, and an isolated box waits for it for each box ranked before it;
	minGrace        = time.Second            // it is at least this long.
	slowChunks      = 12                     // Age of a fetch, in chunks, after which a second fetch of the same chunk may start.
	maxStrikes      = 2                      // Corrupt chunks after which a peer is excluded.
	excludeFor      = 30 * time.Second       // Duration of that exclusion, which grows with every further corrupt chunk.
	slowFetchChunks = 14                     // Transfer time, in chunks, above which a fetch shows that this box's link is slower than expected.
	parallelStep    = 0.1                    // Increase of the number of open fetches after a fetch that is not slow.
	crossHallTurn   = 500 * time.Millisecond // Between the turns of consecutive boxes of a hall to fetch a chunk from another hall.
	fullGraces      = 5                      // When the store is full, nothing is fetched for this many grace periods.
)

// Action is one fetch to start.
type Action struct {
	Chunk int
	From  string // Name of a peer, or Origin.
}

// Plan decides which chunks one box fetches next and from which source. It does no I/O, and
// the current time is passed to its methods. Set the exported fields, then call Init. It is
// not safe for concurrent use.
type Plan struct {
	Self             string
	Strategy         Strategy
	Chunks           int
	StartAt          time.Time     // When the artifact was assigned to this box.
	OriginCopyTime   time.Duration // Transfer time of one copy on the origin's link.
	ChunkTime        time.Duration // Transfer time of one chunk on a box's idle link.
	SpareCopies      float64       // Copies beyond the first that may leave the origin.
	Rand             *rand.Rand
	Parallel         int  // Maximum of open fetches; 8 by default.
	OriginParallel   int  // Maximum of open fetches from the origin; 2 by default.
	AdaptiveParallel bool // Reduce the number of open fetches while transfers are slow.
	HoldOrigin       bool // Do not use the origin yet: the box may already have more chunks.
	SingleFetch      bool // Limit open fetches to one from a peer and one from the origin.
	YieldOrigin      bool // Do not use the origin: another artifact has priority.
	// Stagger is the time between the turns of consecutive boxes in a chunk's ranking. It must
	// exceed the time that a claim takes to reach all boxes.
	Stagger time.Duration
	// Seq is the sequence number of the last claim of this box. It must start above those of
	// earlier processes of the box.
	Seq uint64
	// HallMembers are the names of the members in this box's hall, including the box itself.
	// If set, a chunk that a box of the hall has is fetched within the hall. A chunk that only
	// other halls have is fetched by the first of HallMembers in the chunk's ranking, and by
	// the next ones if that takes too long. If nil, halls are not distinguished.
	HallMembers []string

	have            Bitmap
	missing         int
	members         []string
	order           order            // First box and own position, by chunk.
	ranks           map[int][]string // Full rankings of chunks, computed on demand.
	dueSince        []time.Time      // Since when a chunk has been due at the origin and unclaimed; zero otherwise.
	dueEnd          int              // Chunks from this index on were not due at the last call of due.
	turnAt          []time.Time      // For a chunk that is due, when this box may claim it.
	claims          []claim
	seededUntil     []time.Time          // A chunk that has left the origin is requested from other boxes only until then.
	corruptAnswers  map[int]int          // Corrupt answers of the origin, by chunk.
	skipUntil       map[string]time.Time // Boxes that missed a turn, and until when rankings skip them.
	origin          originState
	connected       int               // Neighbours with an open session.
	hadNeighbour    bool              // Whether there has been a session with any neighbour.
	heardAt         time.Time         // When gossip was last received; zero before.
	lastSeq         map[string]uint64 // Sequence number of the last claim received, by box.
	gossip          Gossip
	yielded         []int // Chunks left to another box, whose fetches must be cancelled.
	originRequests  int   // Fetches from the origin started so far.
	takeovers       int   // Chunks claimed after the boxes ranked before this one missed their turns.
	holders         []int // Number of peers that have a chunk, by chunk.
	fetching        map[int][]fetch
	peers           map[string]*peerState
	sorted          []*peerState // Peers sorted by name, so that decisions are deterministic.
	openFetches     int
	openAtOrigin    int
	spareChunks     int       // Chunks that this box may still fetch from the origin as spare copies.
	excludedUntil   time.Time // Some peer is excluded until then.
	fullUntil       time.Time // The store was full; nothing is fetched until then.
	tieBreak        []int
	currentParallel float64 // Current limit of open fetches, reduced while the link is slow. Zero means the default.
	inHall          map[string]bool
	hallPosition    []int       // Number of HallMembers ranked before this box to fetch a chunk from another hall, by chunk.
	crossHallSince  []time.Time // When a chunk was first seen to be available in another hall only; zero if it was not.
}

type fetch struct {
	from  string
	since time.Time
}

type peerState struct {
	connected     bool
	name          string
	inHall        bool // In this box's hall.
	has           Bitmap
	queue         int // Uploads in progress or waiting at the peer, as last reported.
	openFetches   int
	strikes       int
	excludedUntil time.Time // Excluded after failures until then.
	busyUntil     time.Time // The peer had no free upload slot; it is not asked again before then.
}

// Init prepares the plan; have is the set of chunks that the box already has.
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
	p.holders = make([]int, p.Chunks)
	p.fetching = map[int][]fetch{}
	p.peers = map[string]*peerState{}
	p.corruptAnswers, p.skipUntil, p.lastSeq = map[int]int{}, map[string]time.Time{}, map[string]uint64{}
	p.dueSince, p.turnAt, p.seededUntil = make([]time.Time, p.Chunks), make([]time.Time, p.Chunks), make([]time.Time, p.Chunks)
	p.claims = make([]claim, p.Chunks)
	p.tieBreak = p.Rand.Perm(p.Chunks)
	p.crossHallSince = make([]time.Time, p.Chunks)
	p.SetMembers(members)
	p.SetHallMembers(p.HallMembers)
	p.spareChunks = int(p.SpareCopies*float64(p.Chunks)/float64(max(1, len(members))) + p.Rand.Float64())
}

// SetMembers sets the boxes to which the artifact is assigned, including this one.
func (p *Plan) SetMembers(names []string) {
	p.members = names
	if p.order.first != nil && p.Complete() {
		return // No chunk is left to fetch, and computing the order for many boxes is expensive.
	}
	p.ranks = map[int][]string{}
	p.order = order{first: make([]string, p.Chunks), position: make([]int, p.Chunks)}
	if p.Strategy.OrderKey != nil {
		p.order = computeOrder(p.Strategy.OrderKey, p.Chunks, p.Self, names, p.Strategy.Balanced)
	}
}

// SetHallMembers sets the members in this box's hall.
func (p *Plan) SetHallMembers(names []string) {
	p.HallMembers = names
	if names == nil || p.Strategy.OrderKey == nil {
		p.inHall = nil
		return
	}
	p.inHall = map[string]bool{}
	for _, n := range names {
		p.inHall[n] = true
	}
	for _, s := range p.sorted {
		s.inHall = p.inHall[s.name]
	}
	across := func(chunk int) string { return "across/" + p.Strategy.OrderKey(chunk) }
	p.hallPosition = computeOrder(across, p.Chunks, p.Self, names, p.Strategy.Balanced).position
}

func (p *Plan) grace() time.Duration {
	return max(minGrace, graceChunks*p.ChunkTime)
}

// Complete reports whether the box has every chunk.
func (p *Plan) Complete() bool { return p.missing == 0 }

// Have returns the chunks that the box has. The caller must not modify the result.
func (p *Plan) Have() Bitmap { return p.have }

// Missing returns the number of missing chunks.
func (p *Plan) Missing() int { return p.missing }

// Unseeded returns the number of chunks that no box is known to have received from the origin.
func (p *Plan) Unseeded(now time.Time) int {
	n := 0
	for i := range p.Chunks {
		if !p.have.Has(i) && !p.isSeeded(now, i) {
			n++
		}
	}
	return n
}

func (p *Plan) peer(name string) *peerState {
	s, ok := p.peers[name]
	if !ok {
		s = &peerState{name: name, inHall: p.inHall[name], has: NewBitmap(p.Chunks)}
		p.peers[name] = s
		i, _ := slices.BinarySearchFunc(p.sorted, name, func(o *peerState, n string) int { return strings.Compare(o.name, n) })
		p.sorted = slices.Insert(p.sorted, i, s)
	}
	return s
}

// PeerHas records that a peer has chunks, and the load of its upload slots.
func (p *Plan) PeerHas(now time.Time, name string, chunks Bitmap, queue int) {
	s := p.peer(name)
	if !s.connected {
		s.connected, p.hadNeighbour = true, true
		p.connected++
	}
	s.queue = queue
	for i := range p.Chunks {
		if chunks.Has(i) && !s.has.Has(i) {
			s.has.Set(i)
			p.holders[i]++
			p.markSeeded(now, i)
		}
	}
}

// PeerDisconnected removes a peer's chunks. The count of its corrupt chunks is kept, so that a
// peer that sends corrupt chunks cannot reset it by reconnecting.
func (p *Plan) PeerDisconnected(name string) {
	s := p.peer(name)
	if s.connected {
		s.connected = false
		p.connected--
	}
	for i := range p.Chunks {
		if s.has.Has(i) {
			p.holders[i]--
		}
	}
	s.has = NewBitmap(p.Chunks)
}

// MarkHeld records that the box has a chunk.
func (p *Plan) MarkHeld(chunk int) {
	if !p.have.Has(chunk) {
		p.have.Set(chunk)
		p.missing--
	}
}

// FetchEnded records the end of a fetch. The code is empty if the chunk was stored.
func (p *Plan) FetchEnded(now time.Time, chunk int, from string, code fault.Code) {
	p.endFetch(chunk, from)
	if code == "" {
		if from == Origin {
			p.origin.loneFailures, p.origin.failedAt = 0, time.Time{}
			p.originServed(now)
		}
		p.claims[chunk].expiresAt, p.dueSince[chunk] = time.Time{}, time.Time{}
		p.MarkHeld(chunk)
		return
	}
	if code == fault.StoreFull {
		p.release(chunk, false)
		p.fullUntil = now.Add(fullGraces * p.grace())
		return
	}
	if from == Origin {
		switch code {
		case fault.Corrupt:
			p.originCorrupt(now, chunk)
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
		if s.strikes >= maxStrikes {
			p.exclude(s, now.Add(excludeFor*time.Duration(s.strikes-1)))
		}
	case fault.Busy:
		s.busyUntil = now.Add(p.ChunkTime/2 + time.Duration(p.Rand.Int64N(int64(p.ChunkTime)+1)))
	case fault.Cancelled:
	case fault.NotHeld:
		if s.has.Has(chunk) {
			s.has[chunk/64] &^= 1 << (chunk % 64)
			p.holders[chunk]--
		}
	default:
		p.exclude(s, now.Add(p.grace()))
	}
}

func (p *Plan) exclude(s *peerState, until time.Time) {
	s.excludedUntil = until
	p.excludedUntil = times.Later(p.excludedUntil, until)
}

func (p *Plan) endFetch(chunk int, from string) {
	for i, f := range p.fetching[chunk] {
		if f.from != from {
			continue
		}
		p.fetching[chunk] = append(p.fetching[chunk][:i], p.fetching[chunk][i+1:]...)
		p.openFetches--
		if from == Origin {
			p.openAtOrigin--
		} else {
			p.peer(from).openFetches--
		}
		break
	}
	if len(p.fetching[chunk]) == 0 {
		delete(p.fetching, chunk)
	}
}

// FetchSources returns the sources from which a chunk is still being fetched, so that the
// caller can cancel those fetches.
func (p *Plan) FetchSources(chunk int) []string {
	var out []string
	for _, f := range p.fetching[chunk] {
		out = append(out, f.from)
	}
	return out
}

// Next returns the fetches to start now, and when to call it again if no event occurs before.
func (p *Plan) Next(now time.Time) (todo []Action, wake time.Time) {
	wake = now.Add(p.grace())
	if p.missing == 0 {
		return nil, wake
	}
	if p.fullUntil.After(now) {
		return nil, p.fullUntil
	}
	todo = p.originFetches(now, &wake, todo)
	for p.openFetches < p.fetchLimit() {
		a, ok := p.bestFetch(now, &wake)
		if !ok {
			a, ok = p.spareFetch(now)
		}
		if !ok {
			break
		}
		todo = append(todo, p.startFetch(now, a))
	}
	return todo, wake
}

func (p *Plan) startFetch(now time.Time, a Action) Action {
	p.fetching[a.Chunk] = append(p.fetching[a.Chunk], fetch{a.From, now})
	p.openFetches++
	if a.From == Origin {
		p.openAtOrigin++
	} else {
		p.peer(a.From).openFetches++
	}
	return a
}
