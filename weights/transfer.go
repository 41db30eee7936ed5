package weights

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// Transfer fetches one artifact to this box and serves it to other boxes. Set the exported
// fields, then call Run. It continues to serve after completion, until its context ends.
type Transfer struct {
	Exchange     *Exchange
	Artifact     string          // Digest of the manifest, or another name that FetchOrigin accepts.
	Window       time.Duration   // The time in which the origin's link carries OriginCopies.
	OriginCopies float64         // Copies that the origin's link can carry in Window.
	SpareCopies  float64         // Copies beyond the first that may leave the origin.
	Members      func() []Member // Returns the boxes to which the artifact is assigned, including this one.
	// StartAt is when the artifact was assigned, so that a box that joins or restarts shortly
	// afterwards follows the same schedule as the others. Zero means now.
	StartAt time.Time
	// Accept, if set, returns an error for a manifest that can't be that of the artifact. Another
	// one is requested then. It is for artifact names that are not digests.
	Accept func(m *Manifest) error
	// Prepare, if set, is called once the manifest is available, so that the caller can put
	// chunks that it already has into the store. Until it returns, chunks are fetched from
	// other boxes only, not from the origin.
	Prepare func(ctx context.Context, m *Manifest)

	once     sync.Once
	complete chan struct{}
	ready    chan struct{} // Closed when the manifest is available.

	mu             sync.Mutex
	plan           *Plan // Nil until the manifest is available.
	manifest       *Manifest
	chunks         []Chunk
	missingAtFirst int       // Chunks that were missing before the one that arrived at firstChunkAt.
	firstChunkAt   time.Time // When the first chunk arrived, or the first after a pause of ratePause; zero before.
	lastChunkAt    time.Time // When the last chunk so far arrived; zero before.
	completedAt    time.Time // When the last chunk arrived; zero before.
	yieldOrigin    bool
	singleFetch    bool
	sessions       map[string]*session
	cancels        map[fetchKey]context.CancelFunc
	wake           chan struct{} // Signals an event to the loop. Capacity 1 suffices, as one step handles all events.
}

type fetchKey struct {
	chunk int
	from  string
}

// session is an open session with a neighbour.
type session struct {
	peer   Member
	conn   *wire.Conn
	unsent []int
	gossip Gossip // Not sent yet.
	wake   chan struct{}
}

func (t *Transfer) init() {
	t.once.Do(func() {
		t.complete = make(chan struct{})
		t.ready = make(chan struct{})
		t.wake = make(chan struct{}, 1)
		t.sessions = map[string]*session{}
		t.cancels = map[fetchKey]context.CancelFunc{}
	})
}

// Run fetches the artifact and serves it until ctx ends.
func (t *Transfer) Run(ctx context.Context) error {
	t.init()
	x := t.Exchange
	x.addTransfer(t)
	defer x.removeTransfer(t)
	data, err := t.getManifest(ctx)
	if err != nil {
		return err
	}
	if err := t.start(data); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	if t.Prepare != nil {
		wg.Go(func() {
			t.Prepare(ctx, t.Manifest())
			t.endPrepare()
		})
	}
	wg.Go(func() { t.keepNeighbours(ctx) })
	if !t.justStarted(time.Now()) {
		t.awaitNeighbours(ctx)
	}
	t.loop(ctx, &wg)
	return nil
}

// endPrepare marks the chunks that Prepare has stored as held, and allows use of the origin.
func (t *Transfer) endPrepare() {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.plan.Complete()
	for i, c := range t.chunks {
		if _, ok := t.Exchange.Store.Get(c.Digest); ok && !t.plan.Have().Has(i) {
			t.plan.MarkHeld(i)
			t.announce(i)
		}
	}
	t.plan.HoldOrigin = false
	if !before && t.plan.Complete() {
		t.markComplete()
	}
	t.notify()
}

// justStarted reports whether the artifact was assigned so recently that no other box can have
// had chunks for long.
func (t *Transfer) justStarted(now time.Time) bool {
	const recent = time.Second
	return !t.StartAt.IsZero() && now.Sub(t.StartAt) < recent
}

// markComplete records completion. The caller holds t.mu.
func (t *Transfer) markComplete() {
	t.completedAt = time.Now()
	close(t.complete)
}

// awaitNeighbours waits briefly for the Join messages of neighbours, so that a box that joins
// late does not fetch chunks from the origin that its neighbours have.
func (t *Transfer) awaitNeighbours(ctx context.Context) {
	const least, most, chunks = 60 * time.Millisecond, 200 * time.Millisecond, 3
	timeout := max(least, min(most, chunks*t.plan.ChunkTime))
	wait, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-wait.Done()
}

func (t *Transfer) start(data []byte) error {
	m, err := ParseManifest(data, t.Artifact)
	if err != nil {
		return err
	}
	chunks := m.Chunks()
	have, digests := NewBitmap(len(chunks)), make([]string, len(chunks))
	for i, c := range chunks {
		digests[i] = c.Digest
	}
	t.Exchange.Store.Pin(t.Artifact, digests)
	for i, d := range digests {
		if _, ok := t.Exchange.Store.Get(d); ok {
			have.Set(i)
		}
	}
	p := &Plan{
		Self: t.Exchange.Self.Name, Strategy: t.Exchange.Strategy, Chunks: len(chunks), StartAt: t.startTime(time.Now()),
		Parallel: t.Exchange.Parallel, AdaptiveParallel: t.Exchange.AdaptiveParallel, OriginParallel: t.Exchange.OriginParallel,
		OriginCopyTime: time.Duration(float64(t.Window) / t.OriginCopies), SpareCopies: t.SpareCopies,
		ChunkTime: t.Window / 2 / time.Duration(max(1, len(chunks))), HoldOrigin: t.Prepare != nil,
		Seq:     uint64(time.Now().UnixMicro()),
		Stagger: staggerFlushes*orDefault(t.Exchange.FlushInterval, defaultFlush) + staggerMargin,
	}
	members := t.Members()
	if t.Exchange.PreferHall {
		p.HallMembers = t.hallMembers(members)
	}
	p.Init(have, memberNames(members))
	p.currentParallel = t.Exchange.openFetches() // All transfers share the link.
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan, t.manifest, t.chunks, t.missingAtFirst = p, m, chunks, p.Missing()
	p.YieldOrigin, p.SingleFetch = t.yieldOrigin, t.singleFetch
	close(t.ready)
	if p.Complete() {
		t.markComplete()
	}
	return nil
}

// A claim reaches all boxes after three or four flushes, and network latency adds a margin.
const (
	staggerFlushes = 4
	staggerMargin  = 50 * time.Millisecond
)

// startTime returns the start of the plan's schedule: StartAt, unless that is longer ago than
// Window.
func (t *Transfer) startTime(now time.Time) time.Time {
	if t.StartAt.IsZero() || now.Sub(t.StartAt) > t.Window {
		return now
	}
	return t.StartAt
}

// hallMembers returns the names of the members in this box's hall.
func (t *Transfer) hallMembers(members []Member) []string {
	out := []string{}
	for _, m := range members {
		if m.Hall == t.Exchange.Self.Hall {
			out = append(out, m.Name)
		}
	}
	return out
}

func memberNames(ms []Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Name
	}
	return out
}

// loop starts the fetches of the plan whenever an event occurs or the wake-up time of the plan
// has come.
func (t *Transfer) loop(ctx context.Context, wg *sync.WaitGroup) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		}
		t.mu.Lock()
		todo, wake := t.plan.Next(time.Now())
		t.spreadGossip("")
		t.mu.Unlock()
		timer.Reset(time.Until(wake))
		for _, a := range todo {
			wg.Go(func() { t.runFetch(ctx, a) })
		}
	}
}

func (t *Transfer) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transfer) runFetch(ctx context.Context, a Action) {
	key := fetchKey{a.Chunk, a.From}
	fctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.cancels[key] = cancel
	c := t.chunks[a.Chunk]
	s := t.sessions[a.From]
	t.mu.Unlock()
	kind, data, err := t.fetch(fctx, a, c, s)
	if err == nil {
		err = t.Exchange.Store.Put(c.Digest, data)
	}
	t.endFetch(a, kind, len(data), err)
}

func (t *Transfer) fetch(ctx context.Context, a Action, c Chunk, s *session) (EventKind, []byte, error) {
	if a.From == Origin {
		data, err := t.Exchange.FetchOrigin(ctx, c.Digest, c.Size)
		if fault.Is(err, fault.TooLarge) { // A spoilt chunk; the origin still serves.
			err = fault.Wrap(fault.Corrupt, err, "origin")
		}
		return EventOrigin, data, err
	}
	if s == nil {
		return EventPeerInHall, nil, fault.New(fault.ConnectionLost, a.From)
	}
	kind := EventPeerAcross
	if s.peer.Hall == t.Exchange.Self.Hall {
		kind = EventPeerInHall
	}
	data, err := t.receive(ctx, s, c)
	return kind, data, err
}

// receive fetches a chunk from a neighbour and reports the transfer time to the plan: at the
// end, or as soon as the transfer counts as slow.
func (t *Transfer) receive(ctx context.Context, s *session, c Chunk) ([]byte, error) {
	var slow sync.Once
	observe := func(took time.Duration) {
		slow.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.plan.ObserveTransferTime(took)
		})
	}
	first, next := t.partTimeouts()
	after := t.plan.slowAfter()
	data, took, err := fetchFromPeer(ctx, s.conn, c.Digest, c.Size, receiveOptions{
		firstTimeout: first, nextTimeout: next, slowAfter: after, onSlow: func() { observe(after + 1) },
	})
	if err == nil {
		observe(took)
	}
	return data, err
}

// partTimeouts returns the time to wait for the first part of a chunk, which includes the
// queue at the sender, and for each further part.
func (t *Transfer) partTimeouts() (first, next time.Duration) {
	const firstChunks, nextChunks, least = 16, 4, 2 * time.Second
	per := t.plan.ChunkTime
	return max(least, firstChunks*per), max(least, nextChunks*per)
}

func (t *Transfer) endFetch(a Action, kind EventKind, size int, err error) {
	code := fault.CodeOf(err)
	t.countFetch(kind, size, code)
	t.mu.Lock()
	delete(t.cancels, fetchKey{a.Chunk, a.From})
	before := t.plan.Complete()
	had := t.plan.Have().Has(a.Chunk)
	t.plan.FetchEnded(time.Now(), a.Chunk, a.From, code)
	t.spreadGossip("")
	if code == "" && !had {
		t.announce(a.Chunk)
		t.recordArrival(time.Now())
	}
	if !before && t.plan.Complete() {
		t.markComplete()
	}
	t.mu.Unlock()
	t.notify()
}

func (t *Transfer) countFetch(kind EventKind, size int, code fault.Code) {
	x := t.Exchange
	switch code {
	case "":
		x.event(kind, size)
	case fault.Corrupt:
		x.event(EventCorrupt, size)
	case fault.LinkStalled:
		x.event(EventStall, 0)
	case fault.Busy, fault.Throttled:
		x.event(EventRefused, 0)
	case fault.StoreFull:
		x.event(EventStoreFull, 0)
	}
}

// spreadGossip queues new gossip for every neighbour except the one from which it was
// received. It also reports takeovers, and cancels fetches of chunks that were left to another
// box. The caller holds t.mu.
func (t *Transfer) spreadGossip(from string) {
	for range t.plan.TakeTakeovers() {
		t.Exchange.event(EventTakeover, 0)
	}
	for _, chunk := range t.plan.TakeYielded() {
		if cancel := t.cancels[fetchKey{chunk, Origin}]; cancel != nil {
			cancel()
		}
	}
	g := t.plan.TakeGossip()
	if g.Empty() {
		return
	}
	for name, s := range t.sessions {
		if name != from {
			s.gossip.merge(g)
			s.notify()
		}
	}
}

// notify wakes the sender of the session.
func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// announce queues a chunk for every neighbour and cancels other fetches of the chunk. The
// caller holds t.mu.
func (t *Transfer) announce(chunk int) {
	for _, s := range t.sessions {
		s.unsent = append(s.unsent, chunk)
		s.notify()
	}
	for _, from := range t.plan.FetchSources(chunk) {
		if cancel := t.cancels[fetchKey{chunk, from}]; cancel != nil {
			cancel()
		}
	}
}
