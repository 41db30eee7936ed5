package weights

import (
	"context"
	"time"
)

// state answers an Ask about a chunk.
func (t *Transfer) state(chunk int) AskReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil || chunk < 0 || chunk >= t.plan.Chunks {
		return AskReply{}
	}
	r := AskReply{Has: t.plan.Have().Has(chunk)}
	if t.plan.Ease() > slowEase {
		r.Getting, r.Ahead = len(t.plan.Others(chunk)) > 0, t.plan.LooksAfter(chunk)
	}
	return r
}

// slowEase is the part of its usual fetches at which a box no longer counts on
// getting a chunk in time: its link is slow, and the next box in the order takes
// over what it does not have yet.
const slowEase = 0.5

// ask asks those ahead of this box whether they look after a chunk.
func (t *Transfer) ask(ctx context.Context, a Action) {
	const least, most, chunks = 400 * time.Millisecond, 2 * time.Second, 16
	ctx, cancel := context.WithTimeout(ctx, max(least, min(most, chunks*t.plan.PerChunk)))
	defer cancel()
	addrs := map[string]string{}
	for _, m := range t.Members() {
		addrs[m.Name] = m.Addr
	}
	replies := make(chan AskReply, len(a.Ask))
	for _, name := range a.Ask {
		go func() { replies <- t.askOne(ctx, addrs[name], a.Chunk) }()
	}
	some, ahead := false, false
	for range a.Ask {
		r := <-replies
		some = some || r.Has || r.Getting
		ahead = ahead || r.Ahead
	}
	if !some && !ahead {
		t.Exchange.event(EventTurn, 0)
	}
	t.mu.Lock()
	if ahead && !some {
		t.plan.AskedAhead(time.Now(), a.Chunk)
	} else {
		t.plan.Asked(time.Now(), a.Chunk, some)
	}
	t.mu.Unlock()
	t.happened()
}

// askOne returns the zero reply where there is none.
func (t *Transfer) askOne(ctx context.Context, addr string, chunk int) AskReply {
	c, err := t.Exchange.Pool.Get(ctx, addr)
	if err != nil {
		return AskReply{}
	}
	m, err := c.Call(ctx, &Ask{Artifact: t.Artifact, Chunk: chunk})
	r, ok := m.(*AskReply)
	if err != nil || !ok {
		return AskReply{}
	}
	return *r
}
