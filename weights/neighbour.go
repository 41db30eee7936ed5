package weights

import (
	"context"
	"time"

	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// lookEvery is how often the neighbours are compared with the members.
const lookEvery = time.Second

// keepNeighbours holds a session with each box that the strategy names.
func (t *Transfer) keepNeighbours(ctx context.Context) {
	var dialling kernel.WorkerSet[Member]
	defer dialling.Stop()
	var last []string
	for ctx.Err() == nil {
		members := t.Members()
		if names := memberNames(members); !equalNames(names, last) {
			t.mu.Lock()
			t.plan.SetMembers(names)
			if t.Exchange.PreferHall {
				t.plan.SetHallMembers(t.near(members))
			}
			t.mu.Unlock()
			last = names
		}
		dialling.Sync(ctx, t.Exchange.Strategy.Neighbours(t.Exchange.Self, members), t.dial)
		kernel.Sleep(ctx, lookEvery)
	}
}

func equalNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// dial keeps a session with one neighbour until ctx ends. Waits between tries
// rise to a cap and differ from pair to pair.
func (t *Transfer) dial(ctx context.Context, m Member) {
	const first, most = 100 * time.Millisecond, time.Second
	spread := time.Duration(rendezvous.Score(t.Exchange.Self.Name, m.Name) % uint64(first))
	for wait := first; ctx.Err() == nil; wait = min(2*wait, most) {
		if t.join(ctx, m) {
			wait = first
		}
		kernel.Sleep(ctx, wait+spread)
	}
}

// join opens a session and serves it to its end. It reports whether one was had.
func (t *Transfer) join(ctx context.Context, m Member) bool {
	c, err := t.Exchange.Pool.Get(ctx, m.Addr)
	if err != nil {
		return false
	}
	t.mu.Lock()
	_, already := t.sessions[m.Name]
	has := t.plan.Have().Clone()
	t.mu.Unlock()
	if already {
		// The neighbour dialled us; its session serves both ends.
		kernel.Sleep(ctx, lookEvery)
		return true
	}
	s, err := c.Open(ctx, &Join{Artifact: t.Artifact, Has: has, Queue: t.Exchange.queue()})
	if err != nil {
		return false
	}
	defer s.Close()
	first, err := s.Recv(ctx)
	reply, ok := first.(*Join)
	if err != nil || !ok || reply.Artifact != t.Artifact {
		return false
	}
	t.exchangeHaves(ctx, s, m, has, reply)
	return true
}

// session serves a session that a neighbour opened.
func (t *Transfer) session(ctx context.Context, s *wire.Stream, m *Join) {
	remote := s.Conn().Remote()
	peer := Member{Name: remote.Box, Hall: remote.Hall}
	t.mu.Lock()
	has := t.plan.Have().Clone()
	t.mu.Unlock()
	if s.Send(ctx, &Join{Artifact: t.Artifact, Has: has, Queue: t.Exchange.queue()}) != nil {
		return
	}
	t.exchangeHaves(ctx, s, peer, has, m)
}

// exchangeHaves runs a session: told is what the neighbour was told already.
func (t *Transfer) exchangeHaves(ctx context.Context, s *wire.Stream, peer Member, told Bitmap, first *Join) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := &session{peer: peer, conn: s.Conn(), wake: make(chan struct{}, 1)}
	t.mu.Lock()
	if t.sessions[peer.Name] != nil {
		// Both dialled at once. Two sessions do no harm: the second only tells.
		own = nil
	} else {
		t.sessions[peer.Name] = own
		own.news = t.plan.GossipSnapshot(time.Now())
		t.plan.PeerHas(time.Now(), peer.Name, first.Has, first.Queue)
		for i := range t.plan.Chunks {
			if t.plan.Have().Has(i) && !told.Has(i) {
				own.unsent = append(own.unsent, i)
			}
		}
	}
	t.mu.Unlock()
	if own == nil {
		return
	}
	t.happened() // What the first message told is passed on with the next look.
	go t.sendHaves(ctx, s, own)
	t.receiveHaves(ctx, s, peer.Name)
	t.mu.Lock()
	delete(t.sessions, peer.Name)
	t.plan.PeerDisconnected(peer.Name)
	t.mu.Unlock()
	t.happened()
}

// sendHaves tells a neighbour what came since, at most once in a flush period.
func (t *Transfer) sendHaves(ctx context.Context, s *wire.Stream, own *session) {
	flush := orDefault(t.Exchange.FlushInterval, defaultFlush)
	for {
		t.mu.Lock()
		h := Have{Chunks: own.unsent, Gossip: own.news}
		own.unsent, own.news = nil, Gossip{}
		t.mu.Unlock()
		if len(h.Chunks) > 0 || !h.Gossip.Empty() {
			h.Queue = t.Exchange.queue()
			if s.Send(ctx, &h) != nil {
				return
			}
		}
		kernel.Sleep(ctx, flush)
		select {
		case <-own.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Transfer) receiveHaves(ctx context.Context, s *wire.Stream, peer string) {
	for {
		m, err := s.Recv(ctx)
		if err != nil {
			return
		}
		h, ok := m.(*Have)
		if !ok {
			return
		}
		t.mu.Lock()
		got := NewBitmap(t.plan.Chunks)
		for _, i := range h.Chunks {
			got.Set(i)
		}
		now := time.Now()
		t.plan.PeerHas(now, peer, got, h.Queue)
		t.plan.ApplyGossip(now, h.Gossip)
		t.tellNews(peer)
		t.mu.Unlock()
		t.happened()
	}
}
