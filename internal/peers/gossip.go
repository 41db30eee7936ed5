package peers

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/wire"
)

// Waits of a Gossip.
const (
	announceEvery = 500 * time.Millisecond  // Without news,
	announceLeast = 100 * time.Millisecond  // and between two that have some.
	announceIn    = time.Second             // An announcement without an answer is given up.
	liveFor       = 2500 * time.Millisecond // With few gateways; longer where signs travel through others.
	forgetAfter   = 30 * time.Second
	pullAfter     = 150 * time.Millisecond // Where the platform itself usually tells sooner.
	pullAcross    = 800 * time.Millisecond // From another hall, where one of the own hall usually tells sooner.
	pullWithin    = 2 * time.Second
	// A gateway that watches the platform passes on to its hall what changed, if it is
	// not more than this: larger changes are announced, and the others get them from
	// one another.
	pushMost = 16 << 10 // Bytes.
	// pushWhole is the same for all records, after changes that no watch told of: they
	// have been long on their way by then.
	pushWhole = 96 << 10
	// pushBack is how far back what is passed on reaches: one that was lost is made up
	// for by the next.
	pushBack = time.Second
	// announcedEach is with how many gateways each announces itself less often: the
	// time between two grows with their number beyond it.
	announcedEach = 60
	// What a gateway sends is bounded, however many there are: it announces itself
	// to so many others, and tells of so many.
	neighbours = 8
	toldOf     = 24
	inHall     = 6 // Of the neighbours.
	tellsOf    = 4 // Of so many announcements one tells of other gateways.
	// So many of a hall may watch the platform: each one only while none before it
	// does.
	watchers = 3
	// One that watches tells the first ones of all halls so often; one of them watches as
	// well if it has not been told for a while.
	leadEvery = 300 * time.Millisecond
	leadFor   = time.Second
)

// Gossip keeps the list of gateways and a mirror that is no older than theirs.
// Set the exported fields before Run.
type Gossip struct {
	Self     Member
	Pool     *wire.Pool
	Mirror   *mirror.Mirror
	Follower *Follower // Reads the platform itself, now and then.
	Join     []string  // Addresses to ask before any gateway is known.
	// Suspects are told to other gateways, and what they tell is learnt; nil is none.
	Suspects *quarantine.Table

	mu      sync.Mutex
	members map[string]*member // By address.
	pulling bool
	waiting bool // For one of the own hall to tell what one of another hall knows.
	// The newest revisions that came by a pull, where others may lack them as well, and
	// from a gateway of another hall, for all of this one; and up to which one it was
	// decided whether to pass them on.
	pulledAt, onwardAt, handledAt mirror.Position
	rounds                        int
	pushes                        []pushed // Of late, the oldest first.
	learnt                        chan struct{}
	once                          sync.Once
	many                          atomic.Bool // As of the last round.
	spoken                        spoken
	askingHeld                    atomic.Bool // Another gateway, for records that it holds.
}

type member struct {
	Member
	heard    time.Time // Zero if it never answered.
	named    time.Time // When someone last named it.
	at       mirror.Position
	watches  bool // It watches the platform, by its last sign.
	talking  bool
	live     bool   // As last logged.
	suspects uint64 // quarantine.Table.Digest of it, by its last sign.
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
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *Announcement) {
		g.heard(m, time.Time{})
		eras, _ := g.spoken.knows(s.Conn())
		_ = s.SendLast(ctx, g.announcement(m.From.Addr, len(m.Known) > 0, eras))
	})
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *Pull) {
		_ = s.SendLast(ctx, g.answerPull(s.Conn(), m))
	})
	wire.On(hs, g.serveSpeaks)
	wire.On(hs, g.serveHeldKeys)
	wire.On(hs, g.serveAskHeld)
	wire.On(hs, func(_ context.Context, _ *wire.Stream, m *Records) {
		g.takePush(m)
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

// KnownCount returns how many gateways there are by what was heard within a while, this
// one among them: those that have fallen silent count too.
func (g *Gossip) KnownCount() int {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, m := range g.members {
		if !m.heard.IsZero() {
			n++
		}
	}
	return n
}

// ManyGateways reports whether there are so many gateways that agents tell only some.
func (g *Gossip) ManyGateways() bool { return g.many.Load() }

// fresh reports whether a gateway was heard of late. The caller holds g.mu.
func (g *Gossip) fresh(m *member, now time.Time) bool {
	hops := 1 + len(g.members)/(2*neighbours)
	return now.Sub(m.heard) < time.Duration(hops)*liveFor
}

// announcement tells the gateway at an address of this one and, if others is set, of some
// others. It names the era if that gateway understands it.
func (g *Gossip) announcement(to string, others, eras bool) *Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	a := &Announcement{From: g.Self, Watching: g.Follower.Watching()}
	a.CurrentAge = now.Sub(g.Follower.CurrentAsOf()) // Before At, so that it is not of an older one.
	a.CompleteAge = now.Sub(g.Follower.CompleteAsOf())
	a.At = g.Mirror.At()
	a.ChangeAges = dates(g.Mirror.WithHistory(now.Add(-datedFor)), now)
	if !eras {
		a.withoutEra()
	}
	g.addSuspects(a, to, now)
	if !others {
		return a
	}
	for _, m := range g.members { // In no order, so that all are told of in time.
		if len(a.Known) == toldOf {
			break
		}
		if g.fresh(m, now) {
			a.Known = append(a.Known, KnownMember{m.Member, now.Sub(m.heard), m.watches})
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

// heard takes another gateway's announcement, which answers what was asked at a time, or
// came unasked if that is zero.
func (g *Gossip) heard(a *Announcement, asked time.Time) {
	now := time.Now()
	g.mu.Lock()
	e := g.note(a.From, now)
	if e == nil {
		g.mu.Unlock()
		return
	}
	e.heard, e.at, e.suspects = now, max(e.at, a.At), a.SuspectsDigest
	e.watches = a.Watching && a.At.Era() >= g.Mirror.At().Era() // Else it tells nothing that is taken here.
	if !e.live {
		e.live = true
		telemetry.Log("peer_gained", "peer", e.Name, "addr", e.Addr, "hall", e.Hall, "at", a.At)
		g.tellHeld(g.Pool.Lifetime, []string{e.Addr})
	}
	for _, k := range a.Known {
		if e := g.note(k.Member, now); e != nil && now.Add(-k.Age).After(e.heard) {
			e.heard, e.watches = now.Add(-k.Age), k.Watching
		}
	}
	behind := a.At > g.Mirror.At() && !g.pulling
	across := behind && a.From.Hall != g.Self.Hall && g.toldHere(now)
	switch {
	case across && g.waiting:
		behind = false
	case across:
		g.waiting = true
	default:
		g.pulling = g.pulling || behind
	}
	g.mu.Unlock()
	g.learnSuspects(a, asked, now)
	if a.At == g.Mirror.At() {
		g.Follower.MarkCurrent(now.Add(-a.CurrentAge))
	}
	if !asked.IsZero() { // Else it may have been long on its way.
		g.learn(a, asked)
	}
	switch {
	case across && behind:
		go g.pullLater(a.From.Addr)
	case behind:
		go g.pull(a.From.Addr)
	}
}

// learn takes what another gateway, asked at a time, knows of when changes were made.
func (g *Gossip) learn(a *Announcement, asked time.Time) {
	if at := g.Mirror.At(); a.At <= at && a.At.Era() == at.Era() {
		g.Follower.MarkComplete(asked.Add(-a.CompleteAge))
	}
	for _, d := range a.ChangeAges {
		g.Mirror.UpdateNotBefore(d.Key, d.Rev, asked.Add(-d.Age))
	}
}

// JoinAttempted is closed once every address to join was asked, whether it answered or
// not.
func (g *Gossip) JoinAttempted() <-chan struct{} {
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
	due := time.Now().Add(g.every())
	for ctx.Err() == nil {
		_, changed := g.Mirror.Watch()
		urgent := g.urgent()
		began := time.Now()
		t := time.NewTimer(max(time.Millisecond, due.Sub(began)))
		hurried := false
		select {
		case <-changed:
		case <-urgent:
			hurried = true
			kernel.Sleep(ctx, suspectsLeast-announceLeast)
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		kernel.Sleep(ctx, announceLeast-time.Since(began))
		news := isClosed(changed) // Also of what came while it slept.
		// However often changes are passed on: by a round the others are known to live, and
		// this one's mirror to be complete.
		if news && g.passedOn(ctx) && !hurried && time.Now().Before(due) {
			continue
		}
		g.round(ctx)
		due = time.Now().Add(g.every())
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// AnnounceWatching tells the first gateways of all halls, while this one watches the platform, that
// it does: they need not do so themselves then.
func (g *Gossip) AnnounceWatching(ctx context.Context) error {
	g.init()
	for ctx.Err() == nil {
		if g.Follower.Watching() {
			g.mu.Lock()
			g.announce(ctx, g.wouldWatch(time.Now()), false)
			g.mu.Unlock()
		}
		kernel.Sleep(ctx, leadEvery)
	}
	return nil
}

// every is the time between two announcements without news.
func (g *Gossip) every() time.Duration {
	if g.Mirror.At() == 0 {
		return announceLeast // Somebody may know by now.
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return announceEvery * time.Duration(max(announcedEach, len(g.members))) / announcedEach
}

// round announces to this gateway's neighbours that are not being talked to.
func (g *Gossip) round(ctx context.Context) *sync.WaitGroup {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	g.many.Store(len(g.members) >= tellAll)
	others := g.rounds%tellsOf == 0
	g.rounds++
	to := g.chosen(now)
	g.tellHeld(ctx, to)
	return g.announce(ctx, to, others)
}

// announce announces to those of some gateways that are not being talked to. The caller
// holds g.mu.
func (g *Gossip) announce(ctx context.Context, to []string, others bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, addr := range to {
		m := g.members[addr]
		if m.talking {
			continue
		}
		m.talking = true
		others := others || m.heard.IsZero()
		wg.Go(func() {
			g.announceTo(ctx, addr, others)
			g.mu.Lock()
			m.talking = false
			g.mu.Unlock()
		})
	}
	return &wg
}

func (g *Gossip) announceTo(ctx context.Context, addr string, others bool) {
	ctx, cancel := context.WithTimeout(ctx, announceIn)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	eras := g.spoken.ask(ctx, c)
	asked := time.Now()
	m, err := c.Call(ctx, g.announcement(addr, others, eras))
	if a, ok := m.(*Announcement); ok && err == nil {
		g.heard(a, asked)
	}
}
