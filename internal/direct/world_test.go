// Package direct_test simulates a deployment of relays (gateways) and stagers (agents) in virtual
// time: their real code runs against stand-ins of the platform over a simulated network.
//
// A world has six gateways and nine boxes in three halls. Callers keep the replicas' queues
// filled, an operator changes the target version, and faults are drawn from a seed. The checker
// compares what the stand-ins and callers observe with the users' rules: when requests begin on
// which version, that unsafe requests run at most once, and that refused ones have not run.
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
	halls                       = 3
	gatewaysPerHall             = 2 // In each hall.
	boxesPerHall                = 3
	slotsPerReplica, queueLimit = 4, 8
	linkRate                    = 9e5 // Of a box's and of the origin's link, in bytes per second.
	linkMegabits                = 7.3
	recordInterval              = 1200 * time.Millisecond // Between two checks of a replica whether its record must be written again.
	agentPort                   = 7                       // Gateways query agents only in worlds with more gateways.
	storeAddr                   = "store:1"
	originAddr                  = "origin:1"
)

var weightSizes = platformtest.Weights{Pieces: 16, PieceBytes: 48 << 10}

// world is a simulated deployment: gateways and agents run their real code, all else is a
// stand-in.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	net     *simnet.Network
	store   *platformtest.Store
	origin  *platformtest.Origin
	checker *checker

	gateways []*gateway
	boxes    []*box
	ctx      context.Context // Done when the world is closed.
	stop     context.CancelFunc
}

// gateway is a gateway process that may be killed and restarted.
type gateway struct {
	addr, hall string
	mu         sync.Mutex
	relay      *relay.Relay // Nil while it is not running.
	lifetime   context.Context
	kill       func()
}

// box is a machine with an agent and a replica.
type box struct {
	name, hall string // The name is the IP address.
	mu         sync.Mutex
	engine     *platformtest.Engine // Nil while it is crashed.
	starts     int
	up, down   *simnet.Link
	kill       func() // Kills the agent; nil while that is not running.
}

func (b *box) agent() string   { return fmt.Sprintf("%s:%d", b.name, agentPort) }
func (b *box) replica() string { return b.name + ":80" }

// newWorld starts a world whose replicas have loaded version 1.
func newWorld(t *testing.T, r *rand.Rand) *world {
	w := &world{t: t, rand: r, store: &platformtest.Store{}, origin: &platformtest.Origin{Weights: weightSizes}, checker: newChecker()}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.net = &simnet.Network{Latency: latency, Small: 256}
	w.origin.Newest.Store(1)
	w.store.Put("op/config", initialConfig())
	w.addServer(storeAddr, w.store)
	w.addOrigin()
	for h := range halls {
		hall := fmt.Sprintf("h%d", h)
		for i := range boxesPerHall {
			b := &box{name: fmt.Sprintf("10.%d.0.%d", h, i+1), hall: hall, up: &simnet.Link{Rate: linkRate}, down: &simnet.Link{Rate: linkRate}}
			w.boxes = append(w.boxes, b)
			e := &platformtest.Engine{
				Addr: b.replica(), Hall: hall, Slots: slotsPerReplica, QueueLimit: queueLimit, Weights: weightSizes, LoadTime: 300 * time.Millisecond,
				IgnoresDisconnect: r.IntN(5) == 0, OnRun: w.checker.checkRun,
			}
			e.CrashOn = func(run platformtest.EngineRun) bool { return w.crashOnFatal(b, run) }
			e.ID = b.nextID()
			e.Start(1)
			w.addEngine(b, e)
		}
		for i := range gatewaysPerHall {
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

// close stops the world and waits until its goroutines have ended.
func (w *world) close() {
	w.stop()
	for _, g := range w.gateways {
		w.killGateway(g)
	}
	for _, b := range w.boxes {
		w.killAgent(b)
		w.crash(b)
	}
	w.net.Remove(storeAddr)
	w.net.Remove(originAddr)
	time.Sleep(time.Minute)
}

func initialConfig() platformtest.Body {
	slow := platformtest.Body{"slo_ms": 6000}
	c := platformtest.Config(
		1,
		platformtest.Route("s", "/s/", "stream", "llm", slow),
		platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"slo_ms": 6000, "resumable": false}),
		platformtest.Route("safe", "/plain/safe/", "safe", "llm", slow),
		platformtest.Route("unsafe", "/plain/unsafe/", "unsafe", "llm", slow),
	)
	e := c["services"].([]platformtest.Body)[0]["engine"].(platformtest.Body)
	e["slots"], e["chunks"], e["chunk_bytes"] = slotsPerReplica, weightSizes.Pieces, weightSizes.PieceBytes
	return c
}

// latency returns the one-way delay between two ends.
func latency(from, to string) time.Duration {
	const near, far = 250 * time.Microsecond, 2 * time.Millisecond
	if hallOf(from) == hallOf(to) {
		return near
	}
	return far
}

// hallOf returns the prefix that the names of all ends in a hall share.
func hallOf(name string) string { return name[:len("10.0")] }

func (w *world) addServer(name string, h http.Handler) {
	w.net.Add(&simnet.End{Name: name, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: platformtest.Serve(h)})
}

// addOrigin adds the origin to the network, and closes the connections of the one before.
func (w *world) addOrigin() {
	w.net.Remove(originAddr)
	w.net.Add(&simnet.End{Name: originAddr, Up: &simnet.Link{Rate: linkRate}, Down: &simnet.Link{}, Serve: platformtest.Serve(w.origin)})
}

// dialer returns a dial function that connects from an end.
func (w *world) dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) { return w.net.Dial(ctx, from, to) }
}

// dialTCP returns dial with the parameters of net.Dialer.DialContext.
func dialTCP(dial func(ctx context.Context, to string) (net.Conn, error)) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) { return dial(ctx, to) }
}

// client returns an HTTP client that dials from an end, with the settings of the real processes.
func (w *world) client(from string, keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        dialTCP(w.dialer(from)),
		DisableCompression: true, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second,
	}}
}

func (w *world) follower(from string) (*peers.Follower, *platform.Translator) {
	s := &platform.Store{Addr: storeAddr, HTTP: w.client(from, true)}
	return &peers.Follower{ReadAll: s.ReadAll, Watch: s.Watch, Newest: s.NewestPosition}, &platform.Translator{}
}

// seeds returns the addresses of the gateways that processes join by, one in each hall.
func (w *world) seeds() []string {
	var out []string
	for i, g := range w.gateways {
		if i%gatewaysPerHall == 0 {
			out = append(out, g.addr)
		}
	}
	return out
}

// sleep waits for a duration and reports whether the world is still open.
func (w *world) sleep(d time.Duration) bool {
	kernel.Sleep(w.ctx, d)
	return w.ctx.Err() == nil
}

// setTarget sets the target version, as the operator does.
func (w *world) setTarget(version uint64) {
	w.origin.Newest.Store(version)
	w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": version})
	w.checker.recordTargetChange(version)
}

// endNames returns the names of all ends.
func (w *world) endNames() []string {
	out := []string{storeAddr, originAddr}
	for _, g := range w.gateways {
		out = append(out, g.addr)
	}
	for _, b := range w.boxes {
		out = append(out, b.agent(), b.replica())
	}
	return out
}

// isolate stalls or resumes the traffic of an end with all others.
func (w *world) isolate(name string, stalled bool) {
	for _, other := range w.endNames() {
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
