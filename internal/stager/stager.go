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

// Codec knows every message that a stager sends or takes.
var Codec = wire.NewCodec(weights.Messages, peers.Messages)

// roleAgent is what an agent calls itself towards other processes.
const roleAgent = "agent"

// Options are the seams of a Stager: what lies on the other side of its box.
type Options struct {
	Replica Replica
	Origin  Origin
	// Platform reads the platform itself while no gateway answers, and Catalog
	// translates what it reads.
	Platform     *peers.Follower
	KeepsHistory func(key string) bool // See mirror.Mirror.
	Outlasts     mirror.HoldPolicy
	Catalog      func(rs map[string]mirror.Record, at mirror.Position) *catalog.Catalog
	Dial         func(ctx context.Context, addr string) (net.Conn, error) // TCP by default.
}

// Stager is one agent. Use New.
type Stager struct {
	Settings *settings.Stager
	Metrics  *telemetry.Metrics

	options   Options
	began     time.Time
	pool      *wire.Pool // For words,
	exchange  *weights.Exchange
	handlers  *wire.Handlers
	life      context.Context
	end       context.CancelFunc
	now       assignments
	pieces    pieces
	status    status
	claims    claims
	mirror    mirror.Mirror
	links     *rate.Limiter
	moved     moved
	bounds    atomic.Pointer[settings.StagerBounds]
	slowUntil time.Time // The link counts as slow until then; only the loader touches it.
	// recovered says that what the box held was read back.
	recovered atomic.Bool
	whole     chan struct{}            // A ring of one: a version has become whole here.
	rests     atomic.Bool              // The box lacks nothing of what is assigned.
	readBack  atomic.Pointer[readBack] // Nil until a whole version was read back.
	// quarantined are the requests that the last gateway told of; nil before.
	quarantined atomic.Pointer[quarantine.Table]
	rest        rest
}

// New returns a stager with its parts joined.
func New(s *settings.Stager, o Options) (*Stager, error) {
	m, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	st := &Stager{Settings: s, Metrics: m, options: o, began: time.Now(), whole: make(chan struct{}, 1)}
	st.options.Replica = st.rest.respect(o.Replica)
	st.bounds.Store(&s.StagerBounds)
	st.life, st.end = context.WithCancel(context.Background())
	local := wire.Hello{
		Cluster: s.Cluster, Box: boxOf(s.Listen), Hall: s.Hall, Role: roleAgent, Incarnation: rand.Uint64() | 1,
	}
	st.handlers = &wire.Handlers{}
	st.pool = &wire.Pool{Local: local, Codec: Codec, Options: st.wireOptions(), Dial: link.Dialer{Starts: st.unmet, Connect: o.Dial}.Dial, Lifetime: st.life, Handlers: st.handlers, RedialDelay: redial}
	st.exchange = &weights.Exchange{
		Self:  weights.Member{Name: local.Box, Hall: s.Hall, Addr: s.Listen},
		Store: &weights.Store{Limit: s.Memory}, Strategy: weights.Swarm,
		Pool:        &wire.Pool{Local: local, Codec: Codec, Options: st.wireOptions(), Dial: link.Dialer{Starts: st.fresh, Connect: o.Dial}.Dial, Lifetime: st.life, Handlers: st.handlers, RedialDelay: redial},
		FetchOrigin: st.fromOrigin, Pace: st.pace, PartBytes: sendPart, UploadSlots: uploadSlots, UploadQueue: uploadQueue, Parallel: fetches, PreferHall: true, AdaptiveParallel: true, OriginParallel: atOrigin, FlushInterval: flush,
		Event: st.weightsEvent,
	}
	st.links = rate.NewLimiter(rate.Limit(linkShare*st.linkRate()), sendPart)
	st.exchange.Serve(st.handlers)
	st.options.Platform.Mirror = &st.mirror
	st.options.Platform.Needed = st.now.orphaned
	st.options.Platform.MaxAssumedAge = peers.MaxAssumedAgeFor(s.VersionWithin)
	st.mirror.KeepsHistory, st.mirror.HoldPolicy, st.mirror.OnEvent = o.KeepsHistory, o.Outlasts, peers.LogMirrorEvent
	return st, nil
}

// Just after its start an agent waits less for others, see link.Dialer.
const (
	startsFor = 2 * time.Second
	redial    = 100 * time.Millisecond // Another process is left alone so long after it was not reached.
)

// unmet reports whether no gateway has answered yet.
func (s *Stager) unmet() bool { return !s.now.met() }

// fresh reports whether the process has only just started.
func (s *Stager) fresh() bool { return time.Since(s.began) < startsFor }

// The replica's answers leave over the same link as weights. What is sent is
// paced just below the link's rate, in small parts, so that the link has no queue
// in which an event of an answer would wait.
const (
	linkShare   = 0.85
	sendPart    = 4 << 10
	uploadSlots = 1
	uploadQueue = 4 // So that the link is not idle between two.
	fetches     = 6
	atOrigin    = 3                     // Chunks that this box is first for may be due together.
	flush       = 25 * time.Millisecond // Chunks are small; neighbours are told at once.
	bitsPerMega = 1e6
	bitsPerByte = 8
)

// weightsEvent counts what happened to weights.
func (s *Stager) weightsEvent(e weights.Event) {
	s.Metrics.Event("weights_"+string(e.Kind), "")
	s.moved.add(e.Kind)
}

// moved counts events of weights by their kind, for the log.
type moved struct {
	mu    sync.Mutex
	kinds map[weights.EventKind]int
}

func (m *moved) add(k weights.EventKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = map[weights.EventKind]int{}
	}
	m.kinds[k]++
}

// take returns the counts since the last take, as "kind=count" words.
func (m *moved) take() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var words []string
	for _, k := range slices.Sorted(maps.Keys(m.kinds)) {
		words = append(words, fmt.Sprintf("%s=%d", k, m.kinds[k]))
	}
	m.kinds = nil
	return strings.Join(words, ",")
}

// linkRate is the bytes a second of the box's link.
func (s *Stager) linkRate() float64 { return s.bounds.Load().Link * bitsPerMega / bitsPerByte }

func (s *Stager) pace(ctx context.Context, n int) error {
	limit := rate.Limit(linkShare * s.linkRate() * s.ease())
	if s.links.Limit() != limit {
		s.links.SetLimit(limit)
	}
	return s.links.WaitN(ctx, n)
}

// ease is the part of the link's rate that it seems to have.
func (s *Stager) ease() float64 {
	a, _, _ := s.now.watch()
	if a == nil {
		return 1
	}
	if t := s.exchange.Transfer(artifactOf(a.Model, a.Version)); t != nil {
		return t.ParallelFraction()
	}
	return 1
}

// boxOf names a box by the IP of an address on it: all that other boxes of the
// same service know of it is the address of its replica.
func boxOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

func (s *Stager) wireOptions() wire.Options {
	const ping, stall = 500 * time.Millisecond, 1500 * time.Millisecond
	return wire.Options{
		PingInterval: ping, StallTimeout: stall, PingIntervalFor: s.pings,
		OnFault: func(c fault.Code) { s.Metrics.Event("connection", string(c)) },
	}
}

// pingResting is the time between pings of two agents while neither lacks weights.
const pingResting = 2 * time.Second

// pings gives the time between pings on a connection, zero for the usual one. Agents
// keep their connections to one another, and most of the time have nothing to say.
func (s *Stager) pings(peer wire.Hello) time.Duration {
	if peer.Role == roleAgent && s.rests.Load() {
		return pingResting
	}
	return 0
}

// AddTasks adds to k what a stager does without being asked.
func (s *Stager) AddTasks(k *kernel.Kernel) {
	k.Add("assignments", &s.now, s.subscribe)
	k.Add("platform", s.options.Platform, s.options.Platform.Run)
	k.AddTask(s.assignAlone)
	k.Add("loader", nil, s.load)
	k.Add("status", &s.status, s.watchReplica)
	k.AddTask(s.tellGateways)
}

// Server returns what accepts other agents' connections.
func (s *Stager) Server() *wire.Server {
	return &wire.Server{Local: s.pool.Local, Codec: Codec, Handlers: s.handlers, Options: s.pool.Options}
}

// Run runs the stager until ctx ends.
func (s *Stager) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, "listen")
	}
	srv := s.Server()
	var k kernel.Kernel
	s.AddTasks(&k)
	k.Add("peers", srv, func(ctx context.Context) error { return srv.Serve(ctx, ln) })
	if s.Settings.Admin != "" {
		admin, err := net.Listen("tcp", s.Settings.Admin)
		if err != nil {
			return fault.Wrap(fault.Unreachable, err, "admin")
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

// Reload puts new settings in force. What would need a restart is refused, and
// the old ones stay.
func (s *Stager) Reload(n *settings.Stager) error {
	if !s.Settings.Fixed(n) {
		return fault.New(fault.BadConfig, "names and addresses change only with a restart")
	}
	s.bounds.Store(&n.StagerBounds)
	return nil
}

// Close ends every connection of the stager.
func (s *Stager) Close() { s.end() }

// pieces finds what a chunk's digest stands for.
type pieces struct {
	mu sync.Mutex
	by map[string]piece
}

type piece struct {
	model   string
	version uint64
	number  int
}

func (p *pieces) note(model string, version uint64, m *weights.Manifest) {
	const most = 8 // Versions that are kept; all but the last few are over.
	p.mu.Lock()
	defer p.mu.Unlock()
	for digest, at := range p.by {
		if at.model != model || at.version+most <= version {
			delete(p.by, digest)
		}
	}
	if p.by == nil {
		p.by = map[string]piece{}
	}
	for _, f := range m.Files {
		for i, c := range f.Chunks {
			p.by[c.Digest] = piece{model, version, i}
		}
	}
}

func (p *pieces) find(digest string) (piece, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.by[digest]
	return at, ok
}
