package weights

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/wire"
)

// Defaults of an Exchange.
const (
	defaultUploadSlots = 2
	defaultUploadQueue = 2
	defaultPart        = 256 << 10
	defaultFlush       = 100 * time.Millisecond
)

// Exchange does the I/O with weights of one box. Set the exported fields before
// first use.
type Exchange struct {
	Self        Member
	Store       *Store
	Pool        *wire.Pool // Connections for weights alone, so that requests never wait behind chunks.
	Strategy    Strategy
	UploadSlots int // Chunks sent at once; 2 by default.
	UploadQueue int // Uploads that wait; more are refused. 2 by default.
	Parallel    int // Chunks fetched at once; 8 by default.
	PartBytes   int // Bytes in a message; 256 KiB by default.
	// PreferHall fetches what the hall has from the hall, so that about one copy
	// crosses into each.
	PreferHall bool
	// AdaptiveParallel has fewer fetches open while they take long, for the sake of what
	// else uses the link.
	AdaptiveParallel bool
	OriginParallel   int           // Fetches open from the origin at once; 2 by default.
	FlushInterval    time.Duration // Between two Have messages to a neighbour; 100 ms by default.
	// FetchOrigin fetches a chunk or manifest from the origin by its digest.
	FetchOrigin func(ctx context.Context, digest string) ([]byte, error)
	// Pace delays each part sent, to leave room for traffic. Nil does not.
	Pace func(ctx context.Context, bytes int) error
	// Event counts what happened, with the bytes that moved.
	Event func(e Event)

	mu        sync.Mutex
	transfers map[string]*Transfer
	manifests map[string][]byte
	uploading int
	waiting   []chan struct{} // Uploads that wait for a slot, the oldest first.
}

// EventKind names something that an Exchange counts.
type EventKind string

// Kinds of events.
const (
	EventOrigin     EventKind = "origin"         // A chunk came from the origin.
	EventPeerInHall EventKind = "peer_in_hall"   // From a peer in this hall.
	EventPeerAcross EventKind = "peer_across"    // From a peer of another hall.
	EventUpload     EventKind = "upload"         // A chunk was sent to a peer.
	EventCorrupt    EventKind = "corrupt"        // A chunk did not match its digest.
	EventStall      EventKind = "stall"          // A fetch got nothing in time.
	EventRefused    EventKind = "refused"        // A peer or the origin had no room.
	EventTakeover   EventKind = "claim_takeover" // This box claimed a chunk after others had let their turns pass.
	EventStoreFull  EventKind = "store_full"     // The memory for weights is too small.
)

// Event is one such happening.
type Event struct {
	Kind  EventKind
	Bytes int
}

func (x *Exchange) event(k EventKind, n int) {
	if x.Event != nil {
		x.Event(Event{k, n})
	}
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Serve registers the handlers that answer other boxes.
func (x *Exchange) Serve(hs *wire.Handlers) {
	wire.On(hs, x.serveJoin)
	wire.On(hs, x.serveChunk)
}

// Transfer returns the transfer of an artifact that is under way or complete
// here, or nil.
func (x *Exchange) Transfer(artifact string) *Transfer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.transfers[artifact]
}

func (x *Exchange) addTransfer(t *Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.transfers == nil {
		x.transfers = map[string]*Transfer{}
	}
	t.init()
	x.transfers[t.Artifact] = t
}

func (x *Exchange) dropTransfer(t *Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.transfers[t.Artifact] == t {
		delete(x.transfers, t.Artifact)
	}
}

// openFetches is how many fetches the link bears, by the transfers under way: the
// least that any of them has found. Zero is the usual number.
func (x *Exchange) openFetches() float64 {
	x.mu.Lock()
	ts := slices.Collect(maps.Values(x.transfers))
	x.mu.Unlock()
	least := 0.0
	for _, t := range ts {
		if n := t.openFetches(); n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	return least
}

func (x *Exchange) queue() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.uploading + len(x.waiting)
}

func (x *Exchange) serveJoin(ctx context.Context, s *wire.Stream, m *Join) {
	t := x.Transfer(m.Artifact)
	if t == nil {
		_ = s.Fail(ctx, fault.New(fault.NotHeld, m.Artifact))
		return
	}
	select {
	case <-t.begun: // The neighbour waits with us for the manifest.
		t.session(ctx, s, m)
	case <-ctx.Done():
	}
}

// manifestWait is how long a box that asks for a manifest is kept waiting for it
// where it is on its way here too.
const manifestWait = 500 * time.Millisecond

// await returns once the manifest of a transfer that is under way is here, or after
// a while.
func (x *Exchange) await(ctx context.Context, artifact string) {
	t := x.Transfer(artifact)
	if t == nil {
		return
	}
	wait := time.NewTimer(manifestWait)
	defer wait.Stop()
	select {
	case <-t.begun:
	case <-wait.C:
	case <-ctx.Done():
	}
}

func (x *Exchange) serveChunk(ctx context.Context, s *wire.Stream, m *GetChunk) {
	x.await(ctx, m.Digest)
	if data, ok := x.manifest(m.Digest); ok { // It is small, and everything else waits for it.
		_ = x.sendParts(ctx, s, data)
		return
	}
	data, ok := x.Lookup(m.Digest)
	if !ok {
		_ = s.Fail(ctx, fault.New(fault.NotHeld, m.Digest))
		return
	}
	if !x.enterUpload(ctx) {
		_ = s.Fail(ctx, fault.New(fault.Busy, "upload slots"))
		return
	}
	defer x.leaveUpload()
	if x.sendParts(ctx, s, data) == nil {
		x.event(EventUpload, len(data))
	}
}

// Lookup finds a chunk or a manifest.
func (x *Exchange) Lookup(digest string) ([]byte, bool) {
	if data, ok := x.Store.Get(digest); ok {
		return data, true
	}
	return x.manifest(digest)
}

func (x *Exchange) manifest(digest string) ([]byte, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	data, ok := x.manifests[digest]
	return data, ok
}

// SetUploadSlots changes how many chunks are sent at once from now on.
func (x *Exchange) SetUploadSlots(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.UploadSlots = n
	x.nextUploads()
}

// enterUpload waits for an upload slot, unless too many wait already.
func (x *Exchange) enterUpload(ctx context.Context) bool {
	x.mu.Lock()
	if len(x.waiting) >= orDefault(x.UploadQueue, defaultUploadQueue) {
		x.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	x.waiting = append(x.waiting, turn)
	x.nextUploads()
	x.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if i := slices.Index(x.waiting, turn); i >= 0 {
		x.waiting = slices.Delete(x.waiting, i, i+1)
		return false
	}
	x.uploading-- // The turn came meanwhile; it goes to the next.
	x.nextUploads()
	return false
}

func (x *Exchange) leaveUpload() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.uploading--
	x.nextUploads()
}

// nextUploads lets those that wait have the free slots. The caller holds x.mu.
func (x *Exchange) nextUploads() {
	for x.uploading < orDefault(x.UploadSlots, defaultUploadSlots) && len(x.waiting) > 0 {
		close(x.waiting[0])
		x.waiting = x.waiting[1:]
		x.uploading++
	}
}

func (x *Exchange) sendParts(ctx context.Context, s *wire.Stream, data []byte) error {
	size := orDefault(x.PartBytes, defaultPart)
	for {
		n := min(size, len(data))
		if x.Pace != nil {
			if err := x.Pace(ctx, n); err != nil {
				return fault.Wrap(fault.Cancelled, err, "pace")
			}
		}
		part, rest := data[:n], data[n:]
		if len(rest) == 0 {
			return s.SendLast(ctx, &Part{Data: part})
		}
		if err := s.Send(ctx, &Part{Data: part}); err != nil {
			return err
		}
		data = rest
	}
}

// receiving is how long a chunk may take to come.
type receiving struct {
	first time.Duration // Until its first part,
	next  time.Duration // and from one part to the next.
	// slow, if set, is called once if the chunk is not whole so long after its first
	// part as slowAfter says.
	slow      func()
	slowAfter time.Duration
}

// receiveParts reads a chunk of at most limit bytes.
func receiveParts(ctx context.Context, s *wire.Stream, limit int, r receiving) ([]byte, time.Duration, error) {
	var data []byte
	var began time.Time
	for wait := r.first; ; wait = r.next {
		rctx, cancel := context.WithTimeout(ctx, wait)
		m, err := s.Recv(rctx)
		cancel()
		if err != nil {
			if fault.Is(err, fault.Timeout) && ctx.Err() == nil {
				err = fault.New(fault.Stalled, "chunk")
			}
			return nil, 0, err
		}
		p, ok := m.(*Part)
		if !ok {
			return nil, 0, fault.New(fault.Garbage, "chunk part")
		}
		if len(data)+len(p.Data) > limit {
			return nil, 0, fault.New(fault.TooLarge, "chunk")
		}
		if data == nil {
			began = time.Now()
			if r.slow != nil {
				defer time.AfterFunc(r.slowAfter, r.slow).Stop()
			}
		}
		data = append(data, p.Data...)
		if s.Finished() {
			return data, time.Since(began), nil
		}
	}
}

// getFrom fetches a chunk or manifest from a peer on its connection.
func getFrom(ctx context.Context, c *wire.Conn, digest string, limit int, r receiving) ([]byte, time.Duration, error) {
	s, err := c.Open(ctx, &GetChunk{Digest: digest})
	if err != nil {
		return nil, 0, err
	}
	defer s.Close()
	return receiveParts(ctx, s, limit, r)
}
