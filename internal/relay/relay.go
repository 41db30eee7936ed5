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
	Dialect Dialect
	// Follow reads the platform's service, and Catalog translates what it reads.
	Follow   *peers.Follower
	Catalog  func(rs map[string]mirror.Record, at mirror.Position) *catalog.Catalog
	Keeps    func(key string) bool // See mirror.Mirror.
	Outlasts mirror.Outlasts
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // To upstreams and gateways; TCP by default.
}

// Relay is one gateway. Use New.
type Relay struct {
	Settings *settings.Relay
	Metrics  *telemetry.Metrics

	dialect  *Dialect
	options  Options
	mirror   mirror.Mirror
	holder   catalog.Holder
	gossip   *peers.Gossip
	pool     *wire.Pool
	handlers *wire.Handlers
	table    route.Table
	conns    conns
	// collected is what agents tell this gateway for others.
	collected collected
	life      context.Context
	end       context.CancelFunc
	began     time.Time
	learnIn   time.Duration
	leaving   atomic.Pointer[departure] // Set once the process is told to stop.
	waits     callerWaits
	// suspects are requests under which replicas ended.
	suspects quarantine.Table
	endings  endings
	// limitNews is of which replicas' limits others are to hear.
	limitNews news[fleet.Life]
	// endNews is of which replicas' ends they are.
	endNews news[replicaEnd]
	bounds  atomic.Pointer[settings.RelayBounds]

	mu        sync.Mutex
	windows   map[string]*limit.Window // By service; bounded by the configuration.
	ownLimits map[string]*ownLimit     // By the ID of the replica.
	silent    map[string]time.Time     // Limiters that did not answer, until when they are left alone.
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
		Settings: s, Metrics: m, options: o, began: time.Now(), learnIn: startWait.Draw(), windows: map[string]*limit.Window{}, ownLimits: map[string]*ownLimit{}, silent: map[string]time.Time{},
		table: route.Table{Hall: s.Hall, Lapse: lapse(&s.RelayBounds)}, conns: conns{Dial: o.Dial},
		endings: endings{Dial: o.Dial},
	}
	g.dialect = &g.options.Dialect
	g.bounds.Store(&s.RelayBounds)
	g.mirror.Keeps, g.mirror.Outlasts, g.mirror.Note = o.Keeps, o.Outlasts, peers.LogNote
	g.life, g.end = context.WithCancel(context.Background())
	g.handlers = &wire.Handlers{}
	const ping, stall = 500 * time.Millisecond, 1500 * time.Millisecond
	g.pool = &wire.Pool{
		Local: wire.Hello{Cluster: s.Cluster, Box: s.Box, Hall: s.Hall, Role: roleGateway, Incarnation: rand.Uint64() | 1},
		Codec: Codec, Handlers: g.handlers, Lifetime: g.life, Dial: link.Dialer{Starts: g.knowsNothing, Connect: o.Dial}.Dial,
		Redial: redialPeer,
		Options: wire.Options{
			PingEvery: ping, StallAfter: stall, Pings: g.pings,
			Count: func(c fault.Code) { m.Event("connection", string(c)) },
			Traffic: func(sent, received int) {
				m.Bytes("sent", sent)
				m.Bytes("received", received)
			},
		},
	}
	g.gossip = &peers.Gossip{
		Self: peers.Member{Name: s.Box, Addr: s.Listen, Hall: s.Hall}, Pool: g.pool, Mirror: &g.mirror, Join: s.Join,
		Follow: g.options.Follow, Suspects: &g.suspects,
	}
	g.gossip.Serve(g.handlers)
	wire.On(g.handlers, g.serveSubscribe)
	wire.On(g.handlers, g.serveStatus)
	wire.On(g.handlers, g.serveReports)
	wire.On(g.handlers, g.serveAskPermit)
	wire.On(g.handlers, g.serveLimitWords)
	wire.On(g.handlers, g.serveReplicaEnds)
	g.options.Follow.Mirror = &g.mirror
	g.options.Follow.Needed = g.watches
	g.options.Follow.Standby = g.gossip.Standby
	g.options.Follow.Yield = g.gossip.Yield
	g.options.Follow.Doubt = peers.DoubtOf(s.VersionWithin)
	g.options.Follow.CheckEvery = s.ApplyWithin / checksInBound
	g.options.Follow.Event = func(name string, c fault.Code) { m.Event(name, string(c)) }
	return g, nil
}

// checksInBound is how often a gateway that watches reads the platform's revision within
// the time in which a configuration is to be in force: what is found has to be read and
// to reach all.
const checksInBound = 6

// lapseMargin is how much sooner than a leaving replica must be left alone one is
// that has vanished from the list.
const lapseMargin = 800 * time.Millisecond

func lapse(b *settings.RelayBounds) time.Duration { return max(0, b.DrainWithin-lapseMargin) }

// startWait is for how long a gateway that has just started waits for others.
var startWait = peers.StartWait{
	OneIn: 8,
	Early: 50 * time.Millisecond, EarlySpread: 250 * time.Millisecond,
	Later: 600 * time.Millisecond, LaterSpread: 900 * time.Millisecond,
}

// watches reports whether this gateway is to read the platform itself. While it
// knows nothing, the gateways that all others ask first do so at once, and the
// others once those had time to tell.
func (g *Relay) watches() bool {
	if g.mirror.At() > 0 {
		return g.gossip.Watches()
	}
	return slices.Contains(g.Settings.Join, g.Settings.Listen) || time.Since(g.began) >= g.learnIn
}

// pingPeer is the time between pings of two gateways, where there are so many that
// pings would be most of what they say: they announce themselves, and a lost one is not
// waited for.
const pingPeer = 2 * time.Second

// pings gives the time between pings on a connection, zero for the usual one. Agents are
// pinged as usual wherever they are: that shows a slow link.
func (g *Relay) pings(peer wire.Hello) time.Duration {
	if peer.Role == roleGateway && g.gossip.Many() {
		return pingPeer
	}
	return 0
}

// redialPeer is how long another gateway is left alone after it was not reached.
const redialPeer = 100 * time.Millisecond

// knowsNothing reports whether no record of the platform is known yet.
func (g *Relay) knowsNothing() bool { return g.mirror.At() == 0 }

// Duties adds to k what a relay does without being asked.
func (g *Relay) Duties(k *kernel.Kernel) {
	k.Add("platform", g.options.Follow, g.options.Follow.Run)
	k.Duty(g.options.Follow.Check)
	k.Add("gossip", g.gossip, g.gossip.Run)
	k.Duty(g.gossip.Lead)
	k.Add("catalog", &g.holder, g.translate)
	k.Duty(g.passReports)
	k.Duty(g.tellLimitNews)
	k.Duty(g.tellEndNews)
	k.Duty(g.sweep)
}

// translate turns what the mirror holds into catalogs.
func (g *Relay) translate(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := g.mirror.Watch()
		if rs, at := g.mirror.Records(); at > 0 {
			now := time.Now()
			old := g.holder.Get()
			c := g.options.Catalog(rs, at)
			c.DropReplaced()
			g.holder.Set(c)
			if c.Config != nil {
				for _, id := range g.table.Sync(now, c.Upstreams, c.Config.Services) {
					telemetry.Log("upstream_lapsed", "id", id, "used_for", lapse(g.bounds.Load()), "revision", c.At)
				}
				if c.Version != old.Version {
					g.waits.forget(c.Config.Routes)
				}
			}
			logChange(old, c, now)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// namedAgo lists how long ago each of the last versions was named, as far as this process
// knows: when requests may no longer begin on an older one counts from that.
func namedAgo(w catalog.Wanted, now time.Time) string {
	var out []string
	for _, s := range w.Steps {
		out = append(out, fmt.Sprintf("%d:%s", s.Version, now.Sub(s.Named).Round(time.Millisecond)))
	}
	return strings.Join(out, ",")
}

// logChange writes a line for each thing that the process now believes.
func logChange(old, c *catalog.Catalog, now time.Time) {
	if c.Version != old.Version {
		telemetry.Log("configuration", "version", c.Version, "before", old.Version, "revision", c.At, "routes", len(c.Config.Routes))
	}
	for id, u := range c.Upstreams {
		o, ok := old.Upstreams[id]
		if !ok || o.Leaving != u.Leaving || o.Version != u.Version {
			telemetry.Log("upstream", "id", id, "service", u.Service, "addr", u.Addr, "hall", u.Hall, "leaving", u.Leaving, "weights", u.Version, "revision", c.At)
		}
	}
	for id, u := range old.Upstreams {
		if _, ok := c.Upstreams[id]; !ok {
			telemetry.Log("upstream_gone", "id", id, "service", u.Service, "addr", u.Addr, "revision", c.At)
		}
	}
	for m, w := range c.Wanted {
		if o := old.Wanted[m]; o.Version != w.Version {
			telemetry.Log("version_named", "model", m, "version", w.Version, "before", o.Version, "steps", len(w.Steps), "named_ago", namedAgo(w, now), "revision", c.At)
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
			g.conns.sweep(now, func(l fleet.Life) bool { return g.table.Uses(l, now) })
			g.endings.sweep(now)
			g.sweepLimits(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// window returns the bound on repeats of a service.
func (g *Relay) window(service string) *limit.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.windows[service]
	if !ok {
		s := g.bounds.Load()
		w = &limit.Window{Length: s.RetryWindow, Ratio: s.RetryRatio * budgetShare}
		g.windows[service] = w
	}
	return w
}

// budgetShare is the part of the bound on repeats that is used, since gateways
// share nothing and callers' requests are counted where they arrive.
const budgetShare = 0.8

// slack is this gateway's part of the repeats that are free. A gateway that
// knows of few others may be cut off, so it never takes more than a third, and one
// that was heard of counts for a while after it has gone. What the process before
// this one spent is not known, so a new one's part grows from nothing.
func (g *Relay) slack() float64 {
	const fewest = 3
	b := g.bounds.Load()
	grown := min(1, float64(time.Since(g.began))/float64(b.RetryWindow))
	return grown * budgetShare * float64(b.RetrySlack) / float64(max(fewest, g.gossip.Known()))
}

// Reload puts new settings in force. What would need a restart is refused, and
// the old ones stay.
func (g *Relay) Reload(s *settings.Relay) error {
	if !g.Settings.Fixed(s) {
		return fault.New(fault.BadConfig, "names and addresses change only with a restart")
	}
	g.bounds.Store(&s.RelayBounds)
	g.table.SetLapse(lapse(&s.RelayBounds))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.windows {
		w.SetRatio(s.RetryRatio * budgetShare)
	}
	return nil
}

// Close ends every connection of the relay.
func (g *Relay) Close() { g.end() }

var _ http.Handler = (*Relay)(nil)
