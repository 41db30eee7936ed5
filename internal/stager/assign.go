package stager

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/rendezvous"
)

// assignments keeps the newest assignment.
type assignments struct {
	mu      sync.Mutex
	now     *peers.Assignment
	wanted  catalog.Target // What was named and when, by this box's clock.
	heard   time.Time      // When a gateway last gave a sign.
	asked   time.Time      // When the first gateway was asked.
	first   time.Duration  // Patience while nothing is assigned.
	changed chan struct{}
}

// patience is how long an agent waits for gateways before it reads the platform itself.
const patience = time.Second

// startWait is the same just after its start. All records may take half a second on a
// box's link.
var startWait = peers.StartDelay{
	EarlyOneIn: 12,
	Early:      150 * time.Millisecond, EarlyJitter: 450 * time.Millisecond,
	Later: 1200 * time.Millisecond, LaterJitter: 1200 * time.Millisecond,
}

func (a *assignments) init() {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
}

// set takes an assignment unless it is older than the one before.
func (a *assignments) set(n *peers.Assignment, from string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	old := a.now
	if old != nil && (overtaken(n.At, old.At) || n.Version < old.Version) {
		return
	}
	a.wanted = wantedBy(n, now, a.wanted)
	if old == nil || old.Model != n.Model || old.Version != n.Version {
		telemetry.Log("assigned", "model", n.Model, "version", n.Version, "steps", len(n.Steps), "replicas", len(n.Replicas), "at", n.At, "from", from)
	}
	a.now = n
	close(a.changed)
	a.changed = make(chan struct{})
}

// overtaken reports whether what was told as of one position is older than what was as of
// another. Where only one of them names an era, that is not known.
func overtaken(at, by mirror.Position) bool {
	return at < by && (at.Era() == 0) == (by.Era() == 0)
}

// wantedBy returns what an assignment that came at now names. Ages are at most what they
// say: of two times of a naming the later one holds, which an agent that knew has.
func wantedBy(n *peers.Assignment, now time.Time, knew catalog.Target) catalog.Target {
	var w catalog.Target
	for _, s := range n.Steps {
		named := now.Add(-s.Age)
		for _, k := range knew.Changes {
			if k.Version == s.Version {
				named = times.Later(named, k.SetAt)
			}
		}
		w = w.With(catalog.TargetChange{Version: s.Version, SetAt: named})
	}
	return w
}

func (a *assignments) watch() (*peers.Assignment, catalog.Target, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.now, a.wanted, a.changed
}

func (a *assignments) sign() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard = time.Now()
}

// orphaned reports whether no gateway has answered for a while.
func (a *assignments) orphaned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := patience
	if a.now == nil {
		wait = a.first
	}
	return !a.asked.IsZero() && time.Since(a.asked) > wait && time.Since(a.heard) > wait
}

// subscribe keeps a subscription with one gateway, of this hall if there is one.
func (s *Stager) subscribe(ctx context.Context) error {
	const retry = 200 * time.Millisecond
	s.now.mu.Lock()
	s.now.asked, s.now.first = time.Now(), startWait.Draw()
	s.now.mu.Unlock()
	s.askAll(ctx)
	for try := 0; ctx.Err() == nil; try++ {
		gateways := s.gateways()
		g := gateways[try%len(gateways)]
		if s.listen(ctx, g) {
			try = -1 // It worked: begin again with the first.
		}
		kernel.Sleep(ctx, retry)
	}
	return nil
}

// met reports whether a gateway has ever answered.
func (a *assignments) met() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.heard.IsZero()
}

// askAll asks every gateway of the settings at once until one answers:
// after a loss of all power most of them are not there yet, and one after the other
// would each be waited for.
func (s *Stager) askAll(ctx context.Context) {
	const retry = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var asked kernel.WorkerSet[string]
	defer asked.Stop()
	asked.Sync(ctx, s.Settings.Join, func(ctx context.Context, addr string) {
		for ; ctx.Err() == nil; kernel.Sleep(ctx, retry) {
			s.listen(ctx, addr)
		}
	})
	for ctx.Err() == nil {
		_, _, changed := s.now.watch()
		if s.now.met() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// gateways returns whom to ask, the best first: those of this hall, each agent
// in an order of its own.
func (s *Stager) gateways() []string {
	a, _, _ := s.now.watch()
	var here, there []string
	if a != nil {
		for _, g := range a.Gateways {
			if g.Hall == s.Settings.Hall {
				here = append(here, g.Addr)
			} else {
				there = append(there, g.Addr)
			}
		}
	}
	var join []string
	for _, j := range s.Settings.Join {
		if !slices.Contains(here, j) && !slices.Contains(there, j) {
			join = append(join, j)
		}
	}
	key := "subscribe/" + s.exchange.Self.Name
	return slices.Concat(rendezvous.Rank(key, here), rendezvous.Rank(key, there), rendezvous.Rank(key, join))
}

// listen takes assignments from one gateway until it is lost, and reports
// whether there was one.
func (s *Stager) listen(ctx context.Context, addr string) bool {
	const dialIn, signEvery = 700 * time.Millisecond, 300 * time.Millisecond
	dctx, cancel := context.WithTimeout(ctx, dialIn)
	defer cancel()
	c, err := s.pool.Get(dctx, addr)
	if err != nil {
		return false
	}
	if _, err := peers.ExchangeCapabilities(dctx, c); err != nil && !fault.Is(err, fault.Unsupported) {
		return false
	}
	st, err := c.Open(ctx, &peers.Subscribe{
		Service: s.Settings.Service, Addr: s.Settings.Replica, Quarantined: s.quarantinedNow(),
	})
	if err != nil {
		return false
	}
	defer st.Close()
	got := false
	done := make(chan struct{})
	defer close(done)
	for {
		m, err := st.Recv(ctx)
		a, ok := m.(*peers.Assignment)
		if err != nil || !ok {
			telemetry.Log("gateway_lost", "addr", addr)
			return got
		}
		if !got {
			telemetry.Log("gateway_gained", "addr", addr)
			got = true
			go s.signs(c.Done(), done, signEvery)
		}
		s.keepQuarantined(a.Quarantined)
		s.now.sign()
		s.now.set(a, addr)
	}
}

// keepQuarantined keeps what a gateway tells of quarantined requests in the place of what
// was told before: the gateway was told that when this agent subscribed.
func (s *Stager) keepQuarantined(rs []quarantine.Report) {
	now := time.Now()
	t := &quarantine.Table{}
	t.Merge(now, now, rs)
	s.quarantined.Store(t)
}

func (s *Stager) quarantinedNow() []quarantine.Report {
	t := s.quarantined.Load()
	if t == nil {
		return nil
	}
	return t.Quarantined(time.Now())
}

// signs counts a connection as a sign of its gateway while it is there: pings
// end it when the gateway is silent.
func (s *Stager) signs(lost <-chan struct{}, done <-chan struct{}, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.now.sign()
		case <-lost:
			return
		case <-done:
			return
		}
	}
}

// assignAlone works the assignment out from what the platform itself says, while
// no gateway does.
func (s *Stager) assignAlone(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := s.mirror.Watch()
		if rs, at := s.mirror.Records(); at > 0 && s.now.orphaned() {
			c := s.options.Catalog(rs, at)
			c.DropReplaced()
			if a := peers.Assign(c, s.Settings.Service, time.Now()); a != nil {
				s.now.set(a, "platform")
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}
