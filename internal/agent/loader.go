package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/weights"
)

// loader makes the box serve what the configuration assigns to it: it runs the
// transfers of weights, sends orders to the engine, and opens and closes the gate.
type loader struct {
	agent     *Agent
	transfers map[string]*runningTransfer
	orders    uint64 // Orders to the engine so far.

	mu     sync.Mutex
	target target
	loaded target
	state  string // Shown in the status and the log.
}

// runningTransfer is a transfer with the function that cancels it.
type runningTransfer struct {
	*weights.Transfer
	cancel context.CancelFunc
}

// target describes what a box is to serve.
type target struct {
	Service  string            `json:"service"`
	Kind     string            `json:"kind"`
	Digest   string            `json:"digest,omitempty"`
	Adapters map[string]string `json:"adapters,omitempty"`
	Role     string            `json:"role,omitempty"`
	Revision uint64            `json:"revision"`
}

// equivalent reports whether t and o require the same state of the engine. They may be
// of different revisions.
func (t target) equivalent(o target) bool {
	return t.Service == o.Service && t.Digest == o.Digest && t.Role == o.Role && maps.Equal(t.Adapters, o.Adapters)
}

func (t target) artifacts() []string {
	if t.Digest == "" {
		return nil
	}
	return append([]string{t.Digest}, slices.Sorted(maps.Values(t.Adapters))...)
}

// targetOf returns the target of a box according to a view.
func targetOf(v *view.View, box string) target {
	if v.Config == nil {
		return target{}
	}
	name := v.Placement.ByBox[box]
	s, ok := v.Config.Services[name]
	if !ok {
		return target{Revision: v.Revision()}
	}
	return target{
		Service: name, Kind: s.Kind, Digest: v.Config.VersionDigest(s), Adapters: v.Config.AdapterDigests(s),
		Role: s.Role, Revision: v.Revision(),
	}
}

// Intervals and timeouts of the loader.
const (
	loaderInterval      = 250 * time.Millisecond // Between steps while the target is not reached.
	engineCheckInterval = 2 * time.Second        // Between checks of the engine's state.
	orderTimeout        = 2 * time.Minute
)

func (l *loader) run(ctx context.Context) error {
	l.transfers = map[string]*runningTransfer{}
	nextCheck := time.Now()
	for {
		v, changed := l.agent.holder.Watch()
		t := targetOf(v, l.agent.Settings.Box)
		l.setTarget(t)
		l.syncTransfers(ctx, t)
		wait := engineCheckInterval
		if !l.advance(ctx, v, t) {
			wait = loaderInterval
		} else if now := time.Now(); now.After(nextCheck) {
			nextCheck = now.Add(engineCheckInterval)
			l.verify(ctx, t)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

func (l *loader) setTarget(t target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = t
}

func (l *loader) setState(state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != state {
		l.state = state
		telemetry.Log("loader", "state", state, "service", l.target.Service, "digest", l.target.Digest, "revision", l.target.Revision)
	}
}

// syncTransfers starts the transfers that t needs and cancels all others. The chunks
// of a cancelled transfer stay in the store until it needs the room.
func (l *loader) syncTransfers(ctx context.Context, t target) {
	needed := map[string]bool{}
	for _, digest := range t.artifacts() {
		needed[digest] = true
		if l.transfers[digest] == nil {
			l.transfers[digest] = l.startTransfer(ctx, digest)
		}
	}
	for digest, r := range l.transfers {
		if !needed[digest] {
			r.cancel()
			l.agent.exchange.Store.Unpin(digest)
			delete(l.transfers, digest)
		}
	}
}

func (l *loader) startTransfer(ctx context.Context, digest string) *runningTransfer {
	w := l.agent.holder.Get().Config.Weights
	l.agent.exchange.SetUploadSlots(w.UploadSlots)
	ctx, cancel := context.WithCancel(ctx)
	const firstCopy = 1.1 // One copy, plus an allowance for repeated downloads after faults.
	t := &weights.Transfer{
		Exchange: l.agent.exchange, Artifact: digest, Window: w.Window, OriginCopies: w.OriginCopies,
		Members: func() []weights.Member { return members(l.agent.holder.Get(), digest) },
	}
	if w.Policy == config.PolicyTime {
		t.SpareCopies = max(0, w.OriginCopies-firstCopy)
	}
	go func() {
		if err := t.Run(ctx); err != nil && ctx.Err() == nil {
			telemetry.LogError(err, "transfer_failed", "artifact", digest)
		}
	}()
	return &runningTransfer{t, cancel}
}

// members returns the live boxes whose targets in a view contain an artifact.
func members(v *view.View, digest string) []weights.Member {
	var out []weights.Member
	for _, b := range fleet.Live(v.Boxes) {
		if slices.Contains(targetOf(v, b.Name).artifacts(), digest) {
			out = append(out, weights.Member{Name: b.Name, Hall: b.Hall, Addr: b.Addr})
		}
	}
	return out
}

// advance performs the next step towards t, and reports whether t is reached.
func (l *loader) advance(ctx context.Context, v *view.View, t target) bool {
	switch {
	case t.Service == "":
		l.agent.gate.Close()
		l.setLoaded(target{})
		l.setState("not_placed")
		return true
	case t.Kind == config.KindPlain:
		if !l.loadedTarget().equivalent(t) {
			l.open(t)
		}
		return true
	case l.loadedTarget().equivalent(t):
		return true
	case !l.transfersComplete(t):
		l.setState("fetching")
		return false
	case !l.mayReload(ctx, v, t):
		l.setState("waiting_for_turn")
		return false
	}
	return l.reload(ctx, t)
}

func (l *loader) loadedTarget() target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

func (l *loader) setLoaded(t target) {
	l.mu.Lock()
	l.loaded = t
	l.mu.Unlock()
	l.agent.reportChanged.notify()
}

func (l *loader) open(t target) {
	l.agent.gate.Open(t.Service, t.Digest)
	l.setLoaded(t)
	l.setState("serving")
}

func (l *loader) transfersComplete(t target) bool {
	for _, digest := range t.artifacts() {
		select {
		case <-l.transfers[digest].Complete():
		default:
			return false
		}
	}
	return true
}

// mayReload reports whether this box may reload now. It keeps the number of replicas
// of a hall that reload concurrently within ReloadAtMost: it counts the replicas of
// the hall that precede this one in the placement's order and do not serve the target
// yet, and their number must be below that bound. A box that serves nothing does not
// wait, since its reload removes no capacity. A replica that cannot be reached is not
// counted, since it does not serve in any case.
func (l *loader) mayReload(ctx context.Context, v *view.View, t target) bool {
	if l.loadedTarget().Service == "" {
		return true
	}
	maxReloading := v.Config.Services[t.Service].ReloadAtMost
	notServing := 0
	for _, name := range v.Placement.ByService[t.Service] {
		b := v.Boxes[name]
		if b.Hall != l.agent.Settings.Hall {
			continue
		}
		if name == l.agent.Settings.Box {
			return true
		}
		r, err := l.agent.requestReport(ctx, b.Addr)
		if err == nil && (r.Digest != t.Digest || !r.Ready) && !r.Draining {
			notServing++
		}
		if notServing >= maxReloading {
			return false
		}
	}
	return true
}

func (a *Agent) requestReport(ctx context.Context, addr string) (*dispatch.Report, error) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := a.peerPool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	m, err := c.Call(ctx, &dispatch.StateRequest{})
	if err != nil {
		return nil, err
	}
	r, ok := m.(*dispatch.Report)
	if !ok {
		return nil, fault.New(fault.Garbage, "report")
	}
	return r, nil
}

// reload closes the gate, waits for the requests that run on the old version, orders
// the engine to load the new one, and opens the gate after the engine has confirmed
// the new digest.
func (l *loader) reload(ctx context.Context, t target) bool {
	a := l.agent
	l.setState("reloading")
	a.gate.Close()
	a.reportChanged.notify()
	const pollInterval = 5 * time.Millisecond
	for !a.gate.Idle() {
		time.Sleep(pollInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	l.orders++
	fence := engine.Fence{Revision: t.Revision, Incarnation: a.gate.Incarnation, Order: l.orders}
	s, err := a.engine.Order(orderCtx, engine.Order{
		Kind: engine.OrderLoad, Fence: fence, Digest: t.Digest, Adapters: t.Adapters, Role: t.Role,
		Source: a.source.begin(a.Settings.Source, fence),
	})
	if err != nil || !confirms(s, t) {
		a.source.end()
		a.Metrics.Failure("load_failed", err)
		telemetry.LogError(err, "load_failed", "digest", t.Digest)
		l.setLoaded(target{})
		l.setState("load_failed")
		return false
	}
	l.open(t)
	return true
}

func confirms(s *engine.State, t target) bool {
	return s.Digest == t.Digest && s.Role == t.Role && maps.Equal(s.Adapters, t.Adapters)
}

// verify checks that the engine is still in the state that it confirmed. An engine that
// was restarted, or that executed an order from another process, receives no more
// requests until it has reloaded.
func (l *loader) verify(ctx context.Context, t target) {
	if t.Kind == config.KindPlain || t.Service == "" {
		return
	}
	checkCtx, cancel := context.WithTimeout(ctx, engineCheckInterval)
	defer cancel()
	s, err := l.agent.engine.State(checkCtx)
	if err == nil && confirms(s, t) {
		return
	}
	l.agent.Metrics.Failure("engine_changed", err)
	l.agent.gate.Close()
	l.setLoaded(target{})
	l.setState("engine_changed")
}
