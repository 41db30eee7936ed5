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

// Serve registers the handlers that answer peers from h. freshFor is how long
// an answer of the platform vouches for a view.
func Serve(hs *wire.Handlers, h *view.Holder, freshFor func() time.Duration) {
	wire.On(hs, func(ctx context.Context, s *wire.Stream, m *SyncRequest) {
		_ = s.SendLast(ctx, reply(ctx, h, m, freshFor()/freshSteps))
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

// reply waits until h holds something newer than m, or the request's deadline.
func reply(ctx context.Context, h *view.Holder, m *SyncRequest, freshStep time.Duration) *SyncReply {
	timer := time.NewTimer(time.Until(m.Until))
	defer timer.Stop()
	for {
		v, changed := h.Watch()
		if newer(v, m, freshStep) {
			return delta(v, m)
		}
		select {
		case <-changed:
		case <-timer.C:
			return delta(h.Get(), m)
		case <-ctx.Done():
			return &SyncReply{}
		}
	}
}

// newer reports whether m's sender lacks something. A later vouching alone
// counts only from a step on, which bounds the messages that carry nothing else.
func newer(v *view.View, m *SyncRequest, freshStep time.Duration) bool {
	return v.Revision() > m.Revision || v.Fleet.Version > m.Fleet ||
		v.FreshUntil.After(m.FreshUntil.Add(freshStep))
}

func delta(v *view.View, m *SyncRequest) *SyncReply {
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

// apply takes a reply into h, fetching the documents that are missing.
func apply(ctx context.Context, h *view.Holder, r *SyncReply, get func(ctx context.Context, digest string) ([]byte, error)) error {
	if r.Fleet.Version > 0 {
		if err := ignoreOlder(h.SetFleet(r.Fleet)); err != nil {
			return err
		}
	}
	if r.Head.Version == 0 {
		return agree(h, r)
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

// agree takes a reply that brings no newer revision. Two processes that hold
// different documents under one number cannot both be right, and nothing here
// can tell which is, so it is an error for people to see.
func agree(h *view.Holder, r *SyncReply) error {
	v := h.Get()
	if r.Digest != "" && v.Revision() > 0 && r.Digest != v.Digest {
		return fault.New(fault.DigestMismatch, "one revision with two contents")
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

// AcceptHead fetches the documents of head that h lacks and puts it in force.
func AcceptHead(ctx context.Context, h *view.Holder, head *config.Head, get func(ctx context.Context, digest string) ([]byte, error)) error {
	held := h.Get().Docs
	docs := map[string][]byte{}
	for _, digest := range head.Values() {
		if data, ok := held[digest]; ok {
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

// boxTable is the fleet list as it travels.
type boxTable = config.Delta[fleet.Box]
