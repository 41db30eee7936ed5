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

// assignments holds the newest assignment.
type assignments struct {
	mu             sync.Mutex
	current        *peers.Assignment
	target         catalog.Target // The versions that were published, with the times by this box's clock.
	lastContact    time.Time      // When a gateway last answered, or its connection was last known to be alive.
	firstContactAt time.Time      // When the agent first tried to contact a gateway; zero before.
	startTimeout   time.Duration  // Replaces gatewayTimeout while nothing is assigned.
	changed        chan struct{}
}

// gatewayTimeout is how long an agent waits for gateways before it reads the platform
// itself.
const gatewayTimeout = time.Second

// startWait is the distribution of startTimeout. Reading all records may take half a second
// on a box's link.
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

// set stores an assignment unless it is older than the current one.
func (a *assignments) set(n *peers.Assignment, from string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	old := a.current
	if old != nil && (isOlder(n.At, old.At) || n.Version < old.Version) {
		return
	}
	a.target = targetFrom(n, now, a.target)
	if old == nil || old.Model != n.Model || old.Version != n.Version {
		telemetry.Log("assigned", "model", n.Model, "version", n.Version, "steps", len(n.Steps), "replicas", len(n.Replicas), "at", n.At, "from", from)
	}
	a.current = n
	close(a.changed)
	a.changed = make(chan struct{})
}

// isOlder reports whether one position is older than another. Positions of which only one
// has an era cannot be compared; it returns false for them.
func isOlder(at, other mirror.Position) bool {
	return at < other && (at.Era() == 0) == (other.Era() == 0)
}

// targetFrom returns the versions that an assignment received at now lists. The age in an
// assignment is an upper bound, so of two times for one version the later one is kept.
// previous holds the times from earlier assignments.
func targetFrom(n *peers.Assignment, now time.Time, previous catalog.Target) catalog.Target {
	var target catalog.Target
	for _, s := range n.Steps {
		publishedAt := now.Add(-s.Age)
		for _, p := range previous.Changes {
			if p.Version == s.Version {
				publishedAt = times.Later(publishedAt, p.SetAt)
			}
		}
		target = target.With(catalog.TargetChange{Version: s.Version, SetAt: publishedAt})
	}
	return target
}

func (a *assignments) watch() (*peers.Assignment, catalog.Target, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.current, a.target, a.changed
}

func (a *assignments) markContact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastContact = time.Now()
}

// isolated reports whether no gateway has answered within the timeout.
func (a *assignments) isolated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := gatewayTimeout
	if a.current == nil {
		wait = a.startTimeout
	}
	return !a.firstContactAt.IsZero() && time.Since(a.firstContactAt) > wait && time.Since(a.lastContact) > wait
}

// subscribe keeps a subscription to one gateway, preferably one of this hall.
func (s *Stager) subscribe(ctx context.Context) error {
	const retry = 200 * time.Millisecond
	s.assignments.mu.Lock()
	s.assignments.firstContactAt, s.assignments.startTimeout = time.Now(), startWait.Draw()
	s.assignments.mu.Unlock()
	s.subscribeAny(ctx)
	for try := 0; ctx.Err() == nil; try++ {
		gateways := s.gateways()
		g := gateways[try%len(gateways)]
		if s.receiveAssignments(ctx, g) {
			try = -1 // Start over with the preferred gateway.
		}
		kernel.Sleep(ctx, retry)
	}
	return nil
}

// contacted reports whether any gateway has answered since the start.
func (a *assignments) contacted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lastContact.IsZero()
}

// subscribeAny contacts all gateways of the settings in parallel until one answers. After
// a power failure of the whole site most of them are not up yet, and trying them one by
// one would wait for a timeout of each.
func (s *Stager) subscribeAny(ctx context.Context) {
	const retry = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers kernel.WorkerSet[string]
	defer workers.Stop()
	workers.Sync(ctx, s.Settings.Join, func(ctx context.Context, addr string) {
		for ; ctx.Err() == nil; kernel.Sleep(ctx, retry) {
			s.receiveAssignments(ctx, addr)
		}
	})
	for ctx.Err() == nil {
		_, _, changed := s.assignments.watch()
		if s.assignments.contacted() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// gateways returns the addresses of the gateways in order of preference: those of this
// hall, those of other halls, and those of the settings. Each agent has its own order
// within these groups, which spreads the load.
func (s *Stager) gateways() []string {
	a, _, _ := s.assignments.watch()
	var sameHall, otherHalls []string
	if a != nil {
		for _, g := range a.Gateways {
			if g.Hall == s.Settings.Hall {
				sameHall = append(sameHall, g.Addr)
			} else {
				otherHalls = append(otherHalls, g.Addr)
			}
		}
	}
	var join []string
	for _, j := range s.Settings.Join {
		if !slices.Contains(sameHall, j) && !slices.Contains(otherHalls, j) {
			join = append(join, j)
		}
	}
	key := "subscribe/" + s.exchange.Self.Name
	return slices.Concat(rendezvous.Rank(key, sameHall), rendezvous.Rank(key, otherHalls), rendezvous.Rank(key, join))
}

// receiveAssignments receives assignments from one gateway until the connection is lost,
// and reports whether it received any.
func (s *Stager) receiveAssignments(ctx context.Context, addr string) bool {
	const dialTimeout, contactEvery = 700 * time.Millisecond, 300 * time.Millisecond
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := s.pool.Get(dctx, addr)
	if err != nil {
		return false
	}
	if _, err := peers.ExchangeCapabilities(dctx, c); err != nil && !fault.Is(err, fault.Unsupported) {
		return false
	}
	st, err := c.Open(ctx, &peers.Subscribe{
		Service: s.Settings.Service, Addr: s.Settings.Replica, Quarantined: s.currentQuarantined(),
	})
	if err != nil {
		return false
	}
	defer st.Close()
	received := false
	done := make(chan struct{})
	defer close(done)
	for {
		m, err := st.Recv(ctx)
		a, ok := m.(*peers.Assignment)
		if err != nil || !ok {
			telemetry.Log("gateway_lost", "addr", addr)
			return received
		}
		if !received {
			telemetry.Log("gateway_gained", "addr", addr)
			received = true
			go s.refreshContact(c.Done(), done, contactEvery)
		}
		s.storeQuarantined(a.Quarantined)
		s.assignments.markContact()
		s.assignments.set(a, addr)
	}
}

// storeQuarantined replaces the known quarantined requests by those that a gateway sent.
// Nothing is lost: the gateway received the former ones when this agent subscribed.
func (s *Stager) storeQuarantined(rs []quarantine.Report) {
	now := time.Now()
	t := &quarantine.Table{}
	t.Merge(now, now, rs)
	s.quarantined.Store(t)
}

func (s *Stager) currentQuarantined() []quarantine.Report {
	t := s.quarantined.Load()
	if t == nil {
		return nil
	}
	return t.Quarantined(time.Now())
}

// refreshContact records contact with a gateway for as long as its connection is open.
// Pings close the connection when the gateway is silent.
func (s *Stager) refreshContact(lost <-chan struct{}, done <-chan struct{}, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.assignments.markContact()
		case <-lost:
			return
		case <-done:
			return
		}
	}
}

// assignFromPlatform derives the assignment from the platform's records while no gateway
// answers.
func (s *Stager) assignFromPlatform(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := s.mirror.Watch()
		if rs, at := s.mirror.Records(); at > 0 && s.assignments.isolated() {
			c := s.options.Catalog(rs, at)
			c.DropReplaced()
			if a := peers.Assign(c, s.Settings.Service, time.Now()); a != nil {
				s.assignments.set(a, "platform")
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}
