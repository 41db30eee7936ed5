package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// Waits of a Gossip.
const (
	announceEvery = 500 * time.Millisecond  // Without news,
	announceLeast = 100 * time.Millisecond  // and between two that have some.
	announceIn    = time.Second             // An announcement without an answer is given up.
	liveFor       = 2500 * time.Millisecond // With few gateways; longer where signs travel through others.
	forgetAfter   = 30 * time.Second
	pullAfter     = 150 * time.Millisecond // The platform itself usually tells sooner.
	pullWithin    = 2 * time.Second
	// What a gateway sends is bounded, however many there are: it announces itself
	// to so many others, and tells of so many.
	neighbours = 8
	toldOf     = 24
)

// Gossip keeps the list of gateways and a mirror that is no older than theirs.
// Set the exported fields before Run.
type Gossip struct {
	Self   Member
	Pool   *wire.Pool
	Mirror *mirror.Mirror
	// Earliest is when a change may have been made that a peer tells of, and Sure
	// is told when a peer has told all.
	Earliest func() time.Time
	Sure     func()
	Join     []string // Addresses to ask before any gateway is known.

	mu      sync.Mutex
	members map[string]*member // By address.
	pulling bool
	learnt  chan struct{}
	once    sync.Once
}

type member struct {
	Member
	heard   time.Time // Zero if it never answered.
	named   time.Time // When someone last named it.
	at      uint64
	talking bool
	live    bool // As last logged.
}

func (g *Gossip) init() {
	g.once.Do(func() {
		g.members = map[string]*member{}
		g.learnt = make(chan struct{})
	})
}

// Serve registers the handlers that answer other gateways.
func (g *Gossip) Serve(hs *wire.Handlers) {
	g.init()
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *Announce) {
		g.heard(m)
		_ = s.SendLast(ctx, g.announcement())
	})
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *Pull) {
		_ = s.SendLast(ctx, &Records{Delta: g.Mirror.Since(m.Since)})
	})
}

// Live returns the gateways that were heard of late, this one among them.
func (g *Gossip) Live() []Member {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Member{g.Self}
	now := time.Now()
	for _, m := range g.members {
		if g.fresh(m, now) {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}

// fresh reports whether a gateway was heard of late. The caller holds g.mu.
func (g *Gossip) fresh(m *member, now time.Time) bool {
	hops := 1 + len(g.members)/(2*neighbours)
	return now.Sub(m.heard) < time.Duration(hops)*liveFor
}

// announcement tells of this gateway and of some others.
func (g *Gossip) announcement() *Announce {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	a := &Announce{From: g.Self, At: g.Mirror.At()}
	for _, m := range g.members { // In no order, so that all are told of in time.
		if len(a.Known) == toldOf {
			break
		}
		if g.fresh(m, now) {
			a.Known = append(a.Known, Known{m.Member, now.Sub(m.heard)})
		}
	}
	return a
}

func (g *Gossip) note(m Member, now time.Time) *member {
	if m.Addr == "" || m.Addr == g.Self.Addr {
		return nil
	}
	e, ok := g.members[m.Addr]
	if !ok {
		e = &member{}
		g.members[m.Addr] = e
	}
	if m.Name != "" {
		e.Member = m
	}
	e.Addr, e.named = m.Addr, now
	return e
}

// heard takes another gateway's announcement.
func (g *Gossip) heard(a *Announce) {
	now := time.Now()
	g.mu.Lock()
	e := g.note(a.From, now)
	if e == nil {
		g.mu.Unlock()
		return
	}
	e.heard, e.at = now, max(e.at, a.At)
	if !e.live {
		e.live = true
		telemetry.Log("peer_gained", "peer", e.Name, "addr", e.Addr, "hall", e.Hall, "at", a.At)
	}
	for _, k := range a.Known {
		if e := g.note(k.Member, now); e != nil && now.Add(-k.Age).After(e.heard) {
			e.heard = now.Add(-k.Age)
		}
	}
	behind := a.At > g.Mirror.At() && !g.pulling
	g.pulling = g.pulling || behind
	g.mu.Unlock()
	if behind {
		go g.pull(a.From.Addr)
	}
}

// pull asks a gateway for what this one lacks, unless the platform has told it
// meanwhile.
func (g *Gossip) pull(addr string) {
	defer func() {
		g.mu.Lock()
		g.pulling = false
		g.mu.Unlock()
	}()
	life := g.Pool.Lifetime
	if g.Mirror.At() > 0 {
		kernel.Sleep(life, pullAfter)
	}
	g.mu.Lock()
	at := g.members[addr].at
	g.mu.Unlock()
	since := g.Mirror.At()
	if since >= at {
		return
	}
	ctx, cancel := context.WithTimeout(life, pullWithin)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	m, err := c.Call(ctx, &Pull{Since: since})
	r, ok := m.(*Records)
	if err != nil || !ok {
		telemetry.Log("pull_failed", "peer", addr, "since", since, "reason", fault.CodeOf(err))
		return
	}
	r.Delta.Heard = g.Earliest()
	taken := g.Mirror.Apply(r.Delta)
	if taken {
		g.Sure()
	}
	telemetry.Log("pulled", "peer", addr, "since", since, "at", r.Delta.At, "whole", r.Delta.Whole, "records", len(r.Delta.Records), "taken", taken)
}

// Learnt is closed once every address to join was asked, whether it answered or
// not.
func (g *Gossip) Learnt() <-chan struct{} {
	g.init()
	return g.learnt
}

// Run announces until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	g.init()
	for _, addr := range g.Join {
		g.mu.Lock()
		g.note(Member{Addr: addr}, time.Now())
		g.mu.Unlock()
	}
	first := g.round(ctx)
	go func() {
		first.Wait()
		close(g.learnt)
	}()
	for ctx.Err() == nil {
		_, changed := g.Mirror.Watch()
		began := time.Now()
		t := time.NewTimer(announceEvery)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		kernel.Sleep(ctx, announceLeast-time.Since(began))
		g.round(ctx)
	}
	return nil
}

// round announces to this gateway's neighbours that are not being talked to.
func (g *Gossip) round(ctx context.Context) *sync.WaitGroup {
	now := time.Now()
	var wg sync.WaitGroup
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	for _, addr := range g.chosen(now) {
		m := g.members[addr]
		if m.talking {
			continue
		}
		m.talking = true
		wg.Go(func() {
			g.announceTo(ctx, addr)
			g.mu.Lock()
			m.talking = false
			g.mu.Unlock()
		})
	}
	return &wg
}

// forget notes gateways that have fallen silent, and drops those of which nobody
// has heard for long. The caller holds g.mu.
func (g *Gossip) forget(now time.Time) {
	for addr, m := range g.members {
		live := g.fresh(m, now)
		if m.live && !live {
			telemetry.Log("peer_lost", "peer", m.Name, "addr", addr, "hall", m.Hall, "silent", now.Sub(m.heard))
		}
		m.live = m.live && live
		if now.Sub(m.heard) > forgetAfter && now.Sub(m.named) > forgetAfter && !slices.Contains(g.Join, addr) {
			delete(g.members, addr)
		}
	}
}

// chosen returns whom to announce to: all of a few, else the first ones in this
// gateway's own order, and one of the others at random, so that halves that have
// lost each other find together. The caller holds g.mu.
func (g *Gossip) chosen(now time.Time) []string {
	var live, others []string
	for addr, m := range g.members {
		if g.fresh(m, now) {
			live = append(live, addr)
		} else {
			others = append(others, addr)
		}
	}
	if len(live)+len(others) <= neighbours {
		return append(live, others...)
	}
	ranked := rendezvous.Rank("gossip/"+g.Self.Addr, live)
	out := ranked[:min(neighbours, len(ranked))]
	rest := append(others, ranked[len(out):]...)
	if len(out) < neighbours/2 {
		return append(out, rest...) // Hardly anybody answers; everybody is asked.
	}
	if len(rest) > 0 {
		out = append(out, rest[rand.IntN(len(rest))])
	}
	return out
}

func (g *Gossip) announceTo(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, announceIn)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	m, err := c.Call(ctx, g.announcement())
	if a, ok := m.(*Announce); ok && err == nil {
		g.heard(a)
	}
}
