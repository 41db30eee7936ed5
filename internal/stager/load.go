package stager

import (
	"context"
	"fmt"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/weights"
)

// Waits of the loader.
const (
	look     = 50 * time.Millisecond  // Between looks while something is under way,
	lookIdle = 500 * time.Millisecond // and while nothing is.
	tellLead = 60 * time.Millisecond  // Gateways hear of a change before the replica does.
	orderIn  = time.Second
	// A link counts as slow while a transfer has so small a part of its usual
	// fetches open, and for a while after: what gateways send waits there too.
	slowEase = 0.7
	slowFor  = 6 * time.Second
	// A box and its replica start together; what is staged is asked for once the
	// replica answers, and is not waited for longer than this.
	replicaUpIn = 3 * time.Second
)

// running is a transfer with the means to end it.
type running struct {
	*weights.Transfer
	model   string
	version uint64
	cancel  context.CancelFunc
	// fromOthers says that the origin is not asked for it.
	fromOthers bool
}

// load brings the assigned version to the box and its replica.
func (s *Stager) load(ctx context.Context) error {
	var vs versions
	for ctx.Err() == nil {
		a, wanted, changed := s.now.watch()
		wait := lookIdle
		if a != nil {
			s.follow(ctx, &vs, a, wanted)
			if !s.step(ctx, &vs, a, wanted) {
				wait = look
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-changed:
		case <-s.whole:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

func artifactOf(model string, version uint64) string { return fmt.Sprintf("%s/%d", model, version) }

// transferFromOthers starts the transfer of an older version that other boxes have.
func (s *Stager) transferFromOthers(ctx context.Context, a *peers.Assignment, version uint64, named time.Time) *running {
	old := *a
	old.Version = version
	r := s.transfer(ctx, &old, named)
	r.fromOthers = true
	r.SetYieldOrigin(true)
	telemetry.Log("stopgap", "artifact", r.Artifact, "newest", a.Version, "replicas", len(a.Replicas))
	return r
}

// transfer starts the transfer of what is assigned.
func (s *Stager) transfer(ctx context.Context, a *peers.Assignment, named time.Time) *running {
	const window = 2 // Copies that a box's link is planned to carry.
	copyIn := time.Second
	if a.OriginRate > 0 {
		copyIn = time.Duration(float64(a.VersionBytes) / a.OriginRate * float64(time.Second))
	}
	artifact := artifactOf(a.Model, a.Version)
	tctx, cancel := context.WithCancel(ctx)
	r := &running{model: a.Model, version: a.Version, cancel: cancel}
	r.Transfer = &weights.Transfer{
		Exchange: s.exchange, Artifact: artifact, Window: window * copyIn, OriginCopies: window,
		Members: s.members, StartAt: named,
		Prepare: func(ctx context.Context, m *weights.Manifest) { s.prepare(ctx, a.Model, a.Version, m) },
	}
	began := time.Now()
	go func() {
		if err := r.Run(tctx); err != nil && tctx.Err() == nil {
			telemetry.LogError(err, "transfer_failed", "artifact", artifact)
		}
	}()
	go func() {
		select {
		case <-r.Complete():
			telemetry.Log("weights_whole", "artifact", artifact, "took", time.Since(began), "moved", s.moved.take())
			select {
			case s.whole <- struct{}{}:
			default:
			}
		case <-tctx.Done():
		}
	}()
	return r
}

// members returns the boxes that want what is assigned: all that have a replica
// of the service. Ports are alike on all of them.
func (s *Stager) members() []weights.Member {
	a, _, _ := s.now.watch()
	out := []weights.Member{s.exchange.Self}
	_, port := splitAddr(s.Settings.Listen)
	seen := map[string]bool{s.exchange.Self.Name: true} // The replica before a box's present one may be listed still.
	for _, r := range a.Replicas {
		ip, _ := splitAddr(r.Addr)
		if !seen[ip] && !r.Leaving {
			seen[ip] = true
			out = append(out, weights.Member{Name: ip, Hall: r.Hall, Addr: ip + ":" + port})
		}
	}
	return out
}

// fromOrigin fetches a manifest by its artifact's name, or a piece by its digest.
func (s *Stager) fromOrigin(ctx context.Context, name string) ([]byte, error) {
	const within = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	a, _, _ := s.now.watch()
	if a.Origin == "" {
		return nil, fault.New(fault.Unreachable, "no origin is known")
	}
	if p, ok := s.pieces.find(name); ok {
		began := time.Now()
		data, err := s.options.Origin.Piece(ctx, a.Origin, p.model, p.version, p.number)
		telemetry.Log("origin_asked", "model", p.model, "version", p.version, "piece", p.number, "took", time.Since(began), "reason", fault.CodeOf(err))
		return data, err
	}
	if name != artifactOf(a.Model, a.Version) {
		return nil, fault.New(fault.NotHeld, name)
	}
	return s.manifest(ctx, a)
}

// manifest fetches a manifest until two answers agree: no digest of it is known,
// and a spoilt one would spread from here to every box. Two are asked for at once.
func (s *Stager) manifest(ctx context.Context, a *peers.Assignment) ([]byte, error) {
	const tries = 5
	type answer struct {
		data []byte
		err  error
	}
	answers := make(chan answer, tries)
	ask := func() {
		m, err := s.options.Origin.Manifest(ctx, a.Origin, a.Model, a.Version)
		var data []byte
		if err == nil {
			data, err = m.Encode()
		}
		answers <- answer{data, err}
	}
	go ask()
	go ask()
	seen := map[string]bool{}
	for asked := 2; ; asked++ {
		got := <-answers
		switch {
		case got.err == nil && seen[string(got.data)]:
			return got.data, nil
		case got.err == nil:
			seen[string(got.data)] = true
		case fault.Is(got.err, fault.Unreachable):
			return nil, got.err // The origin is away; nothing is spoilt.
		}
		if asked == tries {
			return nil, fault.New(fault.Corrupt, "manifests of "+a.Origin+" differ or do not come")
		}
		go ask()
	}
}

// step goes as far as it can towards a replica with the assigned version, and
// reports whether it is there.
func (s *Stager) step(ctx context.Context, vs *versions, a *peers.Assignment, wanted catalog.Target) bool {
	now := time.Now()
	cs := s.candidates(vs, a, wanted, now)
	vs.shareOrigin(now, cs)
	s.tellProgress(vs, now)
	s.sparesLink(vs, wanted, now)
	rep, ok := s.status.report()
	if !ok {
		return false
	}
	to := next(now, cs, rep.Version, s.until(wanted, rep.Version))
	turn := s.turn(a, rep, wanted, to)
	s.status.changes(turn)
	if !rep.OrderPending && rep.Version != 0 && rep.Version >= vs.ordered {
		s.status.set(func(st *peers.Status) { st.Changing = false })
	}
	if rep.Version == a.Version && !rep.OrderPending {
		return true
	}
	if rep.OrderPending || !to.whole || now.Before(turn) {
		return false
	}
	vs.ordered = to.version
	s.change(ctx, vs.find(to.version), rep)
	return false
}

// tellProgress has gateways told how the newest version comes along, and whether the
// box's link is slow, by any transfer that is under way.
func (s *Stager) tellProgress(vs *versions, now time.Time) {
	for _, r := range vs.all() {
		if !r.whole() && r.ParallelFraction() < slowEase {
			s.slowUntil = now.Add(slowFor)
		}
	}
	_, missing := vs.newest.Progress()
	s.rests.Store(vs.newest.whole())
	slow := now.Before(s.slowUntil)
	s.status.set(func(st *peers.Status) { st.MissingChunks, st.SlowLink = missing, slow })
}

// sparesLink has little on its way to the box near the end of the time of the version
// that its replica serves. Whether it does is not known for a moment after a start or an
// order; it is taken to.
func (s *Stager) sparesLink(vs *versions, wanted catalog.Target, now time.Time) {
	rep, known := s.status.report()
	held := rep.Version
	if !known {
		held = vs.newest.version - 1
	}
	few := held != 0 && s.nearEnd(now, wanted.SupersededAt(held))
	for _, r := range vs.all() {
		r.SetSingleFetch(few)
	}
}

// change stages what the replica should take and orders it to take it.
func (s *Stager) change(ctx context.Context, r *running, rep Report) {
	s.status.set(func(st *peers.Status) { st.Changing = true })
	began := time.Now()
	if !s.stage(ctx, r) {
		return
	}
	if left := tellLead - time.Since(began); left > 0 && rep.Version != 0 {
		kernel.Sleep(ctx, left)
	}
	octx, cancel := context.WithTimeout(ctx, orderIn)
	defer cancel()
	err := s.options.Replica.Order(octx, r.model, r.version, rep.OrderCount)
	s.status.expire()
	telemetry.Log("ordered", "addr", s.Settings.Replica, "model", r.model, "version", r.version, "from", rep.Version, "orders", rep.OrderCount, "staged_in", time.Since(began), "reason", fault.CodeOf(err))
}
