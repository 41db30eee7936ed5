package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/link"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// Codec knows every message that a relay sends or takes.
var Codec = wire.NewCodec(peers.Messages)

// Options are the seams of a Relay.
type Options struct {
	Headers Headers
	// Follower reads the platform's service, and Catalog translates what it reads.
	Follower     *peers.Follower
	BuildCatalog func(rs map[string]mirror.Record, at mirror.Position) *catalog.Catalog
	Keeps        func(key string) bool // See mirror.Mirror.
	Outlasts     mirror.HoldPolicy
	Dial         func(ctx context.Context, addr string) (net.Conn, error) // To upstreams and gateways; TCP by default.
}

// Relay is one gateway. Use New.
type Relay struct {
	Settings *settings.Relay
	Metrics  *telemetry.Metrics

	headers  *Headers
	options  Options
	mirror   mirror.Mirror
	catalog  catalog.Holder
	gossip   *peers.Gossip
	pool     *wire.Pool
	handlers *wire.Handlers
	table    route.Table
	conns    connPool
	// reports is what agents tell this gateway for others.
	reports    reportBuffer
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
	startDelay time.Duration
	stopping   atomic.Pointer[drainTimes] // Set once the process is told to stop.
	timeouts   callerTimeouts
	// suspects are requests under which replicas ended.
	suspects  quarantine.Table
	endProbes endProbes
	// limitQueue is of which replicas' limits others are to hear.
	limitQueue notifyQueue[fleet.Incarnation]
	// endQueue is of which replicas' ends they are.
	endQueue notifyQueue[replicaEnd]
	bounds   atomic.Pointer[settings.RelayBounds]

	mu             sync.Mutex
	retryWindows   map[string]*limit.RetryWindow // By service; bounded by the configuration.
	limiterStates  map[string]*limiterState      // By the ID of the replica.
	limiterBackoff map[string]time.Time          // Limiters that did not answer, until when they are left alone.
}

// roleGateway is what a gateway calls itself towards other processes.
const roleGateway = "gateway"

// New returns a relay with its parts joined.
func New(s *settings.Relay, o Options) (*Relay, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	g := &Relay{
		Settings: s, Metrics: m, options: o, startedAt: time.Now(), startDelay: startWait.Draw(), retryWindows: map[string]*limit.RetryWindow{}, limiterStates: map[string]*limiterState{}, limiterBackoff: map[string]time.Time{},
		table: route.Table{Hall: s.Hall, DelistGrace: lapseAfter(&s.RelayBounds)}, conns: connPool{Dial: o.Dial},
		endProbes: endProbes{Dial: o.Dial},
	}
	g.headers = &g.options.Headers
	g.bounds.Store(&s.RelayBounds)
	g.mirror.KeepsHistory, g.mirror.HoldPolicy, g.mirror.OnEvent = o.Keeps, o.Outlasts, peers.LogMirrorEvent
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.handlers = &wire.Handlers{}
	const ping, stall = 500 * time.Millisecond, 1500 * time.Millisecond
	g.pool = &wire.Pool{
		Local: wire.Hello{Cluster: s.Cluster, Box: s.Box, Hall: s.Hall, Role: roleGateway, Incarnation: rand.Uint64() | 1},
		Codec: Codec, Handlers: g.handlers, Lifetime: g.ctx, Dial: link.Dialer{Starts: g.mirrorEmpty, Connect: o.Dial}.Dial,
		RedialDelay: peerRedialDelay,
		Options: wire.Options{
			PingInterval: ping, StallTimeout: stall, PingIntervalFor: g.pingInterval,
			OnFault: func(c fault.Code) { m.Event("connection", string(c)) },
			OnTraffic: func(sent, received int) {
				m.Bytes("sent", sent)
				m.Bytes("received", received)
			},
		},
	}
	g.gossip = &peers.Gossip{
		Self: peers.Member{Name: s.Box, Addr: s.Listen, Hall: s.Hall}, Pool: g.pool, Mirror: &g.mirror, Join: s.Join,
		Follower: g.options.Follower, Suspects: &g.suspects,
	}
	g.gossip.Serve(g.handlers)
	wire.On(g.handlers, g.serveSubscribe)
	wire.On(g.handlers, g.serveStatus)
	wire.On(g.handlers, g.serveReports)
	wire.On(g.handlers, g.serveAskPermit)
	wire.On(g.handlers, g.serveLimitWords)
	wire.On(g.handlers, g.serveReplicaEnds)
	g.options.Follower.Mirror = &g.mirror
	g.options.Follower.Needed = g.shouldWatch
	g.options.Follower.Standby = g.gossip.Standby
	g.options.Follower.ReadDelay = g.gossip.ReadDelay
	g.options.Follower.MaxAssumedAge = peers.MaxAssumedAgeFor(s.VersionWithin)
	g.options.Follower.CheckInterval = s.ApplyWithin / checksPerApply
	g.options.Follower.Event = func(name string, c fault.Code) { m.Event(name, string(c)) }
	return g, nil
}

// checksPerApply is how often a gateway that watches reads the platform's revision within
// the time in which a configuration is to be in force: what is found has to be read and
// to reach all.
const checksPerApply = 6

// lapseMargin is how much sooner than a leaving replica must be left alone one is
// that has vanished from the list.
const lapseMargin = 800 * time.Millisecond

func lapseAfter(b *settings.RelayBounds) time.Duration { return max(0, b.DrainWithin-lapseMargin) }

// startWait is for how long a gateway that has just started waits for others.
var startWait = peers.StartDelay{
	EarlyOneIn: 8,
	Early:      50 * time.Millisecond, EarlyJitter: 250 * time.Millisecond,
	Later: 600 * time.Millisecond, LaterJitter: 900 * time.Millisecond,
}

// shouldWatch reports whether this gateway is to read the platform itself. While it
// knows nothing, the gateways that all others ask first do so at once, and the
// others once those had time to tell.
func (g *Relay) shouldWatch() bool {
	if g.mirror.At() > 0 {
		return g.gossip.ShouldWatch()
	}
	return slices.Contains(g.Settings.Join, g.Settings.Listen) || time.Since(g.startedAt) >= g.startDelay
}

// peerPingInterval is the time between pings of two gateways, where there are so many that
// pings would be most of what they say: they announce themselves, and a lost one is not
// waited for.
const peerPingInterval = 2 * time.Second

// pingInterval gives the time between pings on a connection, zero for the usual one. Agents are
// pinged as usual wherever they are: that shows a slow link.
func (g *Relay) pingInterval(peer wire.Hello) time.Duration {
	if peer.Role == roleGateway && g.gossip.ManyGateways() {
		return peerPingInterval
	}
	return 0
}

// peerRedialDelay is how long another gateway is left alone after it was not reached.
const peerRedialDelay = 100 * time.Millisecond

// mirrorEmpty reports whether no record of the platform is known yet.
func (g *Relay) mirrorEmpty() bool { return g.mirror.At() == 0 }

// AddTasks adds to k what a relay does without being asked.
func (g *Relay) AddTasks(k *kernel.Kernel) {
	k.Add("platform", g.options.Follower, g.options.Follower.Run)
	k.AddTask(g.options.Follower.RunChecks)
	k.Add("gossip", g.gossip, g.gossip.Run)
	k.AddTask(g.gossip.AnnounceWatching)
	k.Add("catalog", &g.catalog, g.buildCatalogs)
	k.AddTask(g.forwardReports)
	k.AddTask(g.notifyLimits)
	k.AddTask(g.notifyEnds)
	k.AddTask(g.sweep)
}

// buildCatalogs turns what the mirror holds into catalogs.
func (g *Relay) buildCatalogs(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := g.mirror.Watch()
		if rs, at := g.mirror.Records(); at > 0 {
			now := time.Now()
			old := g.catalog.Get()
			c := g.options.BuildCatalog(rs, at)
			c.DropReplaced()
			g.catalog.Set(c)
			if c.Config != nil {
				for _, id := range g.table.Sync(now, c.Upstreams, c.Config.Services) {
					telemetry.Log("upstream_lapsed", "id", id, "used_for", lapseAfter(g.bounds.Load()), "revision", c.Position)
				}
				if c.Version != old.Version {
					g.timeouts.prune(c.Config.Routes)
				}
			}
			logChanges(old, c, now)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// versionAges lists how long ago each of the last versions was named, as far as this process
// knows: when requests may no longer begin on an older one counts from that.
func versionAges(w catalog.Target, now time.Time) string {
	var out []string
	for _, s := range w.Changes {
		out = append(out, fmt.Sprintf("%d:%s", s.Version, now.Sub(s.SetAt).Round(time.Millisecond)))
	}
	return strings.Join(out, ",")
}

// logChanges writes a line for each thing that the process now believes.
func logChanges(old, c *catalog.Catalog, now time.Time) {
	if c.Version != old.Version {
		telemetry.Log("configuration", "version", c.Version, "before", old.Version, "revision", c.Position, "routes", len(c.Config.Routes))
	}
	for id, u := range c.Upstreams {
		o, ok := old.Upstreams[id]
		if !ok || o.Leaving != u.Leaving || o.Version != u.Version {
			telemetry.Log("upstream", "id", id, "service", u.Service, "addr", u.Addr, "hall", u.Hall, "leaving", u.Leaving, "weights", u.Version, "revision", c.Position)
		}
	}
	for id, u := range old.Upstreams {
		if _, ok := c.Upstreams[id]; !ok {
			telemetry.Log("upstream_gone", "id", id, "service", u.Service, "addr", u.Addr, "revision", c.Position)
		}
	}
	for m, w := range c.Targets {
		if o := old.Targets[m]; o.Version != w.Version {
			telemetry.Log("version_named", "model", m, "version", w.Version, "before", o.Version, "steps", len(w.Changes), "named_ago", versionAges(w, now), "revision", c.Position)
		}
	}
}

func (g *Relay) sweep(ctx context.Context) error {
	const every = 500 * time.Millisecond
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			g.conns.sweep(now, func(l fleet.Incarnation) bool { return g.table.InUse(l, now) })
			g.endProbes.sweep(now)
			g.sweepLimiters(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// retryWindow returns the bound on repeats of a service.
func (g *Relay) retryWindow(service string) *limit.RetryWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.retryWindows[service]
	if !ok {
		s := g.bounds.Load()
		w = &limit.RetryWindow{Length: s.RetryWindow, Ratio: s.RetryRatio * retryShare}
		g.retryWindows[service] = w
	}
	return w
}

// retryShare is the part of the bound on repeats that is used, since gateways
// share nothing and callers' requests are counted where they arrive.
const retryShare = 0.8

// retrySlack is this gateway's part of the repeats that are free. A gateway that
// knows of few others may be cut off, so it never takes more than a third, and one
// that was heard of counts for a while after it has gone. What the process before
// this one spent is not known, so a new one's part grows from nothing.
func (g *Relay) retrySlack() float64 {
	const fewest = 3
	b := g.bounds.Load()
	grown := min(1, float64(time.Since(g.startedAt))/float64(b.RetryWindow))
	return grown * retryShare * float64(b.RetrySlack) / float64(max(fewest, g.gossip.KnownCount()))
}

// Reload puts new settings in force. What would need a restart is refused, and
// the old ones stay.
func (g *Relay) Reload(s *settings.Relay) error {
	if !g.Settings.Fixed(s) {
		return fault.New(fault.BadConfig, "names and addresses change only with a restart")
	}
	g.bounds.Store(&s.RelayBounds)
	g.table.SetDelistGrace(lapseAfter(&s.RelayBounds))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.retryWindows {
		w.SetRatio(s.RetryRatio * retryShare)
	}
	return nil
}

// Close ends every connection of the relay.
func (g *Relay) Close() { g.cancel() }

var _ http.Handler = (*Relay)(nil)
