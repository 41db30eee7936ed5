package weights

import (
	"context"
	"time"

	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// membersInterval is how often the sessions are adapted to the current members.
const membersInterval = time.Second

// keepNeighbours passes changes of the members to the plan, and maintains a session with each
// neighbour of the strategy.
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
				t.plan.SetHallMembers(t.hallMembers(members))
			}
			t.mu.Unlock()
			last = names
		}
		dialling.Sync(ctx, t.Exchange.Strategy.Neighbours(t.Exchange.Self, members), t.dial)
		kernel.Sleep(ctx, membersInterval)
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

// dial maintains a session with one neighbour until ctx ends. The delay between attempts grows
// up to a limit and differs from pair to pair.
func (t *Transfer) dial(ctx context.Context, m Member) {
	const first, limit = 100 * time.Millisecond, time.Second
	jitter := time.Duration(rendezvous.Score(t.Exchange.Self.Name, m.Name) % uint64(first))
	for wait := first; ctx.Err() == nil; wait = min(2*wait, limit) {
		if t.openSession(ctx, m) {
			wait = first
		}
		kernel.Sleep(ctx, wait+jitter)
	}
}

// openSession opens a session and runs it to its end. It reports whether there was a session.
func (t *Transfer) openSession(ctx context.Context, m Member) bool {
	c, err := t.Exchange.Pool.Get(ctx, m.Addr)
	if err != nil {
		return false
	}
	t.mu.Lock()
	_, already := t.sessions[m.Name]
	has := t.plan.Have().Clone()
	t.mu.Unlock()
	if already {
		// The neighbour has opened a session, which serves both ends.
		kernel.Sleep(ctx, membersInterval)
		return true
	}
	s, err := c.Open(ctx, &Join{Artifact: t.Artifact, Has: has, Queue: t.Exchange.uploadLoad()})
	if err != nil {
		return false
	}
	defer s.Close()
	first, err := s.Recv(ctx)
	reply, ok := first.(*Join)
	if err != nil || !ok || reply.Artifact != t.Artifact {
		return false
	}
	t.runSession(ctx, s, m, has, reply)
	return true
}

// acceptSession runs a session that a neighbour opened.
func (t *Transfer) acceptSession(ctx context.Context, s *wire.Stream, m *Join) {
	remote := s.Conn().Remote()
	peer := Member{Name: remote.Box, Hall: remote.Hall}
	t.mu.Lock()
	has := t.plan.Have().Clone()
	t.mu.Unlock()
	if s.Send(ctx, &Join{Artifact: t.Artifact, Has: has, Queue: t.Exchange.uploadLoad()}) != nil {
		return
	}
	t.runSession(ctx, s, peer, has, m)
}

// runSession runs a session to its end; sent is the set of chunks that the neighbour has
// already received.
func (t *Transfer) runSession(ctx context.Context, s *wire.Stream, peer Member, sent Bitmap, first *Join) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sess := &session{peer: peer, conn: s.Conn(), wake: make(chan struct{}, 1)}
	t.mu.Lock()
	if t.sessions[peer.Name] != nil {
		// Both ends dialled at the same time. The second session is harmless and is closed.
		sess = nil
	} else {
		t.sessions[peer.Name] = sess
		sess.gossip = t.plan.GossipSnapshot(time.Now())
		t.plan.PeerHas(time.Now(), peer.Name, first.Has, first.Queue)
		for i := range t.plan.Chunks {
			if t.plan.Have().Has(i) && !sent.Has(i) {
				sess.unsent = append(sess.unsent, i)
			}
		}
	}
	t.mu.Unlock()
	if sess == nil {
		return
	}
	t.notify() // Forward what the first message contained with the next step of the loop.
	go t.sendHaves(ctx, s, sess)
	t.receiveHaves(ctx, s, peer.Name)
	t.mu.Lock()
	delete(t.sessions, peer.Name)
	t.plan.PeerDisconnected(peer.Name)
	t.mu.Unlock()
	t.notify()
}

// sendHaves sends new chunks and gossip to a neighbour, at most once in a flush interval.
func (t *Transfer) sendHaves(ctx context.Context, s *wire.Stream, sess *session) {
	flush := orDefault(t.Exchange.FlushInterval, defaultFlush)
	for {
		t.mu.Lock()
		h := Have{Chunks: sess.unsent, Gossip: sess.gossip}
		sess.unsent, sess.gossip = nil, Gossip{}
		t.mu.Unlock()
		if len(h.Chunks) > 0 || !h.Gossip.Empty() {
			h.Queue = t.Exchange.uploadLoad()
			if s.Send(ctx, &h) != nil {
				return
			}
		}
		kernel.Sleep(ctx, flush)
		select {
		case <-sess.wake:
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
		t.spreadGossip(peer)
		t.mu.Unlock()
		t.notify()
	}
}
