package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/feed"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/wire"
)

// Codec knows every message that a gateway sends or takes.
var Codec = wire.NewCodec(dispatch.Messages, feed.Messages)

// Gateway is one gateway. Use New.
type Gateway struct {
	Settings *settings.Gateway
	Metrics  *telemetry.Metrics

	incarnation uint64
	seq         atomic.Uint64
	holder      *view.Holder
	feed        *feed.Feed
	pool        *wire.Pool
	router      route.Router
	rollout     route.Rollout
	budget      limit.RetryBudget
	life        context.Context
	end         context.CancelFunc
	draining    atomic.Bool

	mu     sync.Mutex
	queues map[string]*limit.Queue // By service; bounded by the configuration.
	rates  map[string]*limit.Rate  // By organisation; bounded by the configuration.
}

// pingEvery is the time between pings on an idle connection: short, so that a
// frozen peer is noticed well before callers would give up, but longer in a
// large hall, so that the pings to all of its boxes stay within the budget.
func (g *Gateway) pingEvery(wire.Hello) time.Duration {
	const least, most, perBox = time.Second, 10 * time.Second, 20 * time.Millisecond
	return min(most, max(least, time.Duration(g.router.Size())*perBox))
}

// Options are the seams at which tests put fakes. The zero value is the real
// thing.
type Options struct {
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Platform *http.Client
	Choose   func(r *route.Router, now time.Time, cs []*route.Upstream, q route.Query) *route.Upstream
}

// New returns a gateway with its parts joined.
func New(s *settings.Gateway, o Options) (*Gateway, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		Settings: s, Metrics: m, incarnation: rand.Uint64() | 1, holder: &view.Holder{},
		queues: map[string]*limit.Queue{}, rates: map[string]*limit.Rate{},
	}
	g.life, g.end = context.WithCancel(context.Background())
	g.pool = &wire.Pool{Local: g.hello(), Codec: Codec, Options: g.options(), Lifetime: g.life}
	g.pool.Dial = o.Dial
	g.router.Choose = o.Choose
	g.feed = &feed.Feed{
		Box: s.Box, Hall: s.Hall, Addr: s.Listen, Gateway: true, Pool: g.pool, Join: s.Join, Holder: g.holder,
		Platform: &feed.Platform{URL: s.Platform, Client: o.Platform},
		Event:    func(name string, c fault.Code) { m.Event("feed_"+name, string(c)) },
	}
	g.pool.Handlers = g.Handlers()
	return g, nil
}

func (g *Gateway) hello() wire.Hello {
	return wire.Hello{
		Cluster: g.Settings.Cluster, Box: g.Settings.Box, Hall: g.Settings.Hall,
		Role: "gateway", Incarnation: g.incarnation,
	}
}

func (g *Gateway) options() wire.Options {
	return wire.Options{
		PingIntervalFor: g.pingEvery,
		OnFault:         func(c fault.Code) { g.Metrics.Event("connection", string(c)) },
		OnTraffic: func(sent, received int) {
			g.Metrics.Bytes("sent", sent)
			g.Metrics.Bytes("received", received)
		},
	}
}

// Handlers returns what the gateway answers to other processes.
func (g *Gateway) Handlers() *wire.Handlers {
	hs := &wire.Handlers{}
	feed.Serve(hs, g.holder, g.feed.FreshFor)
	wire.On(hs, g.serveForward)
	return hs
}

// Server returns what accepts other processes' connections.
func (g *Gateway) Server() *wire.Server {
	return &wire.Server{
		Local: g.hello(), Codec: Codec, Handlers: g.pool.Handlers, MaxConns: g.Settings.MaxConns, Options: g.options(),
	}
}

// Duties adds to k what a gateway does without being asked.
func (g *Gateway) Duties(k *kernel.Kernel) {
	k.Add("feed", g.feed, g.feed.Run)
	k.Add("subscriptions", &g.router, g.subscribe)
}

// Run runs the gateway until ctx ends, and then drains.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.Settings
	var lns [3]net.Listener
	for i, addr := range []string{s.Listen, s.Admin, s.HTTP} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fault.Wrap(fault.Unreachable, err, addr)
		}
		lns[i] = ln
	}
	peers := g.Server()
	callers := &http.Server{
		Handler: g.Callers(), ReadHeaderTimeout: s.HeaderWait, ReadTimeout: s.BodyWait,
		MaxHeaderBytes: 64 << 10, IdleTimeout: time.Minute,
	}
	var k kernel.Kernel
	g.Duties(&k)
	k.Add("peers", peers, func(ctx context.Context) error { return peers.Serve(ctx, lns[0]) })
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, lns[1], &http.Server{Handler: g.admin().Handler()})
	})
	k.Add("callers", callers, func(own context.Context) error { return g.serveCallers(ctx, own, callers, lns[2]) })
	telemetry.Log("gateway_started", "box", s.Box, "hall", s.Hall, "incarnation", g.incarnation)
	defer g.Close()
	return k.Run(context.Background())
}

// Close ends every connection of the gateway.
func (g *Gateway) Close() { g.end() }

// serveCallers serves until stop, and then drains: it says "not ready", still
// serves for as long as the balancer may take to notice, then stops listening
// and waits for what is in progress.
func (g *Gateway) serveCallers(stop, own context.Context, srv *http.Server, ln net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- telemetry.ServeHTTP(own, ln, srv) }()
	select {
	case err := <-served:
		return err
	case <-stop.Done():
	}
	telemetry.Log("drain_started", "box", g.Settings.Box)
	g.draining.Store(true)
	time.Sleep(g.Settings.LingerFor)
	ctx, cancel := context.WithTimeout(own, g.Settings.DrainFor)
	defer cancel()
	err := srv.Shutdown(ctx)
	telemetry.Log("drain_ended", "box", g.Settings.Box, "whole", err == nil)
	return nil
}

func (g *Gateway) admin() *telemetry.Admin {
	return &telemetry.Admin{Metrics: g.Metrics, Ready: g.ready, Status: g.status}
}

// ready holds once the platform and the peers were asked, so that a restarted
// gateway never serves by an older configuration than it could learn.
func (g *Gateway) ready() error {
	if g.draining.Load() {
		return fault.New(fault.Draining, "")
	}
	select {
	case <-g.feed.Synced():
	default:
		return fault.New(fault.NotReady, "still learning the configuration")
	}
	if g.holder.Get().Config == nil {
		return fault.New(fault.NotReady, "no configuration")
	}
	return nil
}

// queue returns the queue of a service.
func (g *Gateway) queue(service string) *limit.Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q, ok := g.queues[service]
	if !ok {
		q = &limit.Queue{
			MaxRunning: func() int { return g.capacity(service) },
			MaxWaiting: func() int { return g.holder.Get().Config.Limits.Queue },
		}
		g.queues[service] = q
	}
	return q
}

// capacity is this gateway's part of what the hall's upstreams run at once. In a
// hall that has none it is a part of what the others are configured to have, so
// that what is spilled to them waits there, by their shares, and not here.
func (g *Gateway) capacity(service string) int {
	const least, assumedSlots = 2, 8
	slots := g.router.Slots(time.Now(), service)
	if slots > 0 {
		return max(least, int(route.MaxInFlightPerSlot*float64(slots)/float64(g.gatewaysHere())))
	}
	v := g.holder.Get()
	for hall, n := range v.Config.Services[service].Replicas {
		if hall != g.Settings.Hall {
			slots += assumedSlots * n
		}
	}
	return max(least, slots/max(1, len(v.Gateways(""))))
}

func (g *Gateway) gatewaysHere() int {
	return max(1, len(g.holder.Get().Gateways(g.Settings.Hall)))
}

// rate returns an organisation's part of its limits. Organisations that are not
// declared have none, and share one, so that callers cannot grow the table.
func (g *Gateway) rate(organisation string) *limit.Rate {
	if _, declared := g.holder.Get().Config.Organisations[organisation]; !declared {
		organisation = ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.rates[organisation]
	if !ok {
		r = &limit.Rate{}
		g.rates[organisation] = r
	}
	return r
}
