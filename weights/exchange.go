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

// Exchange does the weight I/O of one box. Set the exported fields before first use.
type Exchange struct {
	Self        Member
	Store       *Store
	Pool        *wire.Pool // Connections for weights only, so that requests are never queued behind chunks.
	Strategy    Strategy
	UploadSlots int // Concurrent uploads; 2 by default.
	UploadQueue int // Maximum number of waiting uploads; further requests are refused; 2 by default.
	Parallel    int // Concurrent fetches; 8 by default.
	PartBytes   int // Bytes of a chunk in one message; 256 KiB by default.
	// PreferHall fetches chunks that a box of the hall has within the hall, so that about one
	// copy crosses into each hall.
	PreferHall bool
	// AdaptiveParallel reduces the number of open fetches while transfers are slow, to leave
	// capacity for other traffic on the link.
	AdaptiveParallel bool
	OriginParallel   int           // Concurrent fetches from the origin; 2 by default.
	FlushInterval    time.Duration // Minimum interval of Have messages to a neighbour; 100 ms by default.
	// FetchOrigin fetches a chunk or manifest from the origin by its digest. It fails with fault.TooLarge if
	// that is larger than maxBytes.
	FetchOrigin func(ctx context.Context, digest string, maxBytes int) ([]byte, error)
	// Pace delays each part before it is sent, to leave capacity for other traffic. If nil,
	// parts are not delayed.
	Pace func(ctx context.Context, bytes int) error
	// Event, if set, is called for each event, with the number of bytes transferred.
	Event func(e Event)

	mu        sync.Mutex
	transfers map[string]*Transfer
	manifests map[string][]byte
	noQueue   bool // Set by SetNoUploadQueue.
	uploading int
	waiting   []chan struct{} // Uploads waiting for a slot, oldest first.
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventOrigin     EventKind = "origin"         // A chunk was fetched from the origin.
	EventPeerInHall EventKind = "peer_in_hall"   // A chunk was fetched from a peer in this hall.
	EventPeerAcross EventKind = "peer_across"    // A chunk was fetched from a peer in another hall.
	EventUpload     EventKind = "upload"         // A chunk was sent to a peer.
	EventCorrupt    EventKind = "corrupt"        // A chunk did not match its digest.
	EventStall      EventKind = "stall"          // A fetch timed out waiting for data.
	EventRefused    EventKind = "refused"        // A peer or the origin refused a fetch because of its load.
	EventTakeover   EventKind = "claim_takeover" // This box claimed a chunk after the boxes ranked before it had missed their turns.
	EventStoreFull  EventKind = "store_full"     // The chunk store was full.
	// EventBadManifest: a manifest that can't be that of its artifact.
	EventBadManifest EventKind = "bad_manifest"
)

// Event is one occurrence of an EventKind.
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

// Transfer returns the running or completed transfer of an artifact, or nil.
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

func (x *Exchange) removeTransfer(t *Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.transfers[t.Artifact] == t {
		delete(x.transfers, t.Artifact)
	}
}

// openFetches returns the number of fetches that the link sustains: the minimum measured by
// any running transfer, or zero if none has measured it.
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

func (x *Exchange) uploadLoad() int {
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
	case <-t.ready: // The neighbour waits until the manifest is available on this box.
		t.acceptSession(ctx, s, m)
	case <-ctx.Done():
	}
}

// manifestWait is how long a request for a manifest is held while this box is fetching the
// same manifest.
const manifestWait = 500 * time.Millisecond

// awaitManifest waits, for at most manifestWait, until the manifest of a running transfer is
// available.
func (x *Exchange) awaitManifest(ctx context.Context, artifact string) {
	t := x.Transfer(artifact)
	if t == nil {
		return
	}
	wait := time.NewTimer(manifestWait)
	defer wait.Stop()
	select {
	case <-t.ready:
	case <-wait.C:
	case <-ctx.Done():
	}
}

func (x *Exchange) serveChunk(ctx context.Context, s *wire.Stream, m *GetChunk) {
	x.awaitManifest(ctx, m.Digest)
	if data, ok := x.manifest(m.Digest); ok { // A manifest needs no upload slot: it is small, and all other fetches depend on it.
		_ = x.sendParts(ctx, s, data)
		return
	}
	data, ok := x.Lookup(m.Digest)
	if !ok {
		_ = s.Fail(ctx, fault.New(fault.NotHeld, m.Digest))
		return
	}
	if !x.acquireUpload(ctx) {
		_ = s.Fail(ctx, fault.New(fault.Busy, "no free upload slot"))
		return
	}
	defer x.releaseUpload()
	if x.sendParts(ctx, s, data) == nil {
		x.event(EventUpload, len(data))
	}
}

// Lookup returns a chunk or a manifest by its digest.
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

// SetUploadSlots changes the number of concurrent uploads.
func (x *Exchange) SetUploadSlots(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.UploadSlots = n
	x.grantUploads()
}

// SetNoUploadQueue sets whether requests for chunks are refused while there is no free upload
// slot. Boxes that have one fetch open at a time would rather ask another peer than wait.
func (x *Exchange) SetNoUploadQueue(none bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.noQueue = none
}

// queueFull reports whether no further upload may wait. The caller holds x.mu.
func (x *Exchange) queueFull() bool {
	if x.noQueue {
		return x.uploading >= orDefault(x.UploadSlots, defaultUploadSlots)
	}
	return len(x.waiting) >= orDefault(x.UploadQueue, defaultUploadQueue)
}

// acquireUpload waits for an upload slot. It reports false if too many uploads are waiting or
// ctx ends.
func (x *Exchange) acquireUpload(ctx context.Context) bool {
	x.mu.Lock()
	if x.queueFull() {
		x.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	x.waiting = append(x.waiting, turn)
	x.grantUploads()
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
	x.uploading-- // The slot was granted in the meantime; pass it on.
	x.grantUploads()
	return false
}

func (x *Exchange) releaseUpload() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.uploading--
	x.grantUploads()
}

// grantUploads gives free slots to waiting uploads. The caller holds x.mu.
func (x *Exchange) grantUploads() {
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

// receiveOptions are the timeouts for receiving a chunk or manifest.
type receiveOptions struct {
	firstTimeout time.Duration // Until the first part.
	nextTimeout  time.Duration // Between two parts.
	// onSlow, if set, is called once if the chunk is incomplete slowAfter after its first
	// part.
	onSlow    func()
	slowAfter time.Duration
}

// receiveParts receives a chunk or manifest of at most limit bytes. It also returns the time
// from the first part to the last.
func receiveParts(ctx context.Context, s *wire.Stream, limit int, r receiveOptions) ([]byte, time.Duration, error) {
	var data []byte
	var began time.Time
	for wait := r.firstTimeout; ; wait = r.nextTimeout {
		rctx, cancel := context.WithTimeout(ctx, wait)
		m, err := s.Recv(rctx)
		cancel()
		if err != nil {
			if fault.Is(err, fault.Timeout) && ctx.Err() == nil {
				err = fault.New(fault.LinkStalled, "chunk: timed out waiting for the next part")
			}
			return nil, 0, err
		}
		p, ok := m.(*Part)
		if !ok {
			return nil, 0, fault.New(fault.Garbage, "chunk: unexpected message instead of a part")
		}
		if len(data)+len(p.Data) > limit {
			return nil, 0, fault.New(fault.TooLarge, "chunk: more data than expected")
		}
		if data == nil {
			began = time.Now()
			if r.onSlow != nil {
				defer time.AfterFunc(r.slowAfter, r.onSlow).Stop()
			}
		}
		data = append(data, p.Data...)
		if s.Finished() {
			return data, time.Since(began), nil
		}
	}
}

// fetchFromPeer fetches a chunk or manifest from a peer over c.
func fetchFromPeer(ctx context.Context, c *wire.Conn, digest string, limit int, r receiveOptions) ([]byte, time.Duration, error) {
	s, err := c.Open(ctx, &GetChunk{Digest: digest})
	if err != nil {
		return nil, 0, err
	}
	defer s.Close()
	return receiveParts(ctx, s, limit, r)
}
