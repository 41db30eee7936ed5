package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/drain"
	"github.com/poststand/poststand/internal/feed"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/wire"
)

// Codec encodes and decodes every message that a gateway sends or receives.
var Codec = wire.NewCodec(dispatch.Messages, feed.Messages)

// Gateway is a gateway process. Use New to create one.
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
	startedAt   time.Time
	lifetime    context.Context
	cancel      context.CancelFunc
	draining    atomic.Bool
	inFlight    drain.InFlight // From callers and from gateways of other halls.

	mu     sync.Mutex
	queues map[string]*admission.Queue // By service; the configuration bounds their number.
	rates  map[string]*limit.Rate      // By organisation; the configuration bounds their number.
}

// pingInterval returns the time between pings on an idle connection. It is short,
// so that a frozen peer is detected well before callers time out, and grows with
// the number of boxes in the hall, so that the pings to all of them stay within
// the budget for control traffic.
func (g *Gateway) pingInterval(wire.Hello) time.Duration {
	const minInterval, maxInterval, perBox = time.Second, 10 * time.Second, 20 * time.Millisecond
	return min(maxInterval, max(minInterval, time.Duration(g.router.Len())*perBox))
}

// Options replaces dependencies of a gateway in tests. The zero value selects the
// real ones.
type Options struct {
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Platform *http.Client
	Choose   func(r *route.Router, now time.Time, cs []*route.Upstream, q route.Query) *route.Upstream
}

// New returns a gateway with the given settings. Run starts it.
func New(s *settings.Gateway, o Options) (*Gateway, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		Settings: s, Metrics: m, startedAt: time.Now(), incarnation: rand.Uint64() | 1, holder: &view.Holder{},
		queues: map[string]*admission.Queue{}, rates: map[string]*limit.Rate{},
	}
	g.budget.Since = g.startedAt
	g.lifetime, g.cancel = context.WithCancel(context.Background())
	g.pool = &wire.Pool{Local: g.hello(), Codec: Codec, Options: g.options(), Lifetime: g.lifetime}
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
		PingIntervalFor: g.pingInterval,
		OnFault:         func(c fault.Code) { g.Metrics.Event("connection", string(c)) },
		OnTraffic: func(sent, received int) {
			g.Metrics.Bytes("sent", sent)
			g.Metrics.Bytes("received", received)
		},
	}
}

// Handlers returns the handlers for messages from other processes.
func (g *Gateway) Handlers() *wire.Handlers {
	hs := &wire.Handlers{}
	feed.Serve(hs, g.holder, g.feed.FreshFor)
	wire.On(hs, g.serveForward)
	return hs
}

// Server returns the server for connections from other processes.
func (g *Gateway) Server() *wire.Server {
	return &wire.Server{
		Local: g.hello(), Codec: Codec, Handlers: g.pool.Handlers, MaxConns: g.Settings.MaxConns, Options: g.options(),
	}
}

// AddTasks adds the background tasks of the gateway to k.
func (g *Gateway) AddTasks(k *kernel.Kernel) {
	k.Add("feed", g.feed, g.feed.Run)
	k.Add("subscriptions", &g.router, g.subscribe)
}

// Run runs the gateway until ctx ends or one of its tasks fails, and then drains it.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.Settings
	var lns [3]net.Listener
	for i, addr := range []string{s.Listen, s.Admin, s.HTTP} {
		ln, err := wire.Listen(addr, g.options().OnFault)
		if err != nil {
			return err
		}
		lns[i] = ln
	}
	peers := g.Server()
	callers := &http.Server{
		Handler: g.CallerHandler(), ReadHeaderTimeout: s.HeaderTimeout, ReadTimeout: s.BodyTimeout,
		MaxHeaderBytes: 64 << 10, IdleTimeout: time.Minute,
	}
	stop, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	k := kernel.Kernel{OnFailure: fail}
	g.AddTasks(&k)
	k.Add("peers", peers, func(ctx context.Context) error { return peers.Serve(ctx, lns[0]) })
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, lns[1], &http.Server{Handler: g.admin().Handler()})
	})
	k.AddDrainTask(func(taskCtx context.Context) error { return g.serveCallers(stop, taskCtx, callers, lns[2]) })
	telemetry.Log("gateway_started", "box", s.Box, "hall", s.Hall, "incarnation", g.incarnation)
	defer g.Close()
	err := k.Run(context.Background())
	telemetry.Log("gateway_stopped", "box", s.Box, "reason", fault.CodeOf(err), "error", err)
	return err
}

// Close closes every connection of the gateway.
func (g *Gateway) Close() { g.cancel() }

// serveCallers serves callers until stop ends, and then drains: it reports the
// gateway as not ready, continues to serve for LingerPeriod so that load
// balancers can notice, then stops listening and waits for the requests in progress.
func (g *Gateway) serveCallers(stop, taskCtx context.Context, srv *http.Server, ln net.Listener) error {
	var conns drain.Conns
	srv.ConnState = conns.TrackState
	served := make(chan error, 1)
	go func() { served <- telemetry.ServeHTTP(taskCtx, conns.Listener(ln), srv) }()
	select {
	case err := <-served:
		g.inFlight.LogCut(g.Metrics, "server_ended")
		return err
	case <-stop.Done():
	}
	telemetry.Log("drain_started", "box", g.Settings.Box, "reason", kernel.Failure(stop))
	g.draining.Store(true)
	time.Sleep(g.Settings.LingerPeriod)
	_ = ln.Close()
	deadline := time.Now().Add(g.Settings.DrainTimeout)
	left := conns.Wait(taskCtx, deadline)
	g.inFlight.Wait(taskCtx, deadline)
	telemetry.Log("drain_ended", "box", g.Settings.Box, "whole", left == 0, "left", left)
	g.inFlight.LogCut(g.Metrics, "drain_over")
	_ = srv.Close()
	return kernel.Failure(stop)
}

func (g *Gateway) admin() *telemetry.Admin {
	return &telemetry.Admin{Metrics: g.Metrics, Ready: g.ready, Status: g.status}
}

// ready returns an error until the gateway has requested the configuration from
// the platform and its peers, so that a restarted gateway never serves with an
// older configuration than it could have received.
func (g *Gateway) ready() error {
	if g.draining.Load() {
		return fault.New(fault.Draining, "")
	}
	select {
	case <-g.feed.Synced():
	default:
		return fault.New(fault.NotReady, "initial synchronisation of the configuration is not complete")
	}
	if g.holder.Get().Config == nil {
		return fault.New(fault.NotReady, "no configuration received")
	}
	return nil
}

// queue returns the queue of a service, and creates it if necessary.
func (g *Gateway) queue(service string) *admission.Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q, ok := g.queues[service]
	if !ok {
		q = &admission.Queue{
			MaxRunning: func() int { return g.capacity(service) },
			MaxWaiting: func() int { return g.holder.Get().Config.Limits.Queue },
		}
		g.queues[service] = q
	}
	return q
}

// capacity returns this gateway's share of the requests that the hall's upstreams
// run concurrently. If the hall has no slots for the service, it returns a share
// of the configured capacity of the other halls, so that requests spilled to them
// are queued there, by the organisations' fair shares, instead of here.
func (g *Gateway) capacity(service string) int {
	const minCapacity, assumedSlots = 2, 8
	slots := g.router.Slots(time.Now(), service)
	if slots > 0 {
		return max(minCapacity, int(route.MaxInFlightPerSlot*float64(slots)/float64(g.gatewaysInHall())))
	}
	v := g.holder.Get()
	for hall, n := range v.Config.Services[service].Replicas {
		if hall != g.Settings.Hall {
			slots += assumedSlots * n
		}
	}
	return max(minCapacity, slots/max(1, len(v.Gateways(""))))
}

func (g *Gateway) gatewaysInHall() int {
	return max(1, len(g.holder.Get().Gateways(g.Settings.Hall)))
}

// rate returns the rate limiter of an organisation. Organisations that are not
// declared have no limits and share one limiter, so that callers cannot grow the
// table.
func (g *Gateway) rate(organisation string) *limit.Rate {
	if _, declared := g.holder.Get().Config.Organisations[organisation]; !declared {
		organisation = ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.rates[organisation]
	if !ok {
		r = &limit.Rate{Since: g.startedAt}
		g.rates[organisation] = r
	}
	return r
}
