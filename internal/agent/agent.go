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
	"github.com/poststand/poststand/internal/feed"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/weights"
	"github.com/poststand/poststand/wire"
)

// Codec knows every message that an agent sends or takes.
var Codec = wire.NewCodec(dispatch.Messages, feed.Messages, weights.Messages)

// Agent is one agent. Use New.
type Agent struct {
	Settings *settings.Agent
	Metrics  *telemetry.Metrics

	started  time.Time
	holder   *view.Holder
	feed     *feed.Feed
	gate     *dispatch.Gate
	engine   *engine.Client
	exchange *weights.Exchange
	requests *wire.Pool // To other agents, about rollouts.
	homes    homes
	loader   *loader
	moved    movedBytes
	links    *rate.Limiter // Nil where the link is not known.
	life     context.Context
	end      context.CancelFunc
	changed  notifier // Wakes those that report.
	handlers *wire.Handlers
}

// Options are the seams at which tests put fakes. The zero value is the real
// thing.
type Options struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Engine *http.Client
	Origin *http.Client
}

// New returns an agent with its parts joined.
func New(s *settings.Agent, o Options) (*Agent, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{Settings: s, Metrics: m, started: time.Now(), holder: &view.Holder{}}
	a.life, a.end = context.WithCancel(context.Background())
	a.gate = &dispatch.Gate{Incarnation: uint64(a.started.UnixNano()), Slots: s.Slots, Queue: s.Queue}
	if o.Engine == nil {
		o.Engine = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: s.Slots + s.Queue, IdleConnTimeout: time.Minute,
		}}
	}
	if o.Origin == nil {
		o.Origin = &http.Client{Transport: &http.Transport{DialContext: a.fromOwnAddress()}}
	}
	a.engine = &engine.Client{URL: s.Engine, HTTP: o.Engine}
	a.requests = a.pool(wire.Options{})
	a.requests.Dial = o.Dial
	a.feed = &feed.Feed{
		Box: s.Box, Hall: s.Hall, Addr: s.Listen, Pool: a.requests, Join: s.Join, Holder: a.holder,
		Event: func(name string, c fault.Code) { m.Event("feed_"+name, string(c)) },
	}
	if s.LinkBPS > 0 {
		a.links = rate.NewLimiter(rate.Limit(s.LinkBPS), weightsPart)
	}
	a.exchange = a.newExchange(o)
	a.loader = &loader{agent: a}
	a.handlers = &wire.Handlers{}
	a.serve(a.handlers)
	a.exchange.Serve(a.handlers)
	a.exchange.Pool.Handlers = a.handlers
	return a, nil
}

// strategies are the ways of distribution that settings may name. All boxes of
// a fleet must use the same; the others are baselines for measurements.
var strategies = map[string]weights.Strategy{
	settings.StrategySwarm: weights.Swarm, settings.StrategyTree: weights.Tree, settings.StrategyDirect: weights.Direct,
}

// fromOwnAddress dials from the address that the process was given, by which the
// origin knows the box.
func (a *Agent) fromOwnAddress() func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{}
	if own, err := netip.ParseAddrPort(a.Settings.Listen); err == nil {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(own.Addr(), 0))
	}
	return d.DialContext
}

// weightsPart is the bytes of a message with weights.
const weightsPart = 64 << 10

func (a *Agent) hello() wire.Hello {
	return wire.Hello{
		Cluster: a.Settings.Cluster, Box: a.Settings.Box, Hall: a.Settings.Hall,
		Role: "agent", Incarnation: a.gate.Incarnation,
	}
}

func (a *Agent) pool(o wire.Options) *wire.Pool {
	o.OnFault = func(c fault.Code) { a.Metrics.Event("connection", string(c)) }
	o.OnTraffic = func(sent, received int) {
		a.Metrics.Bytes("control_sent", sent)
		a.Metrics.Bytes("control_received", received)
	}
	return &wire.Pool{Local: a.hello(), Codec: Codec, Options: o, Lifetime: a.life}
}

func (a *Agent) newExchange(o Options) *weights.Exchange {
	s := a.Settings
	p := a.pool(wire.Options{WriteQueue: 8})
	p.Options.OnTraffic, p.Dial = nil, o.Dial
	return &weights.Exchange{
		Self:  weights.Member{Name: s.Box, Hall: s.Hall, Addr: s.Listen},
		Store: &weights.Store{Limit: s.Memory}, Pool: p, Strategy: strategies[s.Strategy], PartBytes: weightsPart,
		FetchOrigin: (&weights.OriginClient{URL: s.Origin, HTTP: o.Origin}).Get,
		Pace:        a.pace, Event: a.weightsEvent,
	}
}

// pace keeps weights to their share of the link while requests run here.
func (a *Agent) pace(ctx context.Context, n int) error {
	if a.links == nil {
		return nil
	}
	limit := rate.Limit(a.Settings.LinkBPS)
	if cfg := a.holder.Get().Config; cfg != nil && !a.gate.Idle() {
		limit *= rate.Limit(cfg.Weights.LinkPercent) / 100
	}
	if a.links.Limit() != limit {
		a.links.SetLimit(limit)
	}
	return a.links.WaitN(ctx, n)
}

// Run runs the agent until ctx ends, and then drains: it announces that it
// leaves, lets what it admitted finish, and returns.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", a.Settings.Listen)
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, "listen")
	}
	admin, err := net.Listen("tcp", a.Settings.Admin)
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, "admin")
	}
	source, err := net.Listen("tcp", a.Settings.Source)
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, "source")
	}
	srv := a.Server()
	var k kernel.Kernel
	a.Duties(&k)
	k.Add("peers", srv, func(ctx context.Context) error { return srv.Serve(ctx, ln) })
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, source, &http.Server{Handler: a.Source()})
	})
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, admin, &http.Server{Handler: a.admin().Handler()})
	})
	k.AddTask(func(own context.Context) error { return a.drain(ctx, own) })
	telemetry.Log("agent_started", "box", a.Settings.Box, "hall", a.Settings.Hall, "incarnation", a.gate.Incarnation)
	defer a.Close()
	return k.Run(context.Background())
}

// Server returns what accepts other processes' connections.
func (a *Agent) Server() *wire.Server {
	return &wire.Server{
		Local: a.hello(), Codec: Codec, Handlers: a.handlers, MaxConns: a.Settings.MaxConns, Options: a.requests.Options,
	}
}

// Duties adds to k what an agent does without being asked.
func (a *Agent) Duties(k *kernel.Kernel) {
	k.Add("feed", a.feed, a.feed.Run)
	k.Add("loader", a.loader, a.loader.run)
	k.Add("homes", &a.homes, a.watchHomes)
}

// Close ends every connection and request of the agent, as its death would.
func (a *Agent) Close() { a.end() }

// Serves reports whether the agent takes requests at a version.
func (a *Agent) Serves(digest string) bool {
	r := a.gate.Report(time.Now())
	return r.Ready && r.Digest == digest
}

// drain waits for stop, and then drains.
func (a *Agent) drain(stop, own context.Context) error {
	select {
	case <-stop.Done():
		a.Drain(time.Now().Add(a.Settings.DrainFor))
	case <-own.Done():
	}
	return nil
}

// Drain announces that the agent leaves, takes no more requests, and returns
// once nothing runs or the deadline has come.
func (a *Agent) Drain(deadline time.Time) {
	telemetry.Log("drain_started", "box", a.Settings.Box, "deadline", deadline)
	a.gate.Drain()
	a.changed.notify()
	const look = 20 * time.Millisecond
	for !a.gate.Idle() && time.Now().Before(deadline) {
		time.Sleep(look)
	}
	const flush = 300 * time.Millisecond // For the last frames to leave.
	time.Sleep(flush)
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
