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
	watchersEachHall = 2
	maxFreshFor      = 30 * time.Second // How long the platform's answer vouches, at most.
	keyWindows       = 3                // A key's window is this many times longer, at least.
	polls            = 3                // Idle polls while an answer vouches.
	freshSteps       = 6                // Steps in which a vouching is passed on.
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	exchangeEvery    = time.Second // Least time between polls of other halls.
	replySlack       = 3 * time.Second
)

// Event is something worth a counter.
type Event func(name string, code fault.Code)

// Feed keeps a view.Holder up to date. Set the exported fields before Run.
type Feed struct {
	Box      string
	Hall     string
	Gateway  bool // Only gateways watch the platform and other halls.
	Platform *Platform
	Pool     *wire.Pool
	Addr     string   // This process's own address, which it does not ask.
	Join     []string // Addresses of gateways to ask before a fleet list is known.
	Holder   *view.Holder
	Event    Event

	mu          sync.Mutex
	bad         uint64    // The newest revision that was refused as invalid.
	configAsked time.Time // When the platform last answered with our revision.
	fleetAsked  time.Time // When it last answered with our fleet list.
	learnt      chan struct{}
	once        sync.Once
}

// FreshFor is how long an answer of the platform vouches for a view. It is well
// under the time for which keys are remembered, so that a process that holds an
// old view stops acting as a key's home before the new home begins.
func (f *Feed) FreshFor() time.Duration {
	cfg := f.Holder.Get().Config
	if cfg == nil {
		return maxFreshFor
	}
	return min(maxFreshFor, cfg.Limits.KeyWindow/keyWindows)
}

// pollWait is how long an idle poll waits.
func (f *Feed) pollWait() time.Duration { return f.FreshFor() / polls }

func (f *Feed) init() {
	f.once.Do(func() {
		f.learnt = make(chan struct{})
		if f.Event == nil {
			f.Event = func(string, fault.Code) {}
		}
	})
}

// Learnt is closed when the platform and the known peers were asked once, so
// that what is held is the newest that could be reached.
func (f *Feed) Learnt() <-chan struct{} {
	f.init()
	return f.learnt
}

// Run keeps the holder up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.init()
	f.learn(ctx)
	close(f.learnt)
	var wg sync.WaitGroup
	duties := []func(context.Context){f.followHall}
	if f.Gateway {
		duties = append(duties, f.watchConfig, f.watchFleet, f.exchange)
	}
	for _, d := range duties {
		wg.Go(func() { d(ctx) })
	}
	wg.Wait()
	return nil
}

// learn asks the platform and every known peer once, all at the same time.
func (f *Feed) learn(ctx context.Context) {
	const within = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, within)
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

// rank is this gateway's place among the gateways of its hall that may watch.
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

// watch reads again and again while this gateway is one that watches. Others
// stand in, later the further back they rank, once the view is not vouched for.
func (f *Feed) watch(ctx context.Context, what string, read func(context.Context) error) {
	b := backoff{}
	for ctx.Err() == nil {
		if !f.mayWatch(time.Now()) {
			kernel.Sleep(ctx, time.Second)
			continue
		}
		wctx, cancel := context.WithTimeout(ctx, f.pollWait()+replySlack)
		err := read(wctx)
		cancel()
		if err != nil {
			f.Event("platform_"+what, fault.CodeOf(err))
			kernel.Sleep(ctx, b.next())
			continue
		}
		b = backoff{}
	}
}

func (f *Feed) mayWatch(now time.Time) bool {
	r := f.rank()
	if r < watchersEachHall {
		return true
	}
	// A live watcher's answers reach us with more than a quarter of that time to go.
	late := f.Holder.Get().FreshUntil.Add(-f.FreshFor() / 4).Add(time.Duration(r) * time.Second)
	return now.After(late)
}

func (f *Feed) readConfig(ctx context.Context, wait time.Duration) error {
	asked := time.Now()
	v := f.Holder.Get()
	known := max(v.Revision(), f.refused())
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
		f.vouch(&f.configAsked, asked)
		return nil
	}
	head := v.Head.Clone()
	if err := head.Replace(h.Revision, h.Docs); err != nil {
		return err
	}
	err = AcceptHead(ctx, f.Holder, head, f.Platform.Doc)
	if fault.Is(err, fault.BadConfig) {
		f.refuse(h.Revision)
		f.Event("refused_revision", fault.BadConfig)
		err = nil
	}
	if err == nil {
		f.vouch(&f.configAsked, asked)
	}
	return err
}

// vouch records when the platform was asked. Both of its answers are needed:
// a view is as current as the older of them.
func (f *Feed) vouch(which *time.Time, asked time.Time) {
	f.mu.Lock()
	*which = asked
	oldest := f.configAsked
	if f.fleetAsked.Before(oldest) {
		oldest = f.fleetAsked
	}
	f.mu.Unlock()
	if !oldest.IsZero() {
		f.Holder.ExtendFreshness(oldest.Add(f.FreshFor()))
	}
}

func (f *Feed) refuse(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bad = max(f.bad, revision)
}

func (f *Feed) refused() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad
}

func (f *Feed) readFleet(ctx context.Context, wait time.Duration) error {
	asked := time.Now()
	known := f.Holder.Get().Fleet.Version
	l, err := f.Platform.Fleet(ctx, known, wait)
	if err != nil {
		return err
	}
	if l.Version < known {
		return fault.New(fault.OlderRevision, "platform fleet")
	}
	if l.Version > known {
		if err := ignoreOlder(f.Holder.SetFleet(boxTable{Version: l.Version, Whole: true, Set: l.Boxes})); err != nil {
			return err
		}
	}
	f.vouch(&f.fleetAsked, asked)
	return nil
}

// followHall polls one gateway of this hall after another: the next when one
// fails, in an order of this box's own so that the load is spread. A gateway
// follows the ones that watch.
func (f *Feed) followHall(ctx context.Context) {
	b := backoff{}
	for failed := 0; ctx.Err() == nil; {
		addrs := f.sources()
		if len(addrs) == 0 {
			kernel.Sleep(ctx, time.Second)
			continue
		}
		if err := f.poll(ctx, addrs[failed%len(addrs)], f.pollWait()); err != nil {
			f.Event("poll", fault.CodeOf(err))
			failed++
			kernel.Sleep(ctx, b.next())
			continue
		}
		b = backoff{}
	}
}

// sources returns the addresses to follow, best first.
func (f *Feed) sources() []string {
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

// exchange is the duty of a watcher to ask other halls.
func (f *Feed) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, exchangeEvery)
		addr := f.otherHall()
		if addr == "" || !f.mayWatch(time.Now()) {
			continue
		}
		if err := f.poll(ctx, addr, f.pollWait()/2); err != nil {
			f.Event("exchange", fault.CodeOf(err))
		}
	}
}

func (f *Feed) otherHall() string {
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

// poll asks the process at addr for what is newer and takes it in.
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
		FreshUntil: v.FreshUntil, Until: time.Now().Add(wait),
	}
	m, err := c.Call(ctx, req)
	if err != nil {
		return err
	}
	r, ok := m.(*SyncReply)
	if !ok {
		return fault.New(fault.Garbage, "sync reply")
	}
	if r.Head.Version != 0 && r.Head.Version == f.refused() {
		return fault.New(fault.BadConfig, "offered a refused revision")
	}
	err = apply(ctx, f.Holder, r, func(ctx context.Context, digest string) ([]byte, error) {
		return getDoc(ctx, c, digest)
	})
	if fault.Is(err, fault.BadConfig) {
		f.refuse(r.Head.Version)
	}
	return err
}

func getDoc(ctx context.Context, c *wire.Conn, digest string) ([]byte, error) {
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

// backoff yields rising, jittered waits up to a cap.
type backoff struct{ step time.Duration }

func (b *backoff) next() time.Duration {
	b.step = min(max(2*b.step, minBackoff), maxBackoff)
	return b.step/2 + rand.N(b.step)
}
