package weights

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// Transfer brings one artifact to this box and passes it on. Set the exported
// fields, then Run it. It goes on serving after it is complete, until its
// context ends.
type Transfer struct {
	Exchange     *Exchange
	Artifact     string // Digest of the manifest.
	Window       time.Duration
	OriginCopies float64         // Copies that the origin's link carries in Window.
	SpareCopies  float64         // Copies beyond the first that may leave the origin.
	Members      func() []Member // The boxes that want the artifact now, this one among them.
	// StartAt is when the boxes began to want the artifact, so that one that joins or
	// restarts a little later keeps to the others' schedule. Zero is now.
	StartAt time.Time
	// Prepare, if set, is called once the manifest is here, so that the caller can
	// put into the store what it has already. Until it returns, chunks come from
	// other boxes only, and the origin is left alone.
	Prepare func(ctx context.Context, m *Manifest)

	once     sync.Once
	complete chan struct{}
	begun    chan struct{} // Closed when the manifest is here.

	mu             sync.Mutex
	plan           *Plan // Nil until the manifest is here.
	manifest       *Manifest
	chunks         []Chunk
	missingAtFirst int
	firstAt        time.Time // When the first chunk came; zero before.
	wholeAt        time.Time // When the last one did.
	yields         bool
	few            bool
	sessions       map[string]*session
	cancels        map[fetchKey]context.CancelFunc
	poke           chan struct{} // Something happened; a ring of one, since one look finds all.
}

type fetchKey struct {
	chunk int
	from  string
}

// session is a neighbour that tells what it has.
type session struct {
	peer   Member
	conn   *wire.Conn
	unsent []int
	news   Gossip // Not told yet.
	wake   chan struct{}
}

func (t *Transfer) init() {
	t.once.Do(func() {
		t.complete = make(chan struct{})
		t.begun = make(chan struct{})
		t.poke = make(chan struct{}, 1)
		t.sessions = map[string]*session{}
		t.cancels = map[fetchKey]context.CancelFunc{}
	})
}

// Run fetches until complete and serves until ctx ends.
func (t *Transfer) Run(ctx context.Context) error {
	t.init()
	x := t.Exchange
	x.addTransfer(t)
	defer x.dropTransfer(t)
	data, err := t.getManifest(ctx)
	if err != nil {
		return err
	}
	if err := t.begin(data); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	if t.Prepare != nil {
		wg.Go(func() {
			t.Prepare(ctx, t.Manifest())
			t.prepared()
		})
	}
	wg.Go(func() { t.keepNeighbours(ctx) })
	if !t.justNamed(time.Now()) {
		t.settleIn(ctx)
	}
	t.loop(ctx, &wg)
	return nil
}

// prepared takes what Prepare has put into the store, and lets the origin be used.
func (t *Transfer) prepared() {
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
		t.whole()
	}
	t.happened()
}

// justNamed reports whether no other box can have had the artifact for long.
func (t *Transfer) justNamed(now time.Time) bool {
	const ago = time.Second
	return !t.StartAt.IsZero() && now.Sub(t.StartAt) < ago
}

// whole records that every chunk is here. The caller holds t.mu.
func (t *Transfer) whole() {
	t.wholeAt = time.Now()
	close(t.complete)
}

// settleIn gives neighbours a moment to tell what they have, so that a box that
// joins late does not go to the origin for what they hold.
func (t *Transfer) settleIn(ctx context.Context) {
	const least, most, chunks = 60 * time.Millisecond, 200 * time.Millisecond, 3
	moment := max(least, min(most, chunks*t.plan.ChunkTime))
	wait, cancel := context.WithTimeout(ctx, moment)
	defer cancel()
	<-wait.Done()
}

func (t *Transfer) begin(data []byte) error {
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
		Self: t.Exchange.Self.Name, Strategy: t.Exchange.Strategy, Chunks: len(chunks), StartAt: t.since(time.Now()),
		Parallel: t.Exchange.Parallel, AdaptiveParallel: t.Exchange.AdaptiveParallel, OriginParallel: t.Exchange.OriginParallel,
		OriginCopyTime: time.Duration(float64(t.Window) / t.OriginCopies), SpareCopies: t.SpareCopies,
		ChunkTime: t.Window / 2 / time.Duration(max(1, len(chunks))), HoldOrigin: t.Prepare != nil,
		Seq:     uint64(time.Now().UnixMicro()),
		Stagger: staggerFlushes*orDefault(t.Exchange.FlushInterval, defaultFlush) + staggerMore,
	}
	members := t.Members()
	if t.Exchange.PreferHall {
		p.HallMembers = t.near(members)
	}
	p.Init(have, memberNames(members))
	p.parallel = t.Exchange.openFetches() // The link is the same.
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan, t.manifest, t.chunks, t.missingAtFirst = p, m, chunks, p.Missing()
	p.YieldOrigin, p.SingleFetch = t.yields, t.few
	close(t.begun)
	if p.Complete() {
		t.whole()
	}
	return nil
}

// A claim is at all boxes after three or four flushes, and a little more for the way.
const (
	staggerFlushes = 4
	staggerMore    = 50 * time.Millisecond
)

// since is when the plan begins: with the others, if that was not long ago.
func (t *Transfer) since(now time.Time) time.Time {
	if t.StartAt.IsZero() || now.Sub(t.StartAt) > t.Window {
		return now
	}
	return t.StartAt
}

// near returns the names of the members in this box's hall.
func (t *Transfer) near(members []Member) []string {
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

// loop acts on the plan whenever something happened or its time has come.
func (t *Transfer) loop(ctx context.Context, wg *sync.WaitGroup) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.poke:
		case <-timer.C:
		}
		t.mu.Lock()
		todo, wake := t.plan.Next(time.Now())
		t.tellNews("")
		t.mu.Unlock()
		timer.Reset(time.Until(wake))
		for _, a := range todo {
			wg.Go(func() { t.act(ctx, a) })
		}
	}
}

func (t *Transfer) happened() {
	select {
	case t.poke <- struct{}{}:
	default:
	}
}

func (t *Transfer) act(ctx context.Context, a Action) {
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
	t.finish(a, kind, len(data), err)
}

func (t *Transfer) fetch(ctx context.Context, a Action, c Chunk, s *session) (EventKind, []byte, error) {
	if a.From == Origin {
		data, err := t.Exchange.FetchOrigin(ctx, c.Digest)
		return EventOrigin, data, err
	}
	if s == nil {
		return EventPeerInHall, nil, fault.New(fault.Closed, a.From)
	}
	kind := EventPeerAcross
	if s.peer.Hall == t.Exchange.Self.Hall {
		kind = EventPeerInHall
	}
	data, err := t.receive(ctx, s, c)
	return kind, data, err
}

// receive fetches a chunk from a neighbour, and has the plan learn from how long its
// parts took: while they still come, if that is long.
func (t *Transfer) receive(ctx context.Context, s *session, c Chunk) ([]byte, error) {
	var slow sync.Once
	learn := func(took time.Duration) {
		slow.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.plan.ObserveTransferTime(took)
		})
	}
	first, next := t.patience()
	after := t.plan.slowAfter()
	data, took, err := getFrom(ctx, s.conn, c.Digest, c.Size, receiving{
		first: first, next: next, slowAfter: after, slow: func() { learn(after + 1) },
	})
	if err == nil {
		learn(took)
	}
	return data, err
}

// patience is how long a fetch waits for its first part, with the queue at the
// other end in mind, and for each further one.
func (t *Transfer) patience() (first, next time.Duration) {
	const firstChunks, nextChunks, least = 16, 4, 2 * time.Second
	per := t.plan.ChunkTime
	return max(least, firstChunks*per), max(least, nextChunks*per)
}

func (t *Transfer) finish(a Action, kind EventKind, size int, err error) {
	code := fault.CodeOf(err)
	t.count(kind, size, code)
	t.mu.Lock()
	delete(t.cancels, fetchKey{a.Chunk, a.From})
	before := t.plan.Complete()
	had := t.plan.Have().Has(a.Chunk)
	t.plan.FetchEnded(time.Now(), a.Chunk, a.From, code)
	t.tellNews("")
	if code == "" && !had {
		t.announce(a.Chunk)
		if t.firstAt.IsZero() {
			t.firstAt = time.Now()
		}
	}
	if !before && t.plan.Complete() {
		t.whole()
	}
	t.mu.Unlock()
	t.happened()
}

func (t *Transfer) count(kind EventKind, size int, code fault.Code) {
	x := t.Exchange
	switch code {
	case "":
		x.event(kind, size)
	case fault.Corrupt:
		x.event(EventCorrupt, size)
	case fault.Stalled:
		x.event(EventStall, 0)
	case fault.Busy, fault.Throttled:
		x.event(EventRefused, 0)
	case fault.StoreFull:
		x.event(EventStoreFull, 0)
	}
}

// tellNews has every neighbour told what this box has learnt, but for the one it was
// learnt from. The caller holds t.mu.
func (t *Transfer) tellNews(from string) {
	for range t.plan.TakeTakeovers() {
		t.Exchange.event(EventTakeover, 0)
	}
	for _, chunk := range t.plan.TakeYielded() {
		if cancel := t.cancels[fetchKey{chunk, Origin}]; cancel != nil {
			cancel()
		}
	}
	n := t.plan.TakeGossip()
	if n.Empty() {
		return
	}
	for name, s := range t.sessions {
		if name != from {
			s.news.add(n)
			s.wakeUp()
		}
	}
}

// wakeUp has the session told what is unsent.
func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// announce queues a chunk for every neighbour and cancels other fetches of it.
// The caller holds t.mu.
func (t *Transfer) announce(chunk int) {
	for _, s := range t.sessions {
		s.unsent = append(s.unsent, chunk)
		s.wakeUp()
	}
	for _, from := range t.plan.FetchSources(chunk) {
		if cancel := t.cancels[fetchKey{chunk, from}]; cancel != nil {
			cancel()
		}
	}
}
