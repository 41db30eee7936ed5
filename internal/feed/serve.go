package feed

import (
	"context"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/wire"
)

// Serve registers the handlers that answer requests of peers from h. freshFor returns
// how long a view counts as current after the platform has confirmed it.
func Serve(hs *wire.Handlers, h *view.Holder, freshFor func() time.Duration) {
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *SyncRequest) {
		_ = s.SendLast(ctx, awaitReply(ctx, h, m, freshFor()/freshnessSteps))
	})
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *DocRequest) {
		data, ok := h.Get().Docs[m.Digest]
		if !ok {
			_ = s.Fail(ctx, fault.New(fault.NotHeld, m.Digest))
			return
		}
		_ = s.SendLast(ctx, &Doc{Data: data})
	})
}

// awaitReply waits until h has changes for the sender of m, or m.AnswerBy, and returns
// the reply.
func awaitReply(ctx context.Context, h *view.Holder, m *SyncRequest, freshStep time.Duration) *SyncReply {
	timer := time.NewTimer(time.Until(m.AnswerBy))
	defer timer.Stop()
	for {
		v, changed := h.Watch()
		if hasChanges(v, m, freshStep) {
			return deltaFor(v, m)
		}
		select {
		case <-changed:
		case <-timer.C:
			return deltaFor(h.Get(), m)
		case <-ctx.Done():
			return &SyncReply{}
		}
	}
}

// hasChanges reports whether v has changes for the sender of m. A later FreshUntil alone
// counts only if it is more than freshStep later, which bounds the number of messages
// that contain nothing else.
func hasChanges(v *view.View, m *SyncRequest, freshStep time.Duration) bool {
	return v.Revision() > m.Revision || v.Fleet.Version > m.Fleet ||
		v.FreshUntil.After(m.FreshUntil.Add(freshStep))
}

func deltaFor(v *view.View, m *SyncRequest) *SyncReply {
	r := &SyncReply{FreshUntil: v.FreshUntil}
	if v.Revision() >= m.Revision {
		r.Digest = v.Digest
	}
	if v.Revision() > m.Revision {
		r.Head = v.Head.Since(m.Revision)
	}
	if v.Fleet.Version > m.Fleet {
		r.Fleet = v.Fleet.Since(m.Fleet)
	}
	return r
}

// apply applies a reply to h, and fetches missing documents.
func apply(ctx context.Context, h *view.Holder, r *SyncReply, get func(ctx context.Context, digest string) ([]byte, error)) error {
	if r.Fleet.Version > 0 {
		if err := ignoreOlder(h.SetFleet(r.Fleet)); err != nil {
			return err
		}
	}
	if r.Head.Version == 0 {
		return applyUnchanged(h, r)
	}
	head := h.Get().Head.Clone()
	if err := head.Apply(r.Head); err != nil {
		return ignoreOlder(err)
	}
	if r.Digest != "" && config.HeadDigest(head.Values()) != r.Digest {
		return fault.New(fault.DigestMismatch, "head")
	}
	if err := AcceptHead(ctx, h, head, get); err != nil {
		return ignoreOlder(err)
	}
	h.ExtendFreshness(r.FreshUntil)
	return nil
}

// applyUnchanged applies a reply without a newer revision. If two processes hold
// different documents for the same revision, one of them must be wrong. Which one
// cannot be determined here, so it is an error that an operator must resolve.
func applyUnchanged(h *view.Holder, r *SyncReply) error {
	v := h.Get()
	if r.Digest != "" && v.Revision() > 0 && r.Digest != v.Digest {
		return fault.New(fault.DigestMismatch, "peer holds other documents for the same revision")
	}
	h.ExtendFreshness(r.FreshUntil)
	return nil
}

func ignoreOlder(err error) error {
	if fault.Is(err, fault.OlderRevision) {
		return nil
	}
	return err
}

// AcceptHead fetches the documents of head that h does not hold, and puts head in force.
func AcceptHead(ctx context.Context, h *view.Holder, head *config.Head, get func(ctx context.Context, digest string) ([]byte, error)) error {
	current := h.Get().Docs
	docs := map[string][]byte{}
	for _, digest := range head.Values() {
		if data, ok := current[digest]; ok {
			docs[digest] = data
			continue
		}
		data, err := get(ctx, digest)
		if err != nil {
			return err
		}
		docs[digest] = data
	}
	return h.Accept(head, docs)
}

// fleetDelta is a change of the fleet list as it is sent between processes.
type fleetDelta = config.Delta[fleet.Box]
