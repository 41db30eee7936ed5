package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/wire"
)

// HeldKeys announces the records that the sender holds in place of the platform's records since
// the platform was restored from a backup; see mirror.HeldRecord.
type HeldKeys struct {
	From Member
	Keys []HeldKey
}

// HeldKey identifies a held record.
type HeldKey struct {
	Key string
	At  mirror.Position // Position of the record.
}

// HeldRequest requests records that were announced. It is answered by HeldRecords.
type HeldRequest struct{ Keys []string }

// HeldRecords carries records that the sender holds.
type HeldRecords struct {
	Records Records
	Left    []time.Duration // How long each record is still held; 0 means until its key changes.
}

// maxHeldKeys bounds the records that one message lists.
const maxHeldKeys = 512

// announceHeld announces the records held here to some gateways.
func (g *Gossip) announceHeld(ctx context.Context, to []string) {
	held := g.Mirror.HeldRecords()
	if len(held) == 0 {
		return
	}
	m := &HeldKeys{From: g.Self}
	for _, h := range held[:min(maxHeldKeys, len(held))] {
		m.Keys = append(m.Keys, HeldKey{h.Key, h.Rev})
	}
	for _, addr := range to {
		go g.sendIfEras(ctx, addr, m)
	}
}

// sendIfEras sends a message to a gateway, unless its build does not support eras.
func (g *Gossip) sendIfEras(ctx context.Context, addr string, m any) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err == nil && g.capabilities.query(ctx, c) {
		g.send(ctx, addr, m)
	}
}

// serveHeldKeys requests the announced records that may be newer than those held here.
func (g *Gossip) serveHeldKeys(_ context.Context, _ *wire.Stream, m *HeldKeys) {
	var req HeldRequest
	for _, k := range m.Keys {
		if len(req.Keys) < maxHeldKeys && g.Mirror.NeedsHeld(k.Key, k.At) {
			req.Keys = append(req.Keys, k.Key)
		}
	}
	if len(req.Keys) == 0 || !g.requestingHeld.CompareAndSwap(false, true) {
		return
	}
	defer g.requestingHeld.Store(false)
	if err := g.requestHeld(m.From.Addr, &req); err != nil {
		telemetry.Log("held_not_told", "peer", m.From.Addr, "reason", fault.CodeOf(err))
	}
}

func (g *Gossip) requestHeld(addr string, req *HeldRequest) error {
	ctx, cancel := context.WithTimeout(g.Pool.Lifetime, pullTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return err
	}
	requestedAt := time.Now()
	m, err := c.Call(ctx, req)
	if err != nil {
		return err
	}
	r, ok := m.(*HeldRecords)
	if !ok || len(r.Left) != len(r.Records.Delta.Records) {
		return fault.New(fault.Garbage, "invalid answer to a request for held records")
	}
	r.Records.setTimes(requestedAt)
	for i, rec := range r.Records.Delta.Records {
		h := mirror.HeldRecord{Record: rec}
		if r.Left[i] > 0 {
			h.Until = requestedAt.Add(r.Left[i])
		}
		g.Mirror.Hold(h, time.Now())
	}
	return nil
}

func (g *Gossip) serveHeldRequest(ctx context.Context, s *wire.Stream, m *HeldRequest) {
	requested := make(map[string]bool, len(m.Keys))
	for _, k := range m.Keys {
		requested[k] = true
	}
	now := time.Now()
	var d mirror.Delta
	out := &HeldRecords{}
	for _, h := range g.Mirror.HeldRecords() {
		if !requested[h.Key] {
			continue
		}
		d.Records = append(d.Records, h.Record)
		left := time.Duration(0)
		if !h.Until.IsZero() {
			left = max(1, h.Until.Sub(now))
		}
		out.Left = append(out.Left, left)
	}
	out.Records = *newRecords(d, now)
	_ = s.SendLast(ctx, out)
}

// LogMirrorEvent logs how a mirror handled a platform restored from a backup.
func LogMirrorEvent(n mirror.Event) {
	switch n.Kind {
	case mirror.EventNewEra:
		telemetry.Log("store_returned", "before", n.Known.Rev, "at", n.Published.Rev, "held", n.HeldCount)
	case mirror.EventHeld:
		telemetry.Log("record_held", "key", n.Key, "known", n.Known.Rev, "deleted", n.Known.Gone, "copied", n.Published.Rev, "lacks", n.Published.Gone, "for", formatHold(n.Until))
	case mirror.EventReleased:
		telemetry.Log("record_released", "key", n.Key, "known", n.Known.Rev, "copied", n.Published.Rev, "lacks", n.Published.Gone)
	}
}

// formatHold formats the time for which a record is still held.
func formatHold(until time.Time) string {
	if until.IsZero() {
		return "until superseded"
	}
	return time.Until(until).Round(time.Millisecond).String()
}
