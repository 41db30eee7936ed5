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

// startGateway starts a gateway, unless it is running.
func (w *world) startGateway(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relay != nil {
		return
	}
	w.checker.beginOutage(g.addr)() // The state of the process before it is lost.
	f, t := w.follower(g.addr)
	r, err := relay.New(&settings.Relay{
		DirectCommon: settings.DirectCommon{Cluster: "c", Box: g.addr, Hall: g.hall, Listen: g.addr, Store: storeAddr, Join: w.seeds()},
		AgentPort:    agentPort,
		RelayReloadable: settings.RelayReloadable{
			GracePeriod: 8 * time.Second, VersionWithin: versionWithin, ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 30,
		},
	}, relay.Options{Headers: platform.HeaderNames, BuildCatalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.HoldPolicy, Follower: f, Dial: w.dialer(g.addr)})
	if err != nil {
		w.t.Error(err)
		return
	}
	w.net.Add(&simnet.End{Name: g.addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: r.Server().ServeConn})
	var k kernel.Kernel
	r.AddTasks(&k)
	kill := w.runTasks(&k, g.addr, r.Close)
	lifetime, cancel := context.WithCancel(w.ctx)
	g.relay, g.lifetime = r, lifetime
	g.kill = func() {
		cancel()
		kill()
	}
}

// runTasks runs the tasks of a process, and returns a function that kills it.
func (w *world) runTasks(k *kernel.Kernel, addr string, closeProcess func()) (kill func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = k.Run(ctx)
		close(done)
	}()
	return func() {
		w.net.Remove(addr)
		cancel()
		closeProcess()
		<-done
	}
}

// killGateway kills a gateway, if it is running.
func (w *world) killGateway(g *gateway) {
	g.mu.Lock()
	kill := g.kill
	g.relay, g.kill = nil, nil
	g.mu.Unlock()
	if kill != nil {
		defer w.checker.beginOutage(g.addr)()
		kill()
	}
}

// startAgent starts a box's agent, unless it is running.
func (w *world) startAgent(b *box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kill != nil {
		return
	}
	w.checker.beginOutage(b.agent())()
	f, t := w.follower(b.agent())
	replica := &platform.Replica{Addr: b.replica(), HTTP: w.client(b.agent(), true), Dial: dialTCP(w.dialer(b.agent()))}
	originClient := w.client(b.agent(), false)
	st, err := stager.New(&settings.Stager{
		DirectCommon:     settings.DirectCommon{Cluster: "c", Box: b.name, Hall: b.hall, Listen: b.agent(), Store: storeAddr, Join: w.seeds()},
		StagerReloadable: settings.StagerReloadable{VersionWithin: versionWithin, Link: linkMegabits},
		Replica:          b.replica(), Service: "llm",
	}, stager.Options{
		Replica: stager.Replica{Report: replica.Report, Connect: replica.Connect, Stage: replica.Stage, ListStaged: replica.Staged, ReadStaged: replica.ReadStaged},
		Origin: stager.Origin{
			Manifest: func(ctx context.Context, addr, model string, version uint64) (*weights.Manifest, error) {
				return (&platform.Origin{Addr: addr, HTTP: originClient}).Manifest(ctx, model, version)
			},
			Piece: func(ctx context.Context, addr, model string, version uint64, piece, maxBytes int) ([]byte, error) {
				return (&platform.Origin{Addr: addr, HTTP: originClient}).Piece(ctx, model, version, piece, maxBytes)
			},
		},
		Platform: f, Catalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.HoldPolicy, Dial: w.dialer(b.agent()),
	})
	if err != nil {
		w.t.Error(err)
		return
	}
	w.net.Add(&simnet.End{Name: b.agent(), Up: b.up, Down: b.down, Serve: st.Server().ServeConn})
	var k kernel.Kernel
	st.AddTasks(&k)
	b.kill = w.runTasks(&k, b.agent(), st.Close)
}

// killAgent kills a box's agent, if it is running.
func (w *world) killAgent(b *box) {
	b.mu.Lock()
	kill := b.kill
	b.kill = nil
	b.mu.Unlock()
	if kill != nil {
		defer w.checker.beginOutage(b.agent())()
		kill()
	}
}

// nextID returns the ID of the replica's next incarnation.
func (b *box) nextID() string {
	b.starts++
	return fmt.Sprintf("i-%s-%d", b.name, b.starts)
}

// addEngine starts a box's replica, which keeps its record in the store until it crashes.
func (w *world) addEngine(b *box, e *platformtest.Engine) {
	b.mu.Lock()
	b.engine = e
	b.mu.Unlock()
	// In a real deployment requests arrive over the box's link, but the agent is on the same
	// machine: its messages are small, and the pieces that it stages do not cross that link. The
	// replica's links are therefore unlimited.
	w.net.Add(&simnet.End{Name: b.replica(), Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: platformtest.Serve(e)})
	w.store.Put("servers/"+e.ID, e.Record())
	go func() {
		published := e.LoadedVersion()
		for w.sleep(recordInterval) && b.isRunning(e) {
			if v := e.LoadedVersion(); v != published {
				published = v
				w.store.Put("servers/"+e.ID, e.Record())
			}
		}
		w.sleep(2 * recordInterval)
		w.store.Delete("servers/" + e.ID)
	}()
}

func (b *box) isRunning(e *platformtest.Engine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engine == e
}

// crash ends a box's replica and returns its next incarnation, or nil if none was running.
func (w *world) crash(b *box) *platformtest.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine
	if e == nil {
		return nil
	}
	b.engine = nil
	w.net.Remove(b.replica())
	w.checker.checkReplica(e)
	return e.Crash(b.nextID())
}
