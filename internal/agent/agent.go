package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/feed"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/weights"
	"github.com/poststand/poststand/wire"
)

// Codec encodes and decodes every message that an agent sends or receives.
var Codec = wire.NewCodec(dispatch.Messages, feed.Messages, weights.Messages)

// Agent is an agent process. Use New to create one.
type Agent struct {
	Settings *settings.Agent
	Metrics  *telemetry.Metrics

	started       time.Time
	holder        *view.Holder
	feed          *feed.Feed
	gate          *dispatch.Gate
	engine        *engine.Client
	answerMemory  bounded.AnswerMemory
	exchange      *weights.Exchange
	peerPool      *wire.Pool // Connections to gateways and other agents.
	homes         homeTracker
	loader        *loader
	weightsEvents eventCounts
	linkLimiter   *rate.Limiter // Nil if the bandwidth of the link is not configured.
	lifetime      context.Context
	cancel        context.CancelFunc
	source        orderSource
	reportChanged notifier // Notified when subscribers need a new report.
	handlers      *wire.Handlers
}

// Options replaces dependencies of an agent in tests. The zero value selects the
// real ones.
type Options struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Engine *http.Client
	Origin *http.Client
}

// New returns an agent with the given settings. Run starts it.
func New(s *settings.Agent, o Options) (*Agent, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{Settings: s, Metrics: m, started: time.Now(), holder: &view.Holder{}}
	a.lifetime, a.cancel = context.WithCancel(context.Background())
	a.gate = &dispatch.Gate{Incarnation: uint64(a.started.UnixNano()), Slots: s.Slots, Queue: s.Queue}
	if o.Engine == nil {
		o.Engine = bounded.HTTP(&http.Transport{MaxIdleConnsPerHost: s.Slots + s.Queue, IdleConnTimeout: time.Minute})
	}
	if o.Origin == nil {
		o.Origin = bounded.HTTP(&http.Transport{DialContext: a.dialFromListenAddr()})
	}
	a.engine = &engine.Client{URL: s.Engine, HTTP: o.Engine}
	a.peerPool = a.newPool(wire.Options{})
	a.peerPool.Dial = o.Dial
	a.feed = &feed.Feed{
		Box: s.Box, Hall: s.Hall, Addr: s.Listen, Pool: a.peerPool, Join: s.Join, Holder: a.holder,
		Event: func(name string, c fault.Code) { m.Event("feed_"+name, string(c)) },
	}
	if s.LinkBytesPerSecond > 0 {
		a.linkLimiter = rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), weightsPartBytes)
	}
	a.exchange = a.newExchange(o)
	a.loader = &loader{agent: a}
	a.handlers = &wire.Handlers{}
	a.registerHandlers(a.handlers)
	a.exchange.Serve(a.handlers)
	a.exchange.Pool.Handlers = a.handlers
	return a, nil
}

// strategies are the distribution strategies that settings may name. All boxes of a
// fleet must use the same strategy. Tree and Direct are baselines for measurements.
var strategies = map[string]weights.Strategy{
	settings.StrategySwarm: weights.Swarm, settings.StrategyTree: weights.Tree, settings.StrategyDirect: weights.Direct,
}

// dialFromListenAddr returns a dial function whose connections have the IP address of
// the Listen setting as their source, by which the origin identifies the box.
func (a *Agent) dialFromListenAddr() func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{}
	if listen, err := netip.ParseAddrPort(a.Settings.Listen); err == nil {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(listen.Addr(), 0))
	}
	return d.DialContext
}

// weightsPartBytes is the size of a part of a chunk in a message.
const weightsPartBytes = 64 << 10

func (a *Agent) hello() wire.Hello {
	return wire.Hello{
		Cluster: a.Settings.Cluster, Box: a.Settings.Box, Hall: a.Settings.Hall,
		Role: "agent", Incarnation: a.gate.Incarnation,
	}
}

func (a *Agent) newPool(o wire.Options) *wire.Pool {
	o.OnFault = func(c fault.Code) { a.Metrics.Event("connection", string(c)) }
	o.OnTraffic = func(sent, received int) {
		a.Metrics.Bytes("control_sent", sent)
		a.Metrics.Bytes("control_received", received)
	}
	return &wire.Pool{Local: a.hello(), Codec: Codec, Options: o, Lifetime: a.lifetime}
}

func (a *Agent) newExchange(o Options) *weights.Exchange {
	s := a.Settings
	p := a.newPool(wire.Options{WriteQueue: 8})
	p.Options.OnTraffic, p.Dial = nil, o.Dial
	return &weights.Exchange{
		Self:  weights.Member{Name: s.Box, Hall: s.Hall, Addr: s.Listen},
		Store: &weights.Store{Limit: s.Memory}, Pool: p, Strategy: strategies[s.Strategy], PartBytes: weightsPartBytes,
		FetchOrigin: (&weights.OriginClient{URL: s.Origin, HTTP: o.Origin}).Get,
		Pace:        a.pace, Event: a.weightsEvent,
	}
}

// pace waits until n bytes of weights may be sent. While requests run on this box,
// weights are limited to their configured share of the link.
func (a *Agent) pace(ctx context.Context, n int) error {
	if a.linkLimiter == nil {
		return nil
	}
	limit := rate.Limit(a.Settings.LinkBytesPerSecond)
	if cfg := a.holder.Get().Config; cfg != nil && !a.gate.Idle() {
		limit *= rate.Limit(cfg.Weights.LinkPercent) / 100
	}
	if a.linkLimiter.Limit() != limit {
		a.linkLimiter.SetLimit(limit)
	}
	return a.linkLimiter.WaitN(ctx, n)
}

// Run runs the agent until ctx ends or one of its tasks fails, and then drains it: it reports
// that it is draining, waits for the admitted requests, and returns.
func (a *Agent) Run(ctx context.Context) error {
	onFault := a.peerPool.Options.OnFault
	ln, err := wire.Listen(a.Settings.Listen, onFault)
	if err != nil {
		return err
	}
	admin, err := wire.Listen(a.Settings.Admin, onFault)
	if err != nil {
		return err
	}
	source, err := wire.Listen(a.Settings.Source, onFault)
	if err != nil {
		return err
	}
	srv := a.Server()
	stop, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	k := kernel.Kernel{OnFailure: fail}
	a.AddTasks(&k)
	k.Add("peers", srv, func(ctx context.Context) error { return srv.Serve(ctx, ln) })
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, source, &http.Server{Handler: a.SourceHandler()})
	})
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, admin, &http.Server{Handler: a.admin().Handler()})
	})
	k.AddDrainTask(func(taskCtx context.Context) error { return a.drain(stop, taskCtx) })
	telemetry.Log("agent_started", "box", a.Settings.Box, "hall", a.Settings.Hall, "incarnation", a.gate.Incarnation)
	defer a.Close()
	err = k.Run(context.Background())
	telemetry.Log("agent_stopped", "box", a.Settings.Box, "reason", fault.CodeOf(err), "error", err)
	return err
}

// Server returns the server for connections from other processes.
func (a *Agent) Server() *wire.Server {
	return &wire.Server{
		Local: a.hello(), Codec: Codec, Handlers: a.handlers, MaxConns: a.Settings.MaxConns, Options: a.peerPool.Options,
	}
}

// AddTasks adds the background tasks of the agent to k.
func (a *Agent) AddTasks(k *kernel.Kernel) {
	k.Add("feed", a.feed, a.feed.Run)
	k.Add("loader", a.loader, a.loader.run)
	k.Add("homes", &a.homes, a.watchHomes)
}

// Close closes every connection and cancels every request of the agent, as a crash
// would.
func (a *Agent) Close() { a.cancel() }

// Serves reports whether the agent accepts requests for the version with the digest.
func (a *Agent) Serves(digest string) bool {
	r := a.gate.Report(time.Now())
	return r.Ready && r.Digest == digest
}

// drain waits until stop ends, and then drains the agent.
func (a *Agent) drain(stop, taskCtx context.Context) error {
	select {
	case <-stop.Done():
		a.Drain(time.Now().Add(a.Settings.DrainTimeout))
		return kernel.Failure(stop)
	case <-taskCtx.Done():
	}
	return nil
}

// Drain reports to subscribers that the agent is draining, refuses new requests, and
// returns when no request runs or the deadline has passed.
func (a *Agent) Drain(deadline time.Time) {
	telemetry.Log("drain_started", "box", a.Settings.Box, "deadline", deadline)
	a.gate.Drain()
	a.reportChanged.notify()
	const pollInterval = 20 * time.Millisecond
	for !a.gate.Idle() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	const flushTime = 300 * time.Millisecond // Allows the last frames to be sent.
	time.Sleep(flushTime)
	telemetry.Log("drain_ended", "box", a.Settings.Box, "idle", a.gate.Idle())
}

func (a *Agent) admin() *telemetry.Admin {
	return &telemetry.Admin{Metrics: a.Metrics, Ready: a.ready, Status: a.status}
}

func (a *Agent) ready() error {
	if r := a.gate.Report(time.Now()); !r.Ready {
		return fault.New(fault.NotReady, r.Service)
	}
	return nil
}
