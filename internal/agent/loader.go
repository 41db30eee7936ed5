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

// loader brings the box to what the configuration places on it: it runs the
// transfers, gives the engine its orders and opens the gate.
type loader struct {
	agent     *Agent
	transfers map[string]*running

	mu     sync.Mutex
	target target
	loaded target
	state  string // For people.
}

// running is a transfer with the means to end it.
type running struct {
	*weights.Transfer
	cancel context.CancelFunc
}

// target is what a box should serve.
type target struct {
	Service  string            `json:"service"`
	Kind     string            `json:"kind"`
	Digest   string            `json:"digest,omitempty"`
	Adapters map[string]string `json:"adapters,omitempty"`
	Role     string            `json:"role,omitempty"`
	Revision uint64            `json:"revision"`
}

// same reports whether an engine that serves t also serves o.
func (t target) same(o target) bool {
	return t.Service == o.Service && t.Digest == o.Digest && t.Role == o.Role && maps.Equal(t.Adapters, o.Adapters)
}

func (t target) artifacts() []string {
	if t.Digest == "" {
		return nil
	}
	return append([]string{t.Digest}, slices.Sorted(maps.Values(t.Adapters))...)
}

func wanted(v *view.View, box string) target {
	if v.Config == nil {
		return target{}
	}
	name := v.Placement.ByBox[box]
	s, ok := v.Config.Services[name]
	if !ok {
		return target{Revision: v.Revision()}
	}
	return target{
		Service: name, Kind: s.Kind, Digest: v.Config.Wanted(s), Adapters: v.Config.AdapterDigests(s),
		Role: s.Role, Revision: v.Revision(),
	}
}

// Waits of the loader.
const (
	loaderLook  = 250 * time.Millisecond // Between looks while something is under way.
	checkEngine = 2 * time.Second        // Between checks that the engine still has what it confirmed.
	orderWithin = 2 * time.Minute
)

func (l *loader) run(ctx context.Context) error {
	l.transfers = map[string]*running{}
	nextCheck := time.Now()
	for {
		v, changed := l.agent.holder.Watch()
		t := wanted(v, l.agent.Settings.Box)
		l.note(t)
		l.fetch(ctx, t)
		wait := checkEngine
		if !l.step(ctx, v, t) {
			wait = loaderLook
		} else if now := time.Now(); now.After(nextCheck) {
			nextCheck = now.Add(checkEngine)
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

func (l *loader) note(t target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = t
}

func (l *loader) say(state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != state {
		l.state = state
		telemetry.Log("loader", "state", state, "service", l.target.Service, "digest", l.target.Digest, "revision", l.target.Revision)
	}
}

// fetch starts the transfers that t needs and ends those that it does not. What
// an ended one had stays in the store until room is needed.
func (l *loader) fetch(ctx context.Context, t target) {
	need := map[string]bool{}
	for _, digest := range t.artifacts() {
		need[digest] = true
		if l.transfers[digest] == nil {
			l.transfers[digest] = l.start(ctx, digest)
		}
	}
	for digest, r := range l.transfers {
		if !need[digest] {
			r.cancel()
			l.agent.exchange.Store.Unpin(digest)
			delete(l.transfers, digest)
		}
	}
}

func (l *loader) start(ctx context.Context, digest string) *running {
	w := l.agent.holder.Get().Config.Weights
	l.agent.exchange.SetUploadSlots(w.UploadSlots)
	ctx, cancel := context.WithCancel(ctx)
	const firstCopy = 1.1 // A first copy, with what faults may add to it.
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
	return &running{t, cancel}
}

// members returns the boxes that want an artifact by a view.
func members(v *view.View, digest string) []weights.Member {
	var out []weights.Member
	for _, b := range fleet.Live(v.Boxes) {
		if slices.Contains(wanted(v, b.Name).artifacts(), digest) {
			out = append(out, weights.Member{Name: b.Name, Hall: b.Hall, Addr: b.Addr})
		}
	}
	return out
}

// step goes as far towards t as it can now, and reports whether it is there.
func (l *loader) step(ctx context.Context, v *view.View, t target) bool {
	switch {
	case t.Service == "":
		l.agent.gate.Close()
		l.setLoaded(target{})
		l.say("not_placed")
		return true
	case t.Kind == config.KindPlain:
		if !l.loadedNow().same(t) {
			l.open(t)
		}
		return true
	case l.loadedNow().same(t):
		return true
	case !l.complete(t):
		l.say("fetching")
		return false
	case !l.mayReload(ctx, v, t):
		l.say("waiting_for_turn")
		return false
	}
	return l.reload(ctx, t)
}

func (l *loader) loadedNow() target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

func (l *loader) setLoaded(t target) {
	l.mu.Lock()
	l.loaded = t
	l.mu.Unlock()
	l.agent.changed.notify()
}

func (l *loader) open(t target) {
	l.agent.gate.Open(t.Service, t.Digest)
	l.setLoaded(t)
	l.say("serving")
}

func (l *loader) complete(t target) bool {
	for _, digest := range t.artifacts() {
		select {
		case <-l.transfers[digest].Complete():
		default:
			return false
		}
	}
	return true
}

// mayReload keeps the replicas of a hall that change at once to the bound: in
// the placement's order, fewer than that many before this one may not yet serve
// what is wanted. A box that serves nothing takes nothing away, so it need not
// wait; one that cannot be reached is out in any case.
func (l *loader) mayReload(ctx context.Context, v *view.View, t target) bool {
	if l.loadedNow().Service == "" {
		return true
	}
	bound := v.Config.Services[t.Service].ReloadAtMost
	behind := 0
	for _, name := range v.Placement.ByService[t.Service] {
		b := v.Boxes[name]
		if b.Hall != l.agent.Settings.Hall {
			continue
		}
		if name == l.agent.Settings.Box {
			return true
		}
		r, err := l.agent.stateOf(ctx, b.Addr)
		if err == nil && (r.Digest != t.Digest || !r.Ready) && !r.Draining {
			behind++
		}
		if behind >= bound {
			return false
		}
	}
	return true
}

func (a *Agent) stateOf(ctx context.Context, addr string) (*dispatch.Report, error) {
	const within = time.Second
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := a.requests.Get(ctx, addr)
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

// reload shuts the gate, waits for what runs on the old version, has the engine
// load the new one, and opens the gate once the engine confirmed that digest.
func (l *loader) reload(ctx context.Context, t target) bool {
	a := l.agent
	l.say("reloading")
	a.gate.Close()
	a.changed.notify()
	const look = 5 * time.Millisecond
	for !a.gate.Idle() {
		time.Sleep(look)
		if ctx.Err() != nil {
			return false
		}
	}
	octx, cancel := context.WithTimeout(ctx, orderWithin)
	defer cancel()
	s, err := a.engine.Order(octx, engine.Order{
		Kind: engine.OrderLoad, Fence: engine.Fence{Revision: t.Revision, Incarnation: a.gate.Incarnation},
		Digest: t.Digest, Adapters: t.Adapters, Role: t.Role, Source: "http://" + a.Settings.Source,
	})
	if err != nil || !confirms(s, t) {
		a.Metrics.Failed("load_failed", err)
		telemetry.LogError(err, "load_failed", "digest", t.Digest)
		l.setLoaded(target{})
		l.say("load_failed")
		return false
	}
	l.open(t)
	return true
}

func confirms(s *engine.State, t target) bool {
	return s.Digest == t.Digest && s.Role == t.Role && maps.Equal(s.Adapters, t.Adapters)
}

// verify asks the engine whether it still has what it confirmed. An engine that
// was restarted, or took an order from someone else, takes no more requests
// until it is loaded anew.
func (l *loader) verify(ctx context.Context, t target) {
	if t.Kind == config.KindPlain || t.Service == "" {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, checkEngine)
	defer cancel()
	s, err := l.agent.engine.State(cctx)
	if err == nil && confirms(s, t) {
		return
	}
	l.agent.Metrics.Failed("engine_changed", err)
	l.agent.gate.Close()
	l.setLoaded(target{})
	l.say("engine_changed")
}
