// Package direct_test joins real relays and stagers with the stand-ins of the platform, in
// virtual time: six gateways and nine boxes in three halls, callers that keep replicas'
// queues filled, an operator who names versions, and faults drawn from a seed. The
// stand-ins judge the rules: what begins on which version and when, what runs twice, and
// whether what was refused has run.
package direct_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/platform"
	"github.com/poststand/poststand/platform/platformtest"
)

func TestMain(m *testing.M) {
	if os.Getenv("POSTSTAND_LOG") == "" {
		telemetry.Discard()
	}
	os.Exit(m.Run())
}

// Sizes of a world.
const (
	halls        = 3
	gatewaysEach = 2 // In a hall.
	boxesEach    = 3
	slots, room  = 4, 8
	linkRate     = 9e5 // Bytes a second of a box's and of the origin's link.
	linkMega     = 7.3
	beat         = 1200 * time.Millisecond // Between two writes of a replica to the store.
	storeAddr    = "store:1"
	originAddr   = "origin:1"
)

var sizes = platformtest.Weights{Pieces: 16, PieceBytes: 48 << 10}

// world is a deployment: gateways and agents of real code before stand-ins of the rest.
type world struct {
	t      *testing.T
	rand   *rand.Rand
	net    *simnet.Network
	store  *platformtest.Store
	origin *platformtest.Origin
	judge  *judge

	gateways []*gateway
	boxes    []*box
	ctx      context.Context // Ends what the world does by itself.
	stop     context.CancelFunc
}

// gateway is a process that may be ended and started anew.
type gateway struct {
	addr, hall string
	mu         sync.Mutex
	relay      *relay.Relay // Nil while it does not run.
	life       context.Context
	end        func()
}

// box is a machine with an agent and a replica.
type box struct {
	name, hall string // The name is the IP.
	mu         sync.Mutex
	engine     *platformtest.Engine // Nil while it is crashed.
	starts     int
	up, down   *simnet.Link
	end        func() // Of its agent; nil while that does not run.
}

func (b *box) agent() string   { return b.name + ":7" }
func (b *box) replica() string { return b.name + ":80" }

// newWorld starts a world whose replicas hold version 1.
func newWorld(t *testing.T, r *rand.Rand) *world {
	w := &world{t: t, rand: r, store: &platformtest.Store{}, origin: &platformtest.Origin{Weights: sizes}, judge: newJudge()}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.net = &simnet.Network{Latency: latency, Small: 256}
	w.origin.Newest.Store(1)
	w.store.Put("op/config", config())
	w.addPlain(storeAddr, w.store)
	w.addOrigin()
	for h := range halls {
		hall := fmt.Sprintf("h%d", h)
		for i := range boxesEach {
			b := &box{name: fmt.Sprintf("10.%d.0.%d", h, i+1), hall: hall, up: &simnet.Link{Rate: linkRate}, down: &simnet.Link{Rate: linkRate}}
			w.boxes = append(w.boxes, b)
			e := &platformtest.Engine{
				Addr: b.replica(), Hall: hall, Slots: slots, QueueLimit: room, Weights: sizes, LoadTime: 300 * time.Millisecond,
				IgnoresDisconnect: r.IntN(5) == 0, OnRun: w.judge.began,
			}
			e.CrashOn = func(x platformtest.EngineRun) bool { return w.fatal(b, x) }
			e.ID = b.nextID()
			e.Start(1)
			w.addEngine(b, e)
		}
		for i := range gatewaysEach {
			w.gateways = append(w.gateways, &gateway{addr: fmt.Sprintf("10.%d.1.%d:1", h, i+1), hall: hall})
		}
	}
	for _, g := range w.gateways {
		w.startGateway(g)
	}
	for _, b := range w.boxes {
		w.startAgent(b)
	}
	return w
}

// close ends everything.
func (w *world) close() {
	w.stop()
	for _, g := range w.gateways {
		w.endGateway(g)
	}
	for _, b := range w.boxes {
		w.endAgent(b)
		w.crash(b)
	}
	w.net.Remove(storeAddr)
	w.net.Remove(originAddr)
	time.Sleep(time.Minute)
}

func config() platformtest.Body {
	slow := platformtest.Body{"slo_ms": 6000}
	c := platformtest.Config(
		1,
		platformtest.Route("s", "/s/", "stream", "llm", slow),
		platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"slo_ms": 6000, "resumable": false}),
		platformtest.Route("safe", "/plain/safe/", "safe", "llm", slow),
		platformtest.Route("unsafe", "/plain/unsafe/", "unsafe", "llm", slow),
	)
	e := c["services"].([]platformtest.Body)[0]["engine"].(platformtest.Body)
	e["slots"], e["chunks"], e["chunk_bytes"] = slots, sizes.Pieces, sizes.PieceBytes
	return c
}

// latency of a message: names of ends of one hall begin alike.
func latency(from, to string) time.Duration {
	const near, far = 250 * time.Microsecond, 2 * time.Millisecond
	if hallOf(from) == hallOf(to) {
		return near
	}
	return far
}

func hallOf(name string) string { return name[:len("10.0")] }

func (w *world) addPlain(name string, h http.Handler) {
	w.net.Add(&simnet.End{Name: name, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: platformtest.Serve(h)})
}

// addOrigin has the origin there, and ends what it had before.
func (w *world) addOrigin() {
	w.net.Remove(originAddr)
	w.net.Add(&simnet.End{Name: originAddr, Up: &simnet.Link{Rate: linkRate}, Down: &simnet.Link{}, Serve: platformtest.Serve(w.origin)})
}

// dialer connects from an end.
func (w *world) dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) { return w.net.Dial(ctx, from, to) }
}

// client speaks HTTP from an end, as the processes do.
func (w *world) client(from string, keeps bool) *http.Client {
	dial := w.dialer(from)
	return &http.Client{Transport: &http.Transport{
		DialContext:        func(ctx context.Context, _, to string) (net.Conn, error) { return dial(ctx, to) },
		DisableCompression: true, DisableKeepAlives: !keeps, MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second,
	}}
}

func (w *world) follower(from string) (*peers.Follower, *platform.Translator) {
	s := &platform.Store{Addr: storeAddr, HTTP: w.client(from, true)}
	return &peers.Follower{ReadAll: s.Whole, Watch: s.Watch, Newest: s.Newest}, &platform.Translator{}
}

// seeds are the gateways that processes ask first.
func (w *world) seeds() []string {
	var out []string
	for i, g := range w.gateways {
		if i%gatewaysEach == 0 {
			out = append(out, g.addr)
		}
	}
	return out
}

// sleep reports whether the world goes on.
func (w *world) sleep(d time.Duration) bool {
	kernel.Sleep(w.ctx, d)
	return w.ctx.Err() == nil
}

// name has the operator name a version.
func (w *world) name(version uint64) {
	w.origin.Newest.Store(version)
	w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": version})
	w.judge.named(version)
}

// names returns all ends but the operator's.
func (w *world) names() []string {
	out := []string{storeAddr, originAddr}
	for _, g := range w.gateways {
		out = append(out, g.addr)
	}
	for _, b := range w.boxes {
		out = append(out, b.agent(), b.replica())
	}
	return out
}

// isolate stalls or frees all of an end's links.
func (w *world) isolate(name string, stalled bool) {
	for _, other := range w.names() {
		if other != name {
			w.net.Stall(name, other, stalled)
		}
	}
}

func isGateway(name string) bool {
	return strings.Contains(name, ".1.") && strings.HasSuffix(name, ":1")
}
func isAgent(name string) bool   { return strings.HasSuffix(name, ":7") }
func isReplica(name string) bool { return strings.HasSuffix(name, ":80") }
