package direct_test

import (
	"context"
	"fmt"
	"time"

	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/stager"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/platform"
	"github.com/poststand/poststand/platform/platformtest"
	"github.com/poststand/poststand/weights"
)

// startGateway starts a gateway, unless it runs.
func (w *world) startGateway(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relay != nil {
		return
	}
	w.judge.goesAway(g.addr)() // What the process before it was told is gone.
	f, t := w.follower(g.addr)
	r, err := relay.New(&settings.Relay{
		Own: settings.Own{Cluster: "c", Box: g.addr, Hall: g.hall, Listen: g.addr, Store: storeAddr, Join: w.seeds()},
		RelayBounds: settings.RelayBounds{
			GraceFor: 8 * time.Second, VersionWithin: versionWithin, ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 30,
		},
	}, relay.Options{Headers: platform.Dialect, BuildCatalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.Precedence, Follower: f, Dial: w.dialer(g.addr)})
	if err != nil {
		w.t.Error(err)
		return
	}
	w.net.Add(&simnet.End{Name: g.addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: r.Server().ServeConn})
	var k kernel.Kernel
	r.AddTasks(&k)
	end := w.run(&k, g.addr, r.Close)
	life, over := context.WithCancel(w.ctx)
	g.relay, g.life = r, life
	g.end = func() {
		over()
		end()
	}
}

// run runs the duties of a process, and returns what kills it.
func (w *world) run(k *kernel.Kernel, addr string, closes func()) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = k.Run(ctx)
		close(done)
	}()
	return func() {
		w.net.Remove(addr)
		cancel()
		closes()
		<-done
	}
}

// endGateway kills a gateway, if it runs.
func (w *world) endGateway(g *gateway) {
	g.mu.Lock()
	end := g.end
	g.relay, g.end = nil, nil
	g.mu.Unlock()
	if end != nil {
		defer w.judge.goesAway(g.addr)()
		end()
	}
}

// startAgent starts a box's agent, unless it runs.
func (w *world) startAgent(b *box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	w.judge.goesAway(b.agent())()
	f, t := w.follower(b.agent())
	rep := &platform.Replica{Addr: b.replica(), HTTP: w.client(b.agent(), true)}
	from := w.client(b.agent(), false)
	st, err := stager.New(&settings.Stager{
		Own:          settings.Own{Cluster: "c", Box: b.name, Hall: b.hall, Listen: b.agent(), Store: storeAddr, Join: w.seeds()},
		StagerBounds: settings.StagerBounds{VersionWithin: versionWithin, Link: linkMega},
		Replica:      b.replica(), Service: "llm",
	}, stager.Options{
		Replica: stager.Replica{Report: rep.Report, Order: rep.Order, Stage: rep.Stage, ListStaged: rep.Staged, ReadStaged: rep.ReadStaged},
		Origin: stager.Origin{
			Manifest: func(ctx context.Context, addr, model string, version uint64) (*weights.Manifest, error) {
				return (&platform.Origin{Addr: addr, HTTP: from}).Manifest(ctx, model, version)
			},
			Piece: func(ctx context.Context, addr, model string, version uint64, piece int) ([]byte, error) {
				return (&platform.Origin{Addr: addr, HTTP: from}).Piece(ctx, model, version, piece)
			},
		},
		Platform: f, Catalog: t.Catalog, KeepsHistory: platform.KeepsHistory, Outlasts: platform.Precedence, Dial: w.dialer(b.agent()),
	})
	if err != nil {
		w.t.Error(err)
		return
	}
	w.net.Add(&simnet.End{Name: b.agent(), Up: b.up, Down: b.down, Serve: st.Server().ServeConn})
	var k kernel.Kernel
	st.AddTasks(&k)
	b.end = w.run(&k, b.agent(), st.Close)
}

// endAgent kills a box's agent, if it runs.
func (w *world) endAgent(b *box) {
	b.mu.Lock()
	end := b.end
	b.end = nil
	b.mu.Unlock()
	if end != nil {
		defer w.judge.goesAway(b.agent())()
		end()
	}
}

func (b *box) nextID() string {
	b.starts++
	return fmt.Sprintf("i-%s-%d", b.name, b.starts)
}

// addEngine has a box's replica run and tell the store of itself until it crashes.
func (w *world) addEngine(b *box, e *platformtest.Engine) {
	b.mu.Lock()
	b.engine = e
	b.mu.Unlock()
	// Requests arrive over the box's link; the agent is on the same machine, but its
	// words are small and its pieces are not sent over it in truth.
	w.net.Add(&simnet.End{Name: b.replica(), Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: platformtest.Serve(e)})
	w.store.Put("servers/"+e.ID, e.Record())
	go func() {
		told := e.LoadedVersion()
		for w.sleep(beat) && b.runs(e) {
			if v := e.LoadedVersion(); v != told {
				told = v
				w.store.Put("servers/"+e.ID, e.Record())
			}
		}
		w.sleep(2 * beat)
		w.store.Delete("servers/" + e.ID)
	}()
}

func (b *box) runs(e *platformtest.Engine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engine == e
}

// crash ends a box's replica and returns the next incarnation, or nil if none ran.
func (w *world) crash(b *box) *platformtest.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine
	if e == nil {
		return nil
	}
	b.engine = nil
	w.net.Remove(b.replica())
	w.judge.heardAll(e)
	return e.Crash(b.nextID())
}
