package stager

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/rendezvous"
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
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

func artifactOf(model string, version uint64) string { return fmt.Sprintf("%s/%d", model, version) }

// transfer starts the transfer of what is assigned.
func (s *Stager) transfer(ctx context.Context, a *peers.Assignment, named time.Time) *running {
	const window = 2 // Copies that a box's link is planned to carry.
	copyIn := time.Second
	if a.OriginRate > 0 {
		copyIn = time.Duration(float64(a.Bytes) / a.OriginRate * float64(time.Second))
	}
	artifact := artifactOf(a.Model, a.Version)
	tctx, cancel := context.WithCancel(ctx)
	r := &running{model: a.Model, version: a.Version, cancel: cancel}
	r.Transfer = &weights.Transfer{
		Exchange: s.exchange, Artifact: artifact, Window: window * copyIn, Copies: window,
		Members: s.members, Since: named,
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

// prepare takes back what is staged on the box already. Only the first transfer
// of a process has to: later ones want a version that was never staged here.
func (s *Stager) prepare(ctx context.Context, model string, version uint64, m *weights.Manifest) {
	s.pieces.note(model, version, m)
	telemetry.Log("manifest_here", "model", model, "version", version, "pieces", len(m.Files[0].Chunks))
	if s.recovered.Swap(true) {
		return
	}
	s.status.awaitReplica(ctx, replicaUpIn)
	held, err := s.options.Replica.Staged(ctx, model)
	if err != nil {
		telemetry.Log("staged_unknown", "model", model, "reason", fault.CodeOf(err))
		return
	}
	chunks, kept := m.Files[0].Chunks, 0
	for i, n := range held {
		if n < 0 || n >= len(chunks) {
			continue
		}
		data, err := s.options.Replica.ReadStaged(ctx, model, n)
		if err == nil && s.exchange.Store.Put(chunks[n].Digest, data) == nil {
			kept++
		}
		if i == sample && kept == 0 {
			break // Another version lies there.
		}
	}
	if kept == len(chunks) {
		s.readBack.Store(&readBack{artifact: artifactOf(model, version), goodUntil: time.Now().Add(readBackFor)})
	}
	telemetry.Log("staged_read", "model", model, "version", version, "held", len(held), "kept", kept)
}

// readBack is a version of which every piece was found intact where the replica takes
// it from.
type readBack struct {
	artifact  string
	goodUntil time.Time // Pieces may turn bad there later.
}

// readBackFor is for how long a version that was read back need not be staged again.
const readBackFor = time.Second

// sample is after how many pieces of which none matched the rest is not read.
const sample = 6

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
// and a spoilt one would spread from here to every box.
func (s *Stager) manifest(ctx context.Context, a *peers.Assignment) ([]byte, error) {
	const tries = 5
	seen := map[string]bool{}
	var last error
	for range tries {
		m, err := s.options.Origin.Manifest(ctx, a.Origin, a.Model, a.Version)
		if err != nil {
			last = err
			continue
		}
		data, err := m.Encode()
		if err != nil {
			return nil, err
		}
		if seen[string(data)] {
			return data, nil
		}
		seen[string(data)] = true
	}
	if last == nil {
		last = fault.New(fault.Corrupt, "manifests of "+a.Origin+" differ")
	}
	return nil, last
}

// step goes as far as it can towards a replica with the assigned version, and
// reports whether it is there.
func (s *Stager) step(ctx context.Context, vs *versions, a *peers.Assignment, wanted catalog.Wanted) bool {
	now := time.Now()
	cs := s.candidates(vs, a, wanted, now)
	vs.shareOrigin(now, cs)
	s.tellProgress(vs, now)
	rep, ok := s.status.report()
	if !ok {
		return false
	}
	to := next(now, cs, rep.Version, s.until(wanted, rep.Version))
	turn := s.turn(a, rep, wanted, to)
	s.status.changes(turn)
	if !rep.Ordered && rep.Version != 0 && rep.Version >= vs.ordered {
		s.status.set(func(st *peers.Status) { st.Changing = false })
	}
	if rep.Version == a.Version && !rep.Ordered {
		return true
	}
	if rep.Ordered || !to.whole || now.Before(turn) {
		return false
	}
	vs.ordered = to.version
	s.change(ctx, vs.find(to.version), rep)
	return false
}

// tellProgress has gateways told how the newest version comes along, and whether the
// box's link is slow, by any transfer that is under way.
func (s *Stager) tellProgress(vs *versions, now time.Time) {
	for _, r := range append(slices.Clone(vs.older), vs.newest) {
		if !r.whole() && r.Ease() < slowEase {
			s.slowUntil = now.Add(slowFor)
		}
	}
	_, missing := vs.newest.Progress()
	slow := now.Before(s.slowUntil)
	s.status.set(func(st *peers.Status) { st.Missing, st.SlowLink = missing, slow })
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
	err := s.options.Replica.Order(octx, r.model, r.version, rep.Orders)
	s.status.expire()
	telemetry.Log("ordered", "addr", s.Settings.Replica, "model", r.model, "version", r.version, "from", rep.Version, "orders", rep.Orders, "staged_in", time.Since(began), "reason", fault.CodeOf(err))
}

// stage puts a version where the replica takes it from, unless it lies there intact
// already, and reports whether all of it is there.
func (s *Stager) stage(ctx context.Context, r *running) bool {
	if b := s.readBack.Load(); b != nil && b.artifact == r.Artifact && time.Now().Before(b.goodUntil) {
		return true
	}
	for i, c := range r.Manifest().Files[0].Chunks {
		data, ok := s.exchange.Store.Get(c.Digest)
		if !ok {
			return false
		}
		if err := s.options.Replica.Stage(ctx, r.model, i, data); err != nil {
			telemetry.LogError(err, "stage_failed", "model", r.model, "version", r.version, "piece", i)
			return false
		}
	}
	return true
}

// Rolling: the replicas take a version one after the other, spread over the time
// between the first that can have it and the end of the older ones' time, so that
// as few as possible finish what they run at the same moment.
const (
	rollMargin  = 700 * time.Millisecond // Before the older versions' time is over.
	spreadLinks = 1.4                    // Copies that a box's link carries until the first has a whole.
)

// turn is when the replica may change, or zero for at once: one that serves
// nothing need not wait. It is never before the weights are here.
func (s *Stager) turn(a *peers.Assignment, rep Report, wanted catalog.Wanted, to candidate) time.Time {
	if rep.Version == 0 || rep.Version == a.Version {
		return time.Time{}
	}
	place := placeOf(a, s.exchange.Self)
	lead := time.Duration(spreadLinks * float64(a.Bytes) / s.linkRate() * float64(time.Second))
	turn := turnOf(wanted, rep.Version, to.version, lead, s.bounds.Load().VersionWithin-rollMargin, place)
	if to.wholeBy.After(turn) {
		return to.wholeBy
	}
	return turn
}

// placeOf is a replica's place among all that change, from 0 to under 1: those of
// a hall one after the other, and the halls by turns. It is pure.
func placeOf(a *peers.Assignment, self weights.Member) float64 {
	var here, halls []string
	for _, r := range a.Replicas {
		if r.Leaving || r.Version == 0 {
			continue
		}
		if !slices.Contains(halls, r.Hall) {
			halls = append(halls, r.Hall)
		}
		if r.Hall == self.Hall {
			ip, _ := splitAddr(r.Addr)
			here = append(here, ip)
		}
	}
	place := float64(rendezvous.Position(a.Model, self.Name, here))
	slices.Sort(halls)
	turn := float64(max(0, slices.Index(halls, self.Hall))) / float64(max(1, len(halls)))
	return min(1, (place+turn)/float64(max(1, len(here))))
}

// turnOf is when the replica at a place among all changes from one version to another:
// spread from when that can be here, lead after it was named, to when the time of its
// own version is over, within after that was overtaken. It is pure.
func turnOf(w catalog.Wanted, from, to uint64, lead, within time.Duration, place float64) time.Time {
	named, overtaken := w.Overtaken(to-1), w.Overtaken(from)
	if named.IsZero() || overtaken.IsZero() {
		return time.Time{}
	}
	begin, end := named.Add(lead), overtaken.Add(within)
	span := max(0, end.Sub(begin))
	return begin.Add(time.Duration(float64(span) * place))
}
