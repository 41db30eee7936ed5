package stager

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/link"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/weights"
	"github.com/poststand/poststand/wire"
)

// Codec encodes and decodes every message that a stager sends or receives.
var Codec = wire.NewCodec(weights.Messages, peers.Messages)

// roleAgent is the role that an agent gives in its handshake.
const roleAgent = "agent"

// Options are the external dependencies of a Stager.
type Options struct {
	Replica Replica
	Origin  Origin
	// Platform reads records from the platform while no gateway answers, and Catalog
	// builds a catalog from them.
	Platform     *peers.Follower
	KeepsHistory func(key string) bool // See mirror.Mirror.
	HoldPolicy   mirror.HoldPolicy
	Catalog      func(rs map[string]mirror.Record, at mirror.Position) *catalog.Catalog
	Dial         func(ctx context.Context, addr string) (net.Conn, error) // TCP by default.
}

// Stager is the agent of one box. Use New to create one.
type Stager struct {
	Settings *settings.Stager
	Metrics  *telemetry.Metrics

	options        Options
	startedAt      time.Time
	pool           *wire.Pool // For assignments and statuses; the exchange has its own pool for weights.
	exchange       *weights.Exchange
	handlers       *wire.Handlers
	lifetime       context.Context
	cancel         context.CancelFunc
	assignments    assignments
	pieces         pieceIndex
	status         status
	claims         claims
	mirror         mirror.Mirror
	linkLimiter    *rate.Limiter
	transferEvents eventCounts
	bounds         atomic.Pointer[settings.StagerReloadable]
	slowUntil      time.Time // The link counts as slow until then; used by the loader only.
	// stagedChecked reports whether the weights that were staged before the start have
	// been read back.
	stagedChecked atomic.Bool
	completed     chan struct{} // Receives when a version becomes complete; capacity 1.
	upToDate      atomic.Bool   // The box has the whole assigned version.
	// stagedArtifact is the version that was last staged or read back whole; empty for none. It spares
	// the staging of pieces that are there, and proves nothing: they are read back before an order.
	stagedArtifact atomic.Value // A string.
	unanswered     unansweredCalls
	readers        int // Staged pieces that are read back at a time; used by the loader only. 0 counts as 1.
	// quarantined holds the quarantined requests that the last gateway sent; nil before.
	quarantined atomic.Pointer[quarantine.Table]
	backoff     backoff
	freshReport sharedReport
}

// New returns a stager that is ready to run.
func New(s *settings.Stager, o Options) (*Stager, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	st := &Stager{Settings: s, Metrics: m, options: o, startedAt: time.Now(), completed: make(chan struct{}, 1)}
	st.options.Replica = st.backoff.wrap(o.Replica)
	st.unanswered.add(call{}, st.startedAt) // An earlier agent of the box may have left one.
	st.bounds.Store(&s.StagerReloadable)
	st.lifetime, st.cancel = context.WithCancel(context.Background())
	local := wire.Hello{
		Cluster: s.Cluster, Box: boxOf(s.Listen), Hall: s.Hall, Role: roleAgent, Incarnation: rand.Uint64() | 1,
	}
	st.handlers = &wire.Handlers{}
	st.pool = &wire.Pool{Local: local, Codec: Codec, Options: st.wireOptions(), Dial: link.Dialer{Starting: st.noGatewayYet, Connect: o.Dial}.Dial, Lifetime: st.lifetime, Handlers: st.handlers, RedialDelay: redialAfter}
	st.exchange = &weights.Exchange{
		Self:  weights.Member{Name: local.Box, Hall: s.Hall, Addr: s.Listen},
		Store: &weights.Store{Limit: s.Memory}, Strategy: weights.Swarm,
		Pool:        &wire.Pool{Local: local, Codec: Codec, Options: st.wireOptions(), Dial: link.Dialer{Starting: st.justStarted, Connect: o.Dial}.Dial, Lifetime: st.lifetime, Handlers: st.handlers, RedialDelay: redialAfter},
		FetchOrigin: st.fetchFromOrigin, Pace: st.pace, PartBytes: sendPart, UploadSlots: uploadSlots, UploadQueue: uploadQueue, Parallel: maxFetches, PreferHall: true, AdaptiveParallel: true, OriginParallel: maxAtOrigin, FlushInterval: flushAfter,
		Event: st.weightsEvent,
	}
	st.linkLimiter = rate.NewLimiter(rate.Limit(linkShare*st.linkRate()), sendPart)
	st.exchange.Serve(st.handlers)
	wire.On(st.handlers, st.serveLoadQuery)
	st.options.Platform.Mirror = &st.mirror
	st.options.Platform.Needed = st.assignments.isolated
	st.options.Platform.MaxAssumedAge = peers.MaxAssumedAgeFor(s.VersionWithin)
	st.mirror.KeepsHistory, st.mirror.HoldPolicy, st.mirror.OnEvent = o.KeepsHistory, o.HoldPolicy, peers.LogMirrorEvent
	return st, nil
}

// Shortly after its start an agent uses shorter dial timeouts, see link.Dialer.
const (
	startupPeriod = 2 * time.Second
	redialAfter   = 100 * time.Millisecond // Least time between a failed dial and the next one to the same process.
)

// noGatewayYet reports whether no gateway has answered since the start.
func (s *Stager) noGatewayYet() bool { return !s.assignments.contacted() }

// justStarted reports whether the process is in its startup period.
func (s *Stager) justStarted() bool { return time.Since(s.startedAt) < startupPeriod }

// The replica's answers share the box's link with weights. Uploads are paced just below
// the link's rate, in small parts, so that no queue builds up on the link in which
// events of an answer would wait.
const (
	linkShare   = 0.85
	idleShare   = 0.95 // Instead of linkShare while the replica runs no requests.
	sendPart    = 4 << 10
	uploadSlots = 1
	uploadQueue = 1 // Keeps the link busy between two uploads; a longer queue delays a chunk at each box that passes it on.
	maxFetches  = 6
	maxAtOrigin = 3                     // Several chunks that this box is the first to fetch may be due at once.
	flushAfter  = 25 * time.Millisecond // Chunks are small, so neighbours are notified of new ones with little delay.
	bitsPerMega = 1e6
	bitsPerByte = 8
)

// weightsEvent counts an event of the exchange of weights.
func (s *Stager) weightsEvent(e weights.Event) {
	s.Metrics.Event("weights_"+string(e.Kind), "")
	s.transferEvents.add(e.Kind)
}

// eventCounts counts events of the exchange of weights by kind, for the log.
type eventCounts struct {
	mu     sync.Mutex
	byKind map[weights.EventKind]int
}

func (c *eventCounts) add(k weights.EventKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = map[weights.EventKind]int{}
	}
	c.byKind[k]++
}

// take returns the counts since the last call of take, as a list of "kind=count".
func (c *eventCounts) take() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []string
	for _, k := range slices.Sorted(maps.Keys(c.byKind)) {
		counts = append(counts, fmt.Sprintf("%s=%d", k, c.byKind[k]))
	}
	c.byKind = nil
	return strings.Join(counts, ",")
}

// linkRate returns the rate of the box's link in bytes a second.
func (s *Stager) linkRate() float64 { return s.bounds.Load().Link * bitsPerMega / bitsPerByte }

func (s *Stager) pace(ctx context.Context, n int) error {
	limit := rate.Limit(s.uploadShare() * s.linkRate() * s.availableShare())
	if s.linkLimiter.Limit() != limit {
		s.linkLimiter.SetLimit(limit)
	}
	return s.linkLimiter.WaitN(ctx, n)
}

// uploadShare returns the share of the link that uploads use.
func (s *Stager) uploadShare() float64 {
	if rep, ok := s.status.report(); ok && rep.Queued == 0 && rep.Running == 0 {
		return idleShare
	}
	return linkShare
}

// availableShare estimates the share of the link's configured rate that is available now.
func (s *Stager) availableShare() float64 {
	a, _, _ := s.assignments.watch()
	if a == nil {
		return 1
	}
	if t := s.exchange.Transfer(artifactName(a.Model, a.Version)); t != nil {
		return t.ParallelFraction()
	}
	return 1
}

// boxOf returns the name of the box with an address: its IP, since other boxes of
// the service are given only the address of the box's replica.
func boxOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

func (s *Stager) wireOptions() wire.Options {
	const pingEvery, stallAfter = 500 * time.Millisecond, 1500 * time.Millisecond
	return wire.Options{
		PingInterval: pingEvery, StallTimeout: stallAfter, PingIntervalFor: s.pingInterval,
		OnFault: func(c fault.Code) { s.Metrics.Event("connection", string(c)) },
	}
}

// pingIdle is the interval of pings to other agents while this box has all weights that it is assigned.
const pingIdle = 2 * time.Second

// pingInterval returns the interval of pings on a connection, or zero for the default.
// Agents keep their connections to one another open, and these are idle most of the time.
func (s *Stager) pingInterval(peer wire.Hello) time.Duration {
	if peer.Role == roleAgent && s.upToDate.Load() {
		return pingIdle
	}
	return 0
}

// AddTasks adds the background tasks of the stager to k.
func (s *Stager) AddTasks(k *kernel.Kernel) {
	k.Add("assignments", &s.assignments, s.subscribe)
	k.Add("platform", s.options.Platform, s.options.Platform.Run)
	k.AddTask(s.assignFromPlatform)
	k.Add("loader", nil, s.load)
	k.Add("status", &s.status, s.watchReplica)
	k.AddTask(s.sendStatuses)
}

// Server returns the server for connections of other agents, and of gateways that query the load
// of the replica.
func (s *Stager) Server() *wire.Server {
	options := s.pool.Options
	options.PingIntervalFor = s.servedPingInterval
	return &wire.Server{Local: s.pool.Local, Codec: Codec, Handlers: s.handlers, Options: options}
}

// Run runs the stager until ctx ends.
func (s *Stager) Run(ctx context.Context) error {
	onFault := func(c fault.Code) { s.Metrics.Event("listener", string(c)) }
	ln, err := wire.Listen(s.Settings.Listen, onFault)
	if err != nil {
		return err
	}
	srv := s.Server()
	var k kernel.Kernel
	s.AddTasks(&k)
	k.Add("peers", srv, func(ctx context.Context) error { return srv.Serve(ctx, ln) })
	if s.Settings.Admin != "" {
		admin, err := wire.Listen(s.Settings.Admin, onFault)
		if err != nil {
			return err
		}
		a := &telemetry.Admin{Metrics: s.Metrics, Ready: func() error { return nil }, Status: func() any { return s.status.get() }}
		k.AddTask(func(ctx context.Context) error { return telemetry.ServeHTTP(ctx, admin, a.Server()) })
	}
	telemetry.Log("agent_started", "box", s.Settings.Box, "hall", s.Settings.Hall, "incarnation", s.pool.Local.Incarnation)
	defer s.Close()
	err = k.Run(ctx)
	telemetry.Log("agent_stopped", "box", s.Settings.Box, "reason", fault.CodeOf(err))
	return err
}

// Reload applies new settings. It returns an error, and keeps the old ones, if a setting
// differs that only a restart can change.
func (s *Stager) Reload(n *settings.Stager) error {
	if !s.Settings.CanReload(n) {
		return fault.New(fault.BadConfig, "names and addresses change only with a restart")
	}
	s.bounds.Store(&n.StagerReloadable)
	return nil
}

// Close closes all connections of the stager.
func (s *Stager) Close() { s.cancel() }

// pieceIndex maps the digest of a chunk to the piece of a version that it belongs to.
type pieceIndex struct {
	mu       sync.Mutex
	byDigest map[string]piece
}

type piece struct {
	model   string
	version uint64
	number  int
}

func (p *pieceIndex) add(model string, version uint64, m *weights.Manifest) {
	const maxVersions = 8 // All but the last few versions are no longer in use.
	p.mu.Lock()
	defer p.mu.Unlock()
	for digest, at := range p.byDigest {
		if at.model != model || at.version+maxVersions <= version {
			delete(p.byDigest, digest)
		}
	}
	if p.byDigest == nil {
		p.byDigest = map[string]piece{}
	}
	for _, f := range m.Files {
		for i, c := range f.Chunks {
			p.byDigest[c.Digest] = piece{model, version, i}
		}
	}
}

func (p *pieceIndex) find(digest string) (piece, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.byDigest[digest]
	return at, ok
}
