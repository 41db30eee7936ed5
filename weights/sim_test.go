package weights

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// burst describes one distribution in virtual time: the real code of many boxes over simulated
// links.
type burst struct {
	boxes    int
	chunks   int
	policy   string // "time" or "origin-bytes".
	strategy Strategy
	shared   bool          // One link for both directions.
	window   time.Duration // A box's link carries two copies in this time, the origin's four.
	faults   bool          // 10% of boxes fail, 1% of chunks are corrupt, 5% of links stall.
	seed     uint64
	// haveManifest gives every box the manifest in advance. A real manifest is a millionth of
	// its model; that of a model as small as these would be a hundredth.
	haveManifest bool
	// sharedLinks configures the boxes as those whose replicas share their link: one copy into
	// each hall, three concurrent fetches from the origin, and fewer fetches while the link is
	// slow.
	sharedLinks bool
	// startAt, if set, returns when a box starts its transfer, in addition to a random delay.
	startAt func(s *sim, name string) time.Duration
	hook    func(s *sim) // Injects the faults of a test, in a goroutine.
}

// figures are the results of a burst.
type figures struct {
	ready     []time.Duration // Completion times of the live boxes, sorted.
	bound     time.Duration
	origin    float64 // Copies that left the origin.
	maxUpload float64 // Copies sent by the busiest box.
	control   float64 // Control traffic in bytes a second, per box.
	events    map[EventKind]int
	dead      int
}

func (f *figures) ratio(share float64) float64 {
	i := max(0, int(share*float64(len(f.ready))+0.5)-1)
	return float64(f.ready[i]) / float64(f.bound)
}

const simChunk = 8 << 10

var simCodec = wire.NewCodec(Messages)

// sim is a running burst.
type sim struct {
	burst
	t          *testing.T
	net        *simnet.Network
	origin     *simnet.Link
	manifest   []byte
	data       map[string][]byte
	began      time.Time
	mu         sync.Mutex
	boxes      map[string]*simBox
	members    []Member
	originDown bool
	originCut  map[string]bool // By hall.
	corrupter  map[string]bool // Boxes that corrupt everything they send.
	events     map[EventKind]int
	busy       atomic.Bool // The hook is still running.
}

type simBox struct {
	Member
	up, down *simnet.Link
	transfer *Transfer
	exchange *Exchange
	cancel   context.CancelFunc
	readyAt  time.Time
	done     chan struct{} // Closed when the box's transfer has returned.
}

// run runs a burst until every live box is complete, or for limit.
func (b burst) run(t *testing.T, limit time.Duration) *figures {
	var f *figures
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, b)
		for i := range b.boxes {
			s.start(s.name(i))
		}
		if b.faults {
			s.causeFaults()
		}
		if b.hook != nil {
			s.busy.Store(true)
			go func() {
				b.hook(s)
				s.busy.Store(false)
			}()
		}
		f = s.wait(limit)
		s.stopAll()
	})
	return f
}

func newSim(t *testing.T, b burst) *sim {
	s := &sim{
		burst: b, t: t, began: time.Now(), data: map[string][]byte{}, boxes: map[string]*simBox{},
		originCut: map[string]bool{}, corrupter: map[string]bool{}, events: map[EventKind]int{},
	}
	model := make([]byte, b.chunks*simChunk)
	_, _ = rand.NewChaCha8([32]byte{byte(b.seed)}).Read(model)
	f := Split("model", model, simChunk)
	m := &Manifest{Model: "m", Version: "v", Files: []File{f}}
	s.manifest, _ = m.Encode()
	s.data[Digest(s.manifest)] = s.manifest
	for i, c := range f.Chunks {
		s.data[c.Digest] = model[i*simChunk : (i+1)*simChunk]
	}
	copyBytes := float64(len(model))
	s.origin = &simnet.Link{Rate: 4 * copyBytes / b.window.Seconds()}
	s.net = &simnet.Network{Small: 1 << 10, Latency: s.latency}
	for i := range b.boxes {
		s.members = append(s.members, s.member(s.name(i)))
	}
	return s
}

func (s *sim) name(i int) string { return fmt.Sprintf("box-%03d", i) }

func (s *sim) hall(name string) string {
	return fmt.Sprintf("hall-%d", rendezvous.Score("hall", name)%3)
}

func (s *sim) member(name string) Member { return Member{Name: name, Hall: s.hall(name), Addr: name} }

// latency differs from pair to pair by nanoseconds, so that few events coincide and runs are
// reproducible.
func (s *sim) latency(a, b string) time.Duration {
	base := 500 * time.Microsecond
	if s.hall(a) != s.hall(b) {
		base = 1500 * time.Microsecond
	}
	return base + time.Duration(rendezvous.Score(a, b)%100_000)
}

func (s *sim) start(name string) {
	rate := 2 * float64(s.chunks*simChunk) / s.window.Seconds()
	b := &simBox{Member: s.member(name), up: &simnet.Link{Rate: rate}, done: make(chan struct{})}
	b.down = &simnet.Link{Rate: rate}
	if s.shared {
		b.down = b.up
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	hs := &wire.Handlers{}
	hello := wire.Hello{Cluster: "sim", Box: name, Hall: b.Hall, Incarnation: 1}
	// Small buffers, because a real chunk is larger than any buffer on its path.
	opts := wire.Options{WriteQueue: 1, BufferSize: simChunk / 4}
	b.exchange = &Exchange{
		Self: b.Member, Store: &Store{}, Strategy: s.strategy, PartBytes: simChunk / 4, UploadSlots: *simSlots, UploadQueue: *simQueue, Parallel: *simParallel, FetchOrigin: s.fromOrigin(b),
		Event: func(e Event) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.events[e.Kind]++
		},
		Pool: &wire.Pool{
			Local: hello, Codec: simCodec, Handlers: hs, Options: opts, Lifetime: ctx,
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				nc, err := s.net.Dial(ctx, name, addr)
				return s.corrupting(nc, name, addr), err
			},
		},
	}
	if s.sharedLinks {
		b.exchange.PreferHall, b.exchange.AdaptiveParallel, b.exchange.OriginParallel = true, true, 3
		b.exchange.FlushInterval, b.exchange.UploadSlots, b.exchange.UploadQueue = 25*time.Millisecond, 1, 1
	}
	if s.haveManifest {
		b.exchange.cacheManifest(Digest(s.manifest), s.manifest)
	}
	b.exchange.Serve(hs)
	srv := &wire.Server{Local: hello, Codec: simCodec, Handlers: hs, Options: opts}
	s.net.Add(&simnet.End{Name: name, Up: b.up, Down: b.down, Serve: func(_ context.Context, nc net.Conn) {
		srv.ServeConn(ctx, s.corrupting(nc, name, "any"))
	}})
	spare := 0.0
	if s.policy == "time" {
		spare = 2.8
	}
	b.transfer = &Transfer{
		Exchange: b.exchange, Artifact: Digest(s.manifest), Window: s.window, OriginCopies: 4, SpareCopies: spare, Members: s.listed,
	}
	s.mu.Lock()
	s.boxes[name] = b
	s.mu.Unlock()
	go func() {
		defer close(b.done)
		time.Sleep(time.Duration(rendezvous.Score("start", name) % 50_000_000))
		if s.startAt != nil {
			time.Sleep(s.startAt(s, name))
		}
		_ = b.transfer.Run(ctx)
	}()
	go func() {
		select {
		case <-b.transfer.Complete():
			s.mu.Lock()
			b.readyAt = time.Now()
			s.mu.Unlock()
		case <-ctx.Done():
		}
	}()
}

func (s *sim) listed() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

func (s *sim) fromOrigin(b *simBox) func(context.Context, string, int) ([]byte, error) {
	return func(ctx context.Context, digest string, _ int) ([]byte, error) {
		s.mu.Lock()
		down := s.originDown || s.originCut[b.Hall]
		s.mu.Unlock()
		if down {
			return nil, fault.New(fault.Unreachable, "origin")
		}
		data := s.data[digest]
		if len(data) == simChunk {
			simnet.Carry(s.origin, b.down, len(data))
		}
		return slices.Clone(data), nil
	}
}

// wait returns the figures once all live boxes are complete.
func (s *sim) wait(limit time.Duration) *figures {
	next := s.window / 20
	for time.Since(s.began) < limit && (s.busy.Load() || !s.allReady()) {
		if *simTrace && time.Since(s.began) >= next {
			next += s.window / 20
			s.trace()
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &figures{bound: s.window / 2, events: s.events}
	if s.shared {
		f.bound = s.window
	}
	took := time.Since(s.began)
	copyBytes := float64(s.chunks * simChunk)
	f.origin = float64(s.origin.Sent()) / copyBytes
	for _, b := range s.boxes {
		sent := float64(b.up.Sent())
		if s.shared {
			sent -= copyBytes
		}
		f.maxUpload = max(f.maxUpload, sent/copyBytes)
		switch {
		case b.exchange.Pool.Lifetime.Err() != nil:
			f.dead++
		case b.readyAt.IsZero():
			f.ready = append(f.ready, limit)
		default:
			f.ready = append(f.ready, b.readyAt.Sub(s.began))
		}
	}
	slices.Sort(f.ready)
	f.control = float64(s.net.Control()) / float64(s.burst.boxes) / took.Seconds()
	return f
}

// trace prints the progress of the boxes.
func (s *sim) trace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []int
	open, busy, begun, sess := 0, 0, 0, 0
	for _, b := range s.boxes {
		n, m := b.transfer.Progress()
		missing = append(missing, n-m)
		b.transfer.mu.Lock()
		if b.transfer.plan != nil {
			begun++
			sess += len(b.transfer.sessions)
			open += b.transfer.plan.openFetches
		}
		b.transfer.mu.Unlock()
		busy += b.exchange.uploadLoad()
	}
	slices.Sort(missing)
	fmt.Printf("at=%s least=%d median=%d most=%d open=%d uploading=%d refused=%d begun=%d sessions=%d origin=%d\n", time.Since(s.began), missing[0],
		missing[len(missing)/2], missing[len(missing)-1], open, busy, s.events[EventRefused], begun, sess, s.origin.Sent()/simChunk)
}

func (s *sim) allReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.boxes {
		if b.readyAt.IsZero() && b.exchange.Pool.Lifetime.Err() == nil {
			return false
		}
	}
	return true
}

func (s *sim) stopAll() {
	s.mu.Lock()
	boxes := s.boxes
	s.mu.Unlock()
	for _, b := range boxes {
		b.cancel()
	}
	for name, b := range boxes {
		s.net.Remove(name)
		<-b.done
	}
	time.Sleep(time.Minute) // For goroutines that still sleep in a link.
}
