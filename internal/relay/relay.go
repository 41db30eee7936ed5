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

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/drain"
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

// Codec encodes and decodes every message that a relay sends or receives.
var Codec = wire.NewCodec(peers.Messages)

// Options are the dependencies of a Relay.
type Options struct {
	Headers Headers
	// Follower reads the records of the platform's store, and BuildCatalog translates them.
	Follower     *peers.Follower
	BuildCatalog func(rs map[string]mirror.Record, at mirror.Position) *catalog.Catalog
	KeepsHistory func(key string) bool // See mirror.Mirror.KeepsHistory.
	HoldPolicy   mirror.HoldPolicy
	Dial         func(ctx context.Context, addr string) (net.Conn, error) // To upstreams and gateways; TCP by default.
}

// Relay is a gateway. Use New to create one.
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
	// reports holds reports from agents that are forwarded to other gateways.
	reports    reportBuffer
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
	startDelay time.Duration
	stopping   atomic.Pointer[drainTimes] // Set when draining begins.
	admissions admissions
	waiting    waitingRequests
	inFlight   drain.InFlight
	// suspects holds keys of requests during which replicas terminated.
	suspects       quarantine.Table
	endProbes      endProbes
	loads          loadReader
	heldForCallers atomic.Int64 // Bytes in all callerBuffers.
	answerMemory   bounded.AnswerMemory
	// memberViews are the recent views of which gateways are live.
	memberViews memberViews
	// limitQueue holds the replicas whose limits are to be sent to other gateways.
	limitQueue notifyQueue[fleet.Incarnation]
	// endQueue holds the terminations, and the keys with new evidence, that are to be sent to other
	// gateways.
	endQueue notifyQueue[endNotice]
	// expectedRetries holds the retries that callers refused in this hall were told to make.
	expectedRetries admission.ExpectedRetries
	// expectedRetryQueue holds those that are to be sent to other gateways.
	expectedRetryQueue notifyQueue[admission.ExpectedRetry]
	retryTimes         admission.RetryTimes
	bounds             atomic.Pointer[settings.RelayReloadable]

	retries retryBudgets
	// retryRecords holds the retries of other gateways, for processes that take their place.
	retryRecords limit.RetryRecords

	mu            sync.Mutex
	limiterStates map[string]*limiterState // Keyed by replica ID.
	// limiterBackoff holds, by address, the limiters that did not respond, and until when no
	// permits are requested from them.
	limiterBackoff map[string]time.Time
}

// roleGateway is the role of a gateway in the handshake with other processes.
const roleGateway = "gateway"

// New returns a relay that is ready to run.
func New(s *settings.Relay, o Options) (*Relay, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	g := &Relay{
		Settings: s, Metrics: m, options: o, startedAt: time.Now(), startDelay: startWait.Draw(), limiterStates: map[string]*limiterState{}, limiterBackoff: map[string]time.Time{},
		table: route.Table{Hall: s.Hall, Gateway: s.Listen, DelistGrace: delistGrace(&s.RelayReloadable)}, conns: connPool{Dial: o.Dial},
		endProbes: endProbes{Dial: o.Dial}, admissions: admissions{refused: make(chan struct{}, 1)},
	}
	g.headers = &g.options.Headers
	g.bounds.Store(&s.RelayReloadable)
	g.retries.start(g.startedAt, s.FirstStart)
	g.suspects.IsTurn, g.suspects.StartedAt = g.isTrialTurn, g.startedAt
	g.mirror.KeepsHistory, g.mirror.HoldPolicy, g.mirror.OnEvent = o.KeepsHistory, o.HoldPolicy, peers.LogMirrorEvent
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.handlers = &wire.Handlers{}
	const ping, stall = 500 * time.Millisecond, 1500 * time.Millisecond
	g.pool = &wire.Pool{
		Local: wire.Hello{Cluster: s.Cluster, Box: s.Box, Hall: s.Hall, Role: roleGateway, Incarnation: rand.Uint64() | 1},
		Codec: Codec, Handlers: g.handlers, Lifetime: g.ctx, Dial: link.Dialer{Starting: g.mirrorEmpty, Connect: o.Dial}.Dial,
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
	g.loads.pool = g.newLoadPool()
	g.gossip = &peers.Gossip{
		Self: peers.Member{Name: s.Box, Addr: s.Listen, Hall: s.Hall}, Pool: g.pool, Mirror: &g.mirror, Join: s.Join,
		Follower: g.options.Follower, Suspects: &g.suspects,
	}
	g.gossip.Serve(g.handlers)
	wire.On(g.handlers, g.serveSubscribe)
	wire.On(g.handlers, g.serveStatus)
	wire.On(g.handlers, g.serveReports)
	wire.On(g.handlers, g.servePermitRequest)
	wire.On(g.handlers, g.serveColdPermitRequest)
	wire.On(g.handlers, g.serveLimiterQuery)
	wire.On(g.handlers, g.serveReplicaLimits)
	wire.On(g.handlers, g.serveReplicaEnds)
	wire.On(g.handlers, g.serveAdmissionState)
	wire.On(g.handlers, g.serveExpectedReturns)
	wire.On(g.handlers, g.serveRetryReport)
	wire.On(g.handlers, g.serveRetryQuery)
	g.options.Follower.Mirror = &g.mirror
	g.options.Follower.Needed = g.shouldWatch
	g.options.Follower.Standby = g.gossip.Standby
	g.options.Follower.ReadDelay = g.gossip.ReadDelay
	g.options.Follower.MaxAssumedAge = peers.MaxAssumedAgeFor(s.VersionWithin)
	g.options.Follower.CheckInterval = checkIntervalFor(&s.RelayReloadable)
	g.options.Follower.Event = func(name string, c fault.Code) { m.Event(name, string(c)) }
	if err := g.addRetryGauges(); err != nil {
		return nil, err
	}
	return g, m.Gauge("poststand_waiting", "Requests that wait at this gateway for room at a replica.", func() float64 { return float64(g.waiting.len()) })
}

// checksPerApply is how often a gateway that watches the platform reads the store's newest
// position within the time allowed for applying a configuration. A change that is found must
// still be read and reach all gateways within that time.
const checksPerApply = 6

func checkIntervalFor(b *settings.RelayReloadable) time.Duration {
	return b.ApplyWithin / checksPerApply
}

// delistGrace returns how long a replica that has disappeared from the list may still be used: the
// drain time of a leaving replica, counted from when the change is received. A change that no
// push brought is received after a check of the store at the latest.
func delistGrace(b *settings.RelayReloadable) time.Duration {
	const minMargin, passOn = 800 * time.Millisecond, 400 * time.Millisecond
	return max(0, b.DrainWithin-max(minMargin, checkIntervalFor(b)+passOn))
}

// startWait is how long a gateway that has just started waits for its peers before it reads
// the platform itself.
var startWait = peers.StartDelay{
	EarlyOneIn: 8,
	Early:      50 * time.Millisecond, EarlyJitter: 250 * time.Millisecond,
	Later: 600 * time.Millisecond, LaterJitter: 900 * time.Millisecond,
}

// shouldWatch reports whether this gateway should watch the platform itself. While its mirror is
// empty, a gateway that is listed in Join watches at once. Any other waits for startDelay first,
// so that the listed ones have time to pass the records on.
func (g *Relay) shouldWatch() bool {
	if g.mirror.At() > 0 {
		return g.gossip.ShouldWatch()
	}
	return slices.Contains(g.Settings.Join, g.Settings.Listen) || time.Since(g.startedAt) >= g.startDelay
}

// peerPingInterval is the interval between pings of two gateways when there are so many that
// pings would dominate their traffic. Gateways announce themselves by gossip, and nothing
// waits for the detection of a lost one.
const peerPingInterval = 2 * time.Second

// pingInterval returns the interval between pings on a connection, or zero for the default.
// Agents are always pinged at the default interval, because the ping delay reveals a slow
// link.
func (g *Relay) pingInterval(peer wire.Hello) time.Duration {
	if peer.Role == roleGateway && g.gossip.ManyGateways() {
		return peerPingInterval
	}
	return 0
}

// peerRedialDelay is the wait before redialling a gateway that could not be reached.
const peerRedialDelay = 100 * time.Millisecond

// mirrorEmpty reports whether the mirror has no records of the platform yet.
func (g *Relay) mirrorEmpty() bool { return g.mirror.At() == 0 }

// AddTasks adds the background tasks of the relay to k.
func (g *Relay) AddTasks(k *kernel.Kernel) {
	k.Add("platform", g.options.Follower, g.options.Follower.Run)
	k.AddTask(g.options.Follower.RunChecks)
	k.Add("gossip", g.gossip, g.gossip.Run)
	k.AddTask(g.gossip.AnnounceWatching)
	k.Add("catalog", &g.catalog, g.buildCatalogs)
	k.AddTask(g.forwardReports)
	k.AddTask(g.notifyLimits)
	k.AddTask(g.notifyEnds)
	k.AddTask(g.announceAdmission)
	k.AddTask(g.notifyExpectedRetries)
	k.AddTask(g.reportRetries)
	k.AddTask(g.logRetryUsage)
	k.AddTask(g.sweep)
}

// buildCatalogs builds a new catalog whenever the mirror changes.
func (g *Relay) buildCatalogs(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := g.mirror.Watch()
		if rs, at := g.mirror.Records(); at > 0 {
			now := time.Now()
			old := g.catalog.Get()
			c := g.options.BuildCatalog(rs, at)
			c.DropReplaced()
			g.catalog.Set(c)
			g.table.SetDrainedHalls(now, c.DrainedHalls)
			if c.Config != nil {
				g.keepServices(c.Config.Services)
				for _, id := range g.table.Sync(now, c.Upstreams, c.Config.Services) {
					telemetry.Log("upstream_lapsed", "id", id, "used_for", delistGrace(g.bounds.Load()), "revision", c.Position)
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

// keepServices forgets what is recorded of services that are no longer configured.
func (g *Relay) keepServices(services map[string]config.Service) {
	configured := func(service string) bool { _, ok := services[service]; return ok }
	g.retryTimes.Keep(configured)
	g.admissions.keep(configured)
	g.waiting.keep(configured)
}

// versionAges lists how long ago each of the last versions was set as the target, as far as
// this process can tell. The deadline for starting requests on an older version counts from
// that.
func versionAges(target catalog.Target, now time.Time) string {
	var out []string
	for _, change := range target.Changes {
		out = append(out, fmt.Sprintf("%d:%s", change.Version, now.Sub(change.SetAt).Round(time.Millisecond)))
	}
	return strings.Join(out, ",")
}

// logChanges logs the differences between two catalogs.
func logChanges(old, c *catalog.Catalog, now time.Time) {
	if c.Version != old.Version {
		telemetry.Log("configuration", "version", c.Version, "before", old.Version, "revision", c.Position, "routes", len(c.Config.Routes))
	}
	for id, u := range c.Upstreams {
		o, ok := old.Upstreams[id]
		if !ok || o.Leaving != u.Leaving || o.ColdFor != u.ColdFor || o.Version != u.Version {
			telemetry.Log("upstream", "id", id, "service", u.Service, "addr", u.Addr, "hall", u.Hall, "leaving", u.Leaving, "cold_for", u.ColdFor, "weights", u.Version, "revision", c.Position)
		}
	}
	for id, u := range old.Upstreams {
		if _, ok := c.Upstreams[id]; !ok {
			telemetry.Log("upstream_gone", "id", id, "service", u.Service, "addr", u.Addr, "revision", c.Position)
		}
	}
	for hall := range c.DrainedHalls {
		if !old.DrainedHalls[hall] {
			telemetry.Log("hall_drained", "hall", hall, "revision", c.Position)
		}
	}
	for hall := range old.DrainedHalls {
		if !c.DrainedHalls[hall] {
			telemetry.Log("hall_reopened", "hall", hall, "revision", c.Position)
		}
	}
	for model, target := range c.Targets {
		if o := old.Targets[model]; o.Version != target.Version {
			telemetry.Log("version_named", "model", model, "version", target.Version, "before", o.Version, "steps", len(target.Changes), "named_ago", versionAges(target, now), "revision", c.Position)
		}
	}
}

func (g *Relay) sweep(ctx context.Context) error {
	const interval = 500 * time.Millisecond
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			g.conns.sweep(now, func(inc fleet.Incarnation) bool { return g.table.InUse(inc, now) })
			g.endProbes.sweep(now)
			g.updateMemberViews(now)
			g.sweepLimiters(now)
			g.loads.sweep(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// Reload applies new settings. Settings that can be changed only by a restart are refused, and
// the old settings stay in force.
func (g *Relay) Reload(s *settings.Relay) error {
	if !g.Settings.CanReload(s) {
		return fault.New(fault.BadConfig, "cluster, box, hall, store, join list, agent port and listen addresses can be changed only by a restart")
	}
	g.bounds.Store(&s.RelayReloadable)
	g.table.SetDelistGrace(delistGrace(&s.RelayReloadable))
	return nil
}

// Close closes all connections of the relay.
func (g *Relay) Close() { g.cancel() }

var _ http.Handler = (*Relay)(nil)
