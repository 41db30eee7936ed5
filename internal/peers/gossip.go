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

// Timing and limits of a Gossip.
const (
	announceInterval    = 500 * time.Millisecond  // Time between announcements without changes.
	minAnnounceInterval = 100 * time.Millisecond  // Least time between announcements with changes.
	announceTimeout     = time.Second             // Time allowed for the answer to an announcement.
	liveTimeout         = 2500 * time.Millisecond // A gateway not seen for this long is not live; longer if announcements pass through other gateways.
	forgetAfter         = 30 * time.Second
	// RememberFor is how long a gateway counts in RecentCount. Parts of the fleet lose each other for
	// minutes.
	RememberFor        = 10 * time.Minute
	pullDelay          = 150 * time.Millisecond // Delay before a pull, as the platform itself usually sends the change sooner.
	crossHallPullDelay = 800 * time.Millisecond // Delay before a pull from another hall, as a gateway of this hall usually sends the change sooner.
	pullTimeout        = 2 * time.Second
	// A gateway that watches the platform pushes changes to its hall up to this size. Larger
	// changes are announced, and the others pull them from one another.
	maxPushBytes = 16 << 10
	// maxFullPushBytes is the limit for a push of all records, which follows changes that no
	// watch reported: these are late already.
	maxFullPushBytes = 96 << 10
	// pushLookback is how far back a push reaches, so that the next push makes up for a lost
	// one.
	pushLookback = time.Second
	// A push to another hall goes to forwardersPerHall gateways. The first forwards it at once,
	// and another one only if no gateway of its hall has done so after standbyDelay.
	forwardersPerHall = 2
	standbyDelay      = 150 * time.Millisecond
	// gatewaysPerInterval is the number of gateways up to which each announces itself at the
	// full rate; beyond it, the interval grows in proportion.
	gatewaysPerInterval = 60
	// These bound what a gateway sends, however many gateways there are: the number of
	// gateways that it announces itself to, and of those that an announcement lists.
	neighbours   = 8
	maxKnownSent = 24
	// maxKnownToStarting bounds the list that a gateway gets that starts.
	maxKnownToStarting = 4096
	localNeighbours    = 6 // Neighbours that are in the same hall.
	roundsPerKnown     = 4 // One round in this many lists other gateways,
	startRounds        = 4 // and each of the first ones: many may start at once, and know few others.
	// watchersPerHall is how many gateways of a hall may watch the platform: each one only
	// while none that ranks before it does.
	watchersPerHall = 3
	// A gateway that watches announces that to the first gateways of all halls at this
	// interval; one of them begins to watch if it receives none within the timeout.
	watchAnnounceInterval = 300 * time.Millisecond
	watchTimeout          = time.Second
)

// Gossip maintains the list of gateways and keeps its mirror up to date with theirs. Set the
// exported fields before Run.
type Gossip struct {
	Self     Member
	Pool     *wire.Pool
	Mirror   *mirror.Mirror
	Follower *Follower // Reads the platform itself when needed.
	Join     []string  // Addresses to contact before any gateway is known.
	// Suspects are exchanged with other gateways; nil for none.
	Suspects *quarantine.Table

	mu          sync.Mutex
	members     map[string]*member   // By address.
	heard       map[string]time.Time // When each gateway was last heard of in RememberFor, by address.
	pulling     bool
	pullDelayed bool // A pull from another hall waits, since a gateway of this hall may send the changes.
	// pulledAt is the newest position that was pulled: other gateways may lack its changes as
	// well. forwardAt is the newest position that a gateway of another hall sent to be forwarded
	// in this hall. pushChanges has handled the changes up to handledAt.
	pulledAt, forwardAt, handledAt mirror.Position
	// hallPushAt is the newest position that a gateway of this hall pushed to this one.
	hallPushAt     mirror.Position
	rounds         int
	pushMarks      []pushMark // Recent positions of the mirror, the oldest first.
	joinAttempted  chan struct{}
	initOnce       sync.Once
	manyGateways   atomic.Bool // See ManyGateways; updated each round.
	capabilities   capabilityCache
	requestingHeld atomic.Bool // A request for records held by another gateway is under way.
}

type member struct {
	Member
	lastHeard      time.Time // Zero if it never answered.
	lastNamed      time.Time // When another gateway last listed it.
	at             mirror.Position
	watching       bool // It watches the platform, by its last announcement.
	announcing     bool
	live           bool   // As last logged.
	suspectsDigest uint64 // Its quarantine.Table.Digest, by its last announcement.
}

func (g *Gossip) init() {
	g.initOnce.Do(func() {
		g.members = map[string]*member{}
		g.heard = map[string]time.Time{}
		g.joinAttempted = make(chan struct{})
	})
}

// Serve registers the handlers that answer other gateways.
func (g *Gossip) Serve(hs *wire.Handlers) {
	g.init()
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *Announcement) {
		g.handleAnnouncement(m, time.Time{})
		eras, _ := g.capabilities.load(s.Conn())
		_ = s.SendLast(ctx, g.announcement(m.From.Addr, knownToAnswer(m), eras))
	})
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *Pull) {
		_ = s.SendLast(ctx, g.answerPull(s.Conn(), m))
	})
	wire.On(hs, g.serveCapabilities)
	wire.On(hs, g.serveHeldKeys)
	wire.On(hs, g.serveHeldRequest)
	wire.On(hs, func(_ context.Context, s *wire.Stream, m *Records) {
		g.handlePush(m, s.Conn().Remote().Hall)
	})
}

// Live returns the gateways seen recently, including this one.
func (g *Gossip) Live() []Member {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Member{g.Self}
	now := time.Now()
	for _, m := range g.members {
		if g.isLive(m, now) {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}

// KnownCount returns the number of gateways that have been seen and are not forgotten yet,
// including this one: those that have recently fallen silent count too.
func (g *Gossip) KnownCount() int {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, m := range g.members {
		if !m.lastHeard.IsZero() {
			n++
		}
	}
	return n
}

// RecentCount returns the number of gateways that were heard of in the last minutes, including this
// one: those that have fallen silent may be cut off and go on.
func (g *Gossip) RecentCount() int {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.heard)
}

// ManyGateways reports whether there are so many gateways that agents report to some of them
// only.
func (g *Gossip) ManyGateways() bool { return g.manyGateways.Load() }

// isLive reports whether a gateway was seen recently. The caller holds g.mu.
func (g *Gossip) isLive(m *member, now time.Time) bool {
	hops := 1 + len(g.members)/(2*neighbours)
	return now.Sub(m.lastHeard) < time.Duration(hops)*liveTimeout
}

// knownToAnswer returns how many gateways the answer to an announcement lists. A gateway that
// starts, and so has no records or lists only itself, needs all of them: it may at once be the one
// that forwards changes in its hall, and where all start no single list is complete.
func knownToAnswer(a *Announcement) int {
	switch {
	case a.At == 0, len(a.Known) == 1 && a.Known[0].Addr == a.From.Addr:
		return maxKnownToStarting
	case len(a.Known) > 0:
		return maxKnownSent
	}
	return 0
}

// announcement returns the announcement for the gateway at an address, with a list of up to
// maxKnown gateways. It includes the era if that gateway supports eras.
func (g *Gossip) announcement(to string, maxKnown int, eras bool) *Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	a := &Announcement{From: g.Self, Watching: g.Follower.Watching()}
	a.CurrentAge = now.Sub(g.Follower.CurrentAsOf()) // Read before At, so that it does not belong to an older position.
	a.CompleteAge = now.Sub(g.Follower.CompleteAsOf())
	a.At = g.Mirror.At()
	a.ChangeAges = changeAges(g.Mirror.WithHistory(now.Add(-changeAgesFor)), now)
	if !eras {
		a.withoutEra()
	}
	g.addSuspects(a, to, now)
	if maxKnown == 0 {
		return a
	}
	for _, m := range g.members { // In random order, so that each is listed in time.
		if len(a.Known) >= maxKnown {
			break
		}
		if g.isLive(m, now) {
			a.Known = append(a.Known, KnownMember{m.Member, now.Sub(m.lastHeard), m.watching})
		}
	}
	if len(a.Known) == 0 { // See knownToAnswer.
		a.Known = append(a.Known, KnownMember{g.Self, 0, a.Watching})
	}
	return a
}

func (g *Gossip) recordMember(m Member, now time.Time) *member {
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
	e.Addr, e.lastNamed = m.Addr, now
	return e
}

// handleAnnouncement processes another gateway's announcement: the answer to a request sent at
// requestedAt, or an unsolicited one if that is zero.
func (g *Gossip) handleAnnouncement(a *Announcement, requestedAt time.Time) {
	now := time.Now()
	g.mu.Lock()
	e := g.recordMember(a.From, now)
	if e == nil {
		g.mu.Unlock()
		return
	}
	e.lastHeard, e.at, e.suspectsDigest = now, max(e.at, a.At), a.SuspectsDigest
	g.heard[a.From.Addr] = now
	e.watching = a.Watching && a.At.Era() >= g.Mirror.At().Era() // Otherwise it sends no changes that apply here.
	if !e.live {
		e.live = true
		telemetry.Log("peer_gained", "peer", e.Name, "addr", e.Addr, "hall", e.Hall, "at", a.At)
		g.announceHeld(g.Pool.Lifetime, []string{e.Addr})
	}
	for _, k := range a.Known {
		if e := g.recordMember(k.Member, now); e != nil && now.Add(-k.Age).After(e.lastHeard) {
			e.lastHeard, e.watching = now.Add(-k.Age), k.Watching
			g.heard[k.Addr] = e.lastHeard
		}
	}
	behind := a.At > g.Mirror.At() && !g.pulling
	crossHall := behind && a.From.Hall != g.Self.Hall && g.hasLocalSource(now)
	switch {
	case crossHall && g.pullDelayed:
		behind = false
	case crossHall:
		g.pullDelayed = true
	default:
		g.pulling = g.pulling || behind
	}
	g.mu.Unlock()
	g.learnSuspects(a, requestedAt, now)
	if a.At == g.Mirror.At() {
		g.Follower.MarkCurrent(now.Add(-a.CurrentAge))
	}
	if !requestedAt.IsZero() { // An unsolicited announcement may have been delayed.
		g.learnChangeAges(a, requestedAt)
	}
	switch {
	case crossHall && behind:
		go g.pullAfterDelay(a.From.Addr)
	case behind:
		go g.pull(a.From.Addr)
	}
}

// learnChangeAges applies the ages in another gateway's answer to a request sent at
// requestedAt.
func (g *Gossip) learnChangeAges(a *Announcement, requestedAt time.Time) {
	if at := g.Mirror.At(); a.At <= at && a.At.Era() == at.Era() {
		g.Follower.MarkComplete(requestedAt.Add(-a.CompleteAge))
	}
	for _, d := range a.ChangeAges {
		g.Mirror.UpdateNotBefore(d.Key, d.Rev, requestedAt.Add(-d.Age))
	}
}

// JoinAttempted returns a channel that is closed once every address in Join was contacted,
// whether it answered or not.
func (g *Gossip) JoinAttempted() <-chan struct{} {
	g.init()
	return g.joinAttempted
}

// Run announces this gateway to others until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	g.init()
	for _, addr := range g.Join {
		g.mu.Lock()
		g.recordMember(Member{Addr: addr}, time.Now())
		g.mu.Unlock()
	}
	firstRound := g.round(ctx)
	go func() {
		firstRound.Wait()
		close(g.joinAttempted)
	}()
	due := time.Now().Add(g.nextRound())
	for ctx.Err() == nil {
		_, changed := g.Mirror.Watch()
		suspects := g.urgentSuspects()
		began := time.Now()
		t := time.NewTimer(max(time.Millisecond, due.Sub(began)))
		urgentRound := false
		select {
		case <-changed:
		case <-suspects:
			urgentRound = true
			kernel.Sleep(ctx, minUrgentInterval-minAnnounceInterval)
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		kernel.Sleep(ctx, minAnnounceInterval-time.Since(began))
		updated := isClosed(changed) // Including changes during the pauses above.
		// A round is due however often changes are pushed: rounds show that the other gateways
		// are live and that this gateway's mirror is complete.
		if updated && g.pushChanges(ctx) && !urgentRound && time.Now().Before(due) {
			continue
		}
		g.round(ctx)
		due = time.Now().Add(g.nextRound())
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

// AnnounceWatching sends announcements to the first gateways of all halls while this gateway
// watches the platform, so that they need not watch it themselves.
func (g *Gossip) AnnounceWatching(ctx context.Context) error {
	g.init()
	for ctx.Err() == nil {
		if g.Follower.Watching() {
			g.mu.Lock()
			g.announce(ctx, g.watchCandidates(time.Now()), false)
			g.mu.Unlock()
		}
		kernel.Sleep(ctx, watchAnnounceInterval)
	}
	return nil
}

// nextRound returns the time until the next announcement without changes.
func (g *Gossip) nextRound() time.Duration {
	if g.Mirror.At() == 0 {
		return minAnnounceInterval // Another gateway may have records by now.
	}
	return g.RoundInterval()
}

// RoundInterval returns the time between two announcements without changes.
func (g *Gossip) RoundInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return announceInterval * time.Duration(max(gatewaysPerInterval, len(g.members))) / gatewaysPerInterval
}

// round announces this gateway to its neighbours, except those that an announcement is already
// under way to.
func (g *Gossip) round(ctx context.Context) *sync.WaitGroup {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireMembers(now)
	g.manyGateways.Store(len(g.members) >= meshLimit)
	others := g.rounds < startRounds || g.rounds%roundsPerKnown == 0
	g.rounds++
	to := g.chooseNeighbours(now)
	g.announceHeld(ctx, to)
	return g.announce(ctx, to, others)
}

// announce sends an announcement to each of the given gateways that none is under way to. The
// caller holds g.mu.
func (g *Gossip) announce(ctx context.Context, to []string, others bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, addr := range to {
		m := g.members[addr]
		if m.announcing {
			continue
		}
		m.announcing = true
		maxKnown := 0
		if others || m.lastHeard.IsZero() {
			maxKnown = maxKnownSent
		}
		wg.Go(func() {
			g.announceTo(ctx, addr, maxKnown)
			g.mu.Lock()
			m.announcing = false
			g.mu.Unlock()
		})
	}
	return &wg
}

func (g *Gossip) announceTo(ctx context.Context, addr string, maxKnown int) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return
	}
	eras := g.capabilities.query(ctx, c)
	requestedAt := time.Now()
	m, err := c.Call(ctx, g.announcement(addr, maxKnown, eras))
	if a, ok := m.(*Announcement); ok && err == nil {
		g.handleAnnouncement(a, requestedAt)
	}
}
