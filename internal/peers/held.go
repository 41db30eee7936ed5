package peers

import (
	"context"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/wire"
)

// HeldKeys tells of records that the sender holds against what the platform says since it came
// back from a copy; see mirror.HeldRecord.
type HeldKeys struct {
	From Member
	Keys []HeldKey
}

// HeldKey is one of them.
type HeldKey struct {
	Key string
	At  mirror.Position // Of the record.
}

// HeldRequest asks for records that were told of. It is answered by HeldRecords.
type HeldRequest struct{ Keys []string }

// HeldRecords are records that the sender holds.
type HeldRecords struct {
	Records Records
	Left    []time.Duration // For how long each is held; 0 until there is news.
}

// mostHeld bounds the records that one message tells of.
const mostHeld = 512

// tellHeld tells some gateways which records are held here.
func (g *Gossip) tellHeld(ctx context.Context, to []string) {
	held := g.Mirror.HeldRecords()
	if len(held) == 0 {
		return
	}
	m := &HeldKeys{From: g.Self}
	for _, h := range held[:min(mostHeld, len(held))] {
		m.Keys = append(m.Keys, HeldKey{h.Key, h.Rev})
	}
	for _, addr := range to {
		go g.tellIfEras(ctx, addr, m)
	}
}

// tellIfEras tells a gateway something, unless its build knows no eras.
func (g *Gossip) tellIfEras(ctx context.Context, addr string, m any) {
	ctx, cancel := context.WithTimeout(ctx, announceIn)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err == nil && g.spoken.ask(ctx, c) {
		g.tell(ctx, addr, m)
	}
}

// serveHeldKeys asks for what may be news here.
func (g *Gossip) serveHeldKeys(_ context.Context, _ *wire.Stream, m *HeldKeys) {
	var ask HeldRequest
	for _, k := range m.Keys {
		if len(ask.Keys) < mostHeld && g.Mirror.NeedsHeld(k.Key, k.At) {
			ask.Keys = append(ask.Keys, k.Key)
		}
	}
	if len(ask.Keys) == 0 || !g.askingHeld.CompareAndSwap(false, true) {
		return
	}
	defer g.askingHeld.Store(false)
	if err := g.askHeld(m.From.Addr, &ask); err != nil {
		telemetry.Log("held_not_told", "peer", m.From.Addr, "reason", fault.CodeOf(err))
	}
}

func (g *Gossip) askHeld(addr string, ask *HeldRequest) error {
	ctx, cancel := context.WithTimeout(g.Pool.Lifetime, pullWithin)
	defer cancel()
	c, err := g.Pool.Get(ctx, addr)
	if err != nil {
		return err
	}
	asked := time.Now()
	m, err := c.Call(ctx, ask)
	if err != nil {
		return err
	}
	r, ok := m.(*HeldRecords)
	if !ok || len(r.Left) != len(r.Records.Delta.Records) {
		return fault.New(fault.Garbage, "held records")
	}
	r.Records.heardBy(asked)
	for i, rec := range r.Records.Delta.Records {
		h := mirror.HeldRecord{Record: rec}
		if r.Left[i] > 0 {
			h.Until = asked.Add(r.Left[i])
		}
		g.Mirror.Hold(h, time.Now())
	}
	return nil
}

func (g *Gossip) serveAskHeld(ctx context.Context, s *wire.Stream, m *HeldRequest) {
	asked := make(map[string]bool, len(m.Keys))
	for _, k := range m.Keys {
		asked[k] = true
	}
	now := time.Now()
	var d mirror.Delta
	out := &HeldRecords{}
	for _, h := range g.Mirror.HeldRecords() {
		if !asked[h.Key] {
			continue
		}
		d.Records = append(d.Records, h.Record)
		left := time.Duration(0)
		if !h.Until.IsZero() {
			left = max(1, h.Until.Sub(now))
		}
		out.Left = append(out.Left, left)
	}
	out.Records = *records(d, now)
	_ = s.SendLast(ctx, out)
}

// LogMirrorEvent writes what a mirror made of a copy.
func LogMirrorEvent(n mirror.Event) {
	switch n.Kind {
	case mirror.EventNewEra:
		telemetry.Log("store_returned", "before", n.Known.Rev, "at", n.Published.Rev, "held", n.HeldCount)
	case mirror.EventHeld:
		telemetry.Log("record_held", "key", n.Key, "known", n.Known.Rev, "deleted", n.Known.Gone, "copied", n.Published.Rev, "lacks", n.Published.Gone, "for", leftOf(n.Until))
	case mirror.EventReleased:
		telemetry.Log("record_released", "key", n.Key, "known", n.Known.Rev, "copied", n.Published.Rev, "lacks", n.Published.Gone)
	}
}

// leftOf tells for how long something is held.
func leftOf(until time.Time) string {
	if until.IsZero() {
		return "until news"
	}
	return time.Until(until).Round(time.Millisecond).String()
}
