package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/kernel"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/wire"
)

// Defaults of a Feed.
const (
	watchersPerHall   = 2
	maxFreshFor       = 30 * time.Second // Upper bound of FreshFor.
	keyWindowRatio    = 3                // The key window is at least this many times FreshFor.
	pollsPerFreshness = 3                // Idle polls within FreshFor.
	freshnessSteps    = 6                // An extension of freshness alone is sent once it exceeds FreshFor divided by this.
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
	exchangeInterval  = time.Second // Minimum time between polls of other halls.
	replySlack        = 3 * time.Second
)

// Event counts an event of a Feed.
type Event func(name string, code fault.Code)

// Feed keeps a view.Holder up to date. Set the exported fields before Run.
type Feed struct {
	Box      string
	Hall     string
	Gateway  bool // Only gateways watch the platform and other halls.
	Platform *Platform
	Pool     *wire.Pool
	Addr     string   // This process's address, which it does not poll.
	Join     []string // Addresses of gateways to poll until a fleet list is held.
	Holder   *view.Holder
	Event    Event

	mu                sync.Mutex
	refusedRev        uint64    // The newest revision refused as invalid.
	configConfirmedAt time.Time // When the last request was sent that confirmed the held revision.
	fleetConfirmedAt  time.Time // When the last request was sent that confirmed the held fleet list.
	synced            chan struct{}
	initOnce          sync.Once
}

// FreshFor returns how long a view counts as current after the platform has confirmed
// it. It is at most a third of the key window, so that a process with an old view
// stops acting as the home of a key before the new home starts.
func (f *Feed) FreshFor() time.Duration {
	cfg := f.Holder.Get().Config
	if cfg == nil {
		return maxFreshFor
	}
	return min(maxFreshFor, cfg.Limits.KeyWindow/keyWindowRatio)
}

// pollWait returns how long an idle poll waits.
func (f *Feed) pollWait() time.Duration { return f.FreshFor() / pollsPerFreshness }

func (f *Feed) init() {
	f.initOnce.Do(func() {
		f.synced = make(chan struct{})
		if f.Event == nil {
			f.Event = func(string, fault.Code) {}
		}
	})
}

// Synced returns a channel that is closed when the platform and all known peers have been
// queried once, so that the view is the newest that was reachable.
func (f *Feed) Synced() <-chan struct{} {
	f.init()
	return f.synced
}

// Run keeps the holder up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.init()
	f.initialSync(ctx)
	close(f.synced)
	var wg sync.WaitGroup
	tasks := []func(context.Context){f.followHall}
	if f.Gateway {
		tasks = append(tasks, f.watchConfig, f.watchFleet, f.pollOtherHalls)
	}
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
	wg.Wait()
	return nil
}

// initialSync queries the platform and every known peer once, concurrently.
func (f *Feed) initialSync(ctx context.Context) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range f.Join {
		wg.Go(func() { _ = f.poll(ctx, addr, 0) })
	}
	if f.Gateway && f.Platform != nil {
		wg.Go(func() { _ = f.readConfig(ctx, 0) })
		wg.Go(func() { _ = f.readFleet(ctx, 0) })
	}
	wg.Wait()
}

// rank returns this gateway's position in the order in which the gateways of its hall
// become watchers.
func (f *Feed) rank() int {
	names := fleet.Names(f.Holder.Get().Gateways(f.Hall))
	return rendezvous.Position("watch/"+f.Hall, f.Box, names)
}

func (f *Feed) watchConfig(ctx context.Context) {
	f.watch(ctx, "config", func(ctx context.Context) error { return f.readConfig(ctx, f.pollWait()) })
}

func (f *Feed) watchFleet(ctx context.Context) {
	f.watch(ctx, "fleet", func(ctx context.Context) error { return f.readFleet(ctx, f.pollWait()) })
}

// watch calls read repeatedly while this gateway may watch. With an error, it backs
// off.
func (f *Feed) watch(ctx context.Context, what string, read func(context.Context) error) {
	b := backoff{}
	for ctx.Err() == nil {
		if !f.mayWatch(time.Now()) {
			kernel.Sleep(ctx, time.Second)
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, f.pollWait()+replySlack)
		err := read(readCtx)
		cancel()
		if err != nil {
			f.Event("platform_"+what, fault.CodeOf(err))
			kernel.Sleep(ctx, b.next())
			continue
		}
		b = backoff{}
	}
}

// mayWatch reports whether this gateway may watch the platform: it is one of the first
// in rank, or the view is about to expire, which shows that the watchers have probably
// failed. The further back its rank, the later it takes over.
func (f *Feed) mayWatch(now time.Time) bool {
	r := f.rank()
	if r < watchersPerHall {
		return true
	}
	// Updates from a live watcher arrive with more than a quarter of FreshFor remaining.
	takeover := f.Holder.Get().FreshUntil.Add(-f.FreshFor() / 4).Add(time.Duration(r) * time.Second)
	return now.After(takeover)
}

func (f *Feed) readConfig(ctx context.Context, wait time.Duration) error {
	sentAt := time.Now()
	v := f.Holder.Get()
	known := max(v.Revision(), f.refusedRevision())
	if wait == 0 {
		known = 0
	}
	h, err := f.Platform.Head(ctx, known, wait)
	if err != nil {
		return err
	}
	if h.Revision < known {
		return fault.New(fault.OlderRevision, "platform")
	}
	if h.Revision == known {
		f.confirm(&f.configConfirmedAt, sentAt)
		return nil
	}
	head := v.Head.Clone()
	if err := head.Replace(h.Revision, h.Docs); err != nil {
		return err
	}
	err = AcceptHead(ctx, f.Holder, head, f.Platform.Doc)
	if fault.Is(err, fault.BadConfig) {
		f.setRefusedRevision(h.Revision)
		f.Event("refused_revision", fault.BadConfig)
		err = nil
	}
	if err == nil {
		f.confirm(&f.configConfirmedAt, sentAt)
	}
	return err
}

// confirm records when the request was sent that confirmed the held revision or fleet
// list. Both must be confirmed: a view counts as current from the older of the two times.
func (f *Feed) confirm(confirmedAt *time.Time, sentAt time.Time) {
	f.mu.Lock()
	*confirmedAt = sentAt
	oldest := f.configConfirmedAt
	if f.fleetConfirmedAt.Before(oldest) {
		oldest = f.fleetConfirmedAt
	}
	f.mu.Unlock()
	if !oldest.IsZero() {
		f.Holder.ExtendFreshness(oldest.Add(f.FreshFor()))
	}
}

func (f *Feed) setRefusedRevision(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusedRev = max(f.refusedRev, revision)
}

func (f *Feed) refusedRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusedRev
}

func (f *Feed) readFleet(ctx context.Context, wait time.Duration) error {
	sentAt := time.Now()
	known := f.Holder.Get().Fleet.Version
	l, err := f.Platform.Fleet(ctx, known, wait)
	if err != nil {
		return err
	}
	if l.Version < known {
		return fault.New(fault.OlderRevision, "fleet list of the platform")
	}
	if l.Version > known {
		if err := ignoreOlder(f.Holder.SetFleet(fleetDelta{Version: l.Version, Whole: true, Set: l.Boxes})); err != nil {
			return err
		}
	}
	f.confirm(&f.fleetConfirmedAt, sentAt)
	return nil
}

// followHall polls a gateway of this hall, and moves on to the next one after a
// failure. Each box has its own order, so that the load is distributed. Gateways
// follow the watchers.
func (f *Feed) followHall(ctx context.Context) {
	b := backoff{}
	for failures := 0; ctx.Err() == nil; {
		addrs := f.sourceAddrs()
		if len(addrs) == 0 {
			kernel.Sleep(ctx, time.Second)
			continue
		}
		if err := f.poll(ctx, addrs[failures%len(addrs)], f.pollWait()); err != nil {
			f.Event("poll", fault.CodeOf(err))
			failures++
			kernel.Sleep(ctx, b.next())
			continue
		}
		b = backoff{}
	}
}

// sourceAddrs returns the addresses to poll in order of preference.
func (f *Feed) sourceAddrs() []string {
	boxes := f.Holder.Get().Gateways(f.Hall)
	key := "follow/" + f.Box
	if f.Gateway {
		key = "watch/" + f.Hall
	}
	var out []string
	byName := map[string]string{}
	for _, g := range boxes {
		byName[g.Name] = g.Addr
	}
	for _, name := range rendezvous.Rank(key, fleet.Names(boxes)) {
		if name != f.Box {
			out = append(out, byName[name])
		}
	}
	if len(out) == 0 && (!f.Gateway || f.Holder.Get().Config == nil) {
		out = slices.DeleteFunc(slices.Clone(f.Join), func(addr string) bool { return addr == f.Addr })
	}
	return out
}

// pollOtherHalls polls gateways of other halls while this gateway may watch.
func (f *Feed) pollOtherHalls(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, exchangeInterval)
		addr := f.randomRemoteGateway()
		if addr == "" || !f.mayWatch(time.Now()) {
			continue
		}
		if err := f.poll(ctx, addr, f.pollWait()/2); err != nil {
			f.Event("exchange", fault.CodeOf(err))
		}
	}
}

func (f *Feed) randomRemoteGateway() string {
	var others []string
	for _, g := range f.Holder.Get().Gateways("") {
		if g.Hall != f.Hall {
			others = append(others, g.Addr)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// poll requests updates from the process at addr and applies them.
func (f *Feed) poll(ctx context.Context, addr string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+replySlack)
	defer cancel()
	c, err := f.Pool.Get(ctx, addr)
	if err != nil {
		return err
	}
	v := f.Holder.Get()
	req := &SyncRequest{
		Revision: v.Revision(), Digest: v.Digest, Fleet: v.Fleet.Version,
		FreshUntil: v.FreshUntil, AnswerBy: time.Now().Add(wait),
	}
	m, err := c.Call(ctx, req)
	if err != nil {
		return err
	}
	r, ok := m.(*SyncReply)
	if !ok {
		return fault.New(fault.Garbage, "unexpected reply to a sync request")
	}
	if r.Head.Version != 0 && r.Head.Version == f.refusedRevision() {
		return fault.New(fault.BadConfig, "reply contains a revision that was refused as invalid")
	}
	err = apply(ctx, f.Holder, r, func(ctx context.Context, digest string) ([]byte, error) {
		return fetchDoc(ctx, c, digest)
	})
	if fault.Is(err, fault.BadConfig) {
		f.setRefusedRevision(r.Head.Version)
	}
	return err
}

func fetchDoc(ctx context.Context, c *wire.Conn, digest string) ([]byte, error) {
	m, err := c.Call(ctx, &DocRequest{Digest: digest})
	if err != nil {
		return nil, err
	}
	d, ok := m.(*Doc)
	if !ok || config.DocumentDigest(d.Data) != digest {
		return nil, fault.New(fault.DigestMismatch, digest)
	}
	return d.Data, nil
}

// backoff computes exponentially increasing waits with jitter, up to a maximum.
type backoff struct{ step time.Duration }

func (b *backoff) next() time.Duration {
	b.step = min(max(2*b.step, minBackoff), maxBackoff)
	return b.step/2 + rand.N(b.step)
}
