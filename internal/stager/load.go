package stager

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/weights"
)

// Intervals and timeouts of the loader.
const (
	pollBusy   = 50 * time.Millisecond  // Poll interval while a transfer or a change of version is in progress.
	pollIdle   = 500 * time.Millisecond // Poll interval otherwise.
	noticeLead = 60 * time.Millisecond  // Gateways are notified of a change this long before the replica is ordered to make it.
	// A link counts as slow while a transfer has less than this share of its usual number of
	// fetches open, and for slowFor after that: requests from gateways queue on it too.
	slowBelow = 0.7
	slowFor   = 6 * time.Second
	// A box and its replica start at the same time. The agent waits at most this long for the
	// replica to answer before it asks which pieces are staged.
	replicaStartTimeout = 3 * time.Second
)

// versionTransfer is a transfer of one version of a model, with its cancel function.
type versionTransfer struct {
	*weights.Transfer
	model   string
	version uint64
	cancel  context.CancelFunc
	// peersOnly means that no chunk is fetched from the origin.
	peersOnly bool
}

// load downloads the assigned version to the box and has the replica load it.
func (s *Stager) load(ctx context.Context) error {
	var vs versions
	for ctx.Err() == nil {
		a, target, changed := s.assignments.watch()
		wait := pollIdle
		if a != nil {
			s.updateTransfers(ctx, &vs, a, target)
			if !s.step(ctx, &vs, a, target) {
				wait = pollBusy
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-changed:
		case <-s.completed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

func artifactName(model string, version uint64) string { return fmt.Sprintf("%s/%d", model, version) }

// startPeerTransfer starts the transfer of an older version from other boxes that have it.
func (s *Stager) startPeerTransfer(ctx context.Context, a *peers.Assignment, version uint64, publishedAt time.Time) *versionTransfer {
	old := *a
	old.Version = version
	r := s.startTransfer(ctx, &old, publishedAt)
	r.peersOnly = true
	r.SetYieldOrigin(true)
	telemetry.Log("stopgap", "artifact", r.Artifact, "newest", a.Version, "replicas", len(a.Replicas))
	return r
}

// startTransfer starts the transfer of the version that a names.
func (s *Stager) startTransfer(ctx context.Context, a *peers.Assignment, publishedAt time.Time) *versionTransfer {
	const originCopies = 2 // Copies that the origin's link can carry within the window of the transfer.
	copyTime := time.Second
	if a.OriginRate > 0 {
		copyTime = time.Duration(float64(a.VersionBytes) / a.OriginRate * float64(time.Second))
	}
	artifact := artifactName(a.Model, a.Version)
	tctx, cancel := context.WithCancel(ctx)
	r := &versionTransfer{model: a.Model, version: a.Version, cancel: cancel}
	r.Transfer = &weights.Transfer{
		Exchange: s.exchange, Artifact: artifact, Window: originCopies * copyTime, OriginCopies: originCopies,
		Members: s.members, StartAt: publishedAt,
		Accept:  func(m *weights.Manifest) error { return acceptManifest(m, a) },
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
			telemetry.Log("weights_whole", "artifact", artifact, "took", time.Since(began), "moved", s.transferEvents.take())
			select {
			case s.completed <- struct{}{}:
			default:
			}
		case <-tctx.Done():
		}
	}()
	return r
}

// acceptManifest returns an error if m can't be the manifest of the assigned version: pieces are
// compared with the manifest alone, so that one of another version, or one that lacks pieces, would
// be staged and loaded.
func acceptManifest(m *weights.Manifest, a *peers.Assignment) error {
	bytes := 0
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			bytes += c.Size
		}
	}
	var err error
	switch {
	case m.Model != a.Model || m.Version != strconv.FormatUint(a.Version, 10):
		err = fault.New(fault.Garbage, fmt.Sprintf("manifest of %s/%s for %s", m.Model, m.Version, artifactName(a.Model, a.Version)))
	case len(m.Files) != 1 || a.VersionBytes > 0 && bytes != a.VersionBytes:
		err = fault.New(fault.Garbage, fmt.Sprintf("manifest of %d files, %d bytes for %s, which has %d", len(m.Files), bytes, artifactName(a.Model, a.Version), a.VersionBytes))
	}
	if err != nil {
		telemetry.LogError(err, "manifest_refused", "artifact", artifactName(a.Model, a.Version))
	}
	return err
}

// members returns the boxes that need the assigned version: all with a replica of the
// service. All agents listen on the same port.
func (s *Stager) members() []weights.Member {
	a, _, _ := s.assignments.watch()
	out := []weights.Member{s.exchange.Self}
	_, port := splitAddr(s.Settings.Listen)
	seen := map[string]bool{s.exchange.Self.Name: true} // A former replica of a box may still be listed.
	for _, r := range a.Replicas {
		ip, _ := splitAddr(r.Addr)
		if !seen[ip] && !r.Leaving {
			seen[ip] = true
			out = append(out, weights.Member{Name: ip, Hall: r.Hall, Addr: ip + ":" + port})
		}
	}
	return out
}

// fetchFromOrigin fetches a manifest by the name of its artifact, or a piece of at most maxBytes by its digest.
func (s *Stager) fetchFromOrigin(ctx context.Context, name string, maxBytes int) ([]byte, error) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, _, _ := s.assignments.watch()
	if a.Origin == "" {
		return nil, fault.New(fault.Unreachable, "the assignment has no origin")
	}
	if p, ok := s.pieces.find(name); ok {
		began := time.Now()
		data, err := s.options.Origin.Piece(ctx, a.Origin, p.model, p.version, p.number, maxBytes)
		telemetry.Log("origin_asked", "model", p.model, "version", p.version, "piece", p.number, "took", time.Since(began), "reason", fault.CodeOf(err))
		return data, err
	}
	if name != artifactName(a.Model, a.Version) {
		return nil, fault.New(fault.NotHeld, name)
	}
	return s.fetchManifest(ctx, a)
}

// fetchManifest requests a manifest until two answers agree: its digest is not known in
// advance, and a corrupt one would spread from here to every box. The first two requests
// run in parallel.
func (s *Stager) fetchManifest(ctx context.Context, a *peers.Assignment) ([]byte, error) {
	const tries = 5
	type answer struct {
		data []byte
		err  error
	}
	answers := make(chan answer, tries)
	request := func() {
		m, err := s.options.Origin.Manifest(ctx, a.Origin, a.Model, a.Version)
		var data []byte
		if err == nil {
			data, err = m.Encode()
		}
		answers <- answer{data, err}
	}
	go request()
	go request()
	seen := map[string]bool{}
	for requested := 2; ; requested++ {
		got := <-answers
		switch {
		case got.err == nil && seen[string(got.data)]:
			return got.data, nil
		case got.err == nil:
			seen[string(got.data)] = true
		case fault.Is(got.err, fault.Unreachable):
			return nil, got.err // The origin is unreachable; retrying would not help.
		}
		if requested == tries {
			return nil, fault.New(fault.Corrupt, "origin "+a.Origin+" did not send the same manifest twice")
		}
		go request()
	}
}

// step makes what progress is possible now towards a replica with the assigned version,
// and reports whether the replica has it.
func (s *Stager) step(ctx context.Context, vs *versions, a *peers.Assignment, target catalog.Target) bool {
	now := time.Now()
	cs := s.candidates(vs, a, target, now)
	vs.allotOrigin(now, cs)
	s.updateProgress(vs, now)
	s.limitInFlight(vs, target, now)
	rep, ok := s.status.report()
	if !ok {
		return false
	}
	next := nextVersion(now, cs, rep.Version, s.usableUntil(target, rep.Version))
	changeAt := s.changeTime(a, rep, target, next)
	s.status.setChangeAt(changeAt)
	s.endChange(vs, rep)
	if rep.Version == a.Version && !rep.OrderPending {
		return true
	}
	if rep.OrderPending || !next.complete || now.Before(changeAt) {
		return false
	}
	s.changeVersion(ctx, vs, vs.find(next.version))
	return false
}

// updateProgress sets in the status how many chunks of the newest version are missing, and
// whether the box's link is slow, judged by all transfers in progress.
func (s *Stager) updateProgress(vs *versions, now time.Time) {
	for _, r := range vs.all() {
		if !r.isComplete() && r.ParallelFraction() < slowBelow {
			s.slowUntil = now.Add(slowFor)
		}
	}
	_, missing := vs.newest.Progress()
	s.upToDate.Store(vs.newest.isComplete())
	slow := now.Before(s.slowUntil)
	s.status.set(func(st *peers.Status) { st.MissingChunks, st.SlowLink = missing, slow })
}

// limitInFlight limits the chunks in flight to the box shortly before the version that its
// replica serves expires. For a moment after a start or an order the replica's version is
// not known; the one before the newest is assumed then.
func (s *Stager) limitInFlight(vs *versions, target catalog.Target, now time.Time) {
	rep, known := s.status.report()
	held := rep.Version
	if !known {
		held = vs.newest.version - 1
	}
	single := held != 0 && s.expiresSoon(now, target.SupersededAt(held))
	for _, r := range vs.all() {
		r.SetSingleFetch(single)
	}
	s.exchange.SetNoUploadQueue(single) // The other boxes limit their fetches at the same time.
}
