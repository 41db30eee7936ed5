package peers

import (
	"context"
	"sync"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/wire"
)

// Capabilities lists what the sender supports beyond its protocol version. It is answered by
// the receiver's own; builds that do not know the message refuse it.
type Capabilities struct {
	Eras bool // Positions with an era. If false, positions are sent as revisions only.
}

// maxCapabilities bounds the processes whose capabilities are remembered.
const maxCapabilities = 8192

// capabilityCache holds the capabilities of other processes by their incarnations. The zero
// value is ready for use.
type capabilityCache struct {
	mu   sync.Mutex
	eras map[uint64]bool
}

func (s *capabilityCache) store(c *wire.Conn, m Capabilities) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eras == nil || len(s.eras) >= maxCapabilities {
		s.eras = map[uint64]bool{}
	}
	s.eras[c.Remote().Incarnation] = m.Eras
}

func (s *capabilityCache) load(c *wire.Conn) (eras, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eras, known = s.eras[c.Remote().Incarnation]
	return eras, known
}

// query reports whether the peer supports eras, and requests its capabilities if they are not
// known.
func (s *capabilityCache) query(ctx context.Context, c *wire.Conn) bool {
	if eras, known := s.load(c); known {
		return eras
	}
	m, err := ExchangeCapabilities(ctx, c)
	if err == nil || fault.Is(err, fault.Unsupported) {
		s.store(c, m)
	}
	return m.Eras
}

// ExchangeCapabilities sends this build's capabilities over a connection and returns those of
// the peer.
func ExchangeCapabilities(ctx context.Context, c *wire.Conn) (Capabilities, error) {
	m, err := c.Call(ctx, &Capabilities{Eras: true})
	if err != nil {
		return Capabilities{}, err
	}
	if s, ok := m.(*Capabilities); ok {
		return *s, nil
	}
	return Capabilities{}, fault.New(fault.Garbage, "invalid answer to a capabilities request")
}

// PositionFor returns a position in the form that the peer of a connection supports.
func (g *Gossip) PositionFor(c *wire.Conn, at mirror.Position) mirror.Position {
	if eras, _ := g.capabilities.load(c); eras {
		return at
	}
	return withoutEra(at)
}

func (g *Gossip) serveCapabilities(ctx context.Context, s *wire.Stream, m *Capabilities) {
	g.capabilities.store(s.Conn(), *m)
	_ = s.SendLast(ctx, &Capabilities{Eras: true})
}

// withoutEra returns the position to send to a build that does not support eras: it uses that
// number as a revision to watch the platform from.
func withoutEra(at mirror.Position) mirror.Position { return mirror.NewPosition(0, at.Revision()) }

func (a *Announcement) withoutEra() {
	a.At = withoutEra(a.At)
	for i := range a.ChangeAges {
		a.ChangeAges[i].Rev = withoutEra(a.ChangeAges[i].Rev)
	}
}

// deltaWithoutEra applies withoutEra to all positions of a delta.
func deltaWithoutEra(d mirror.Delta) mirror.Delta {
	d.Base, d.At = withoutEra(d.Base), withoutEra(d.At)
	d.Records = recordsWithoutEra(d.Records)
	return d
}

func recordsWithoutEra(rs []mirror.Record) []mirror.Record {
	out := make([]mirror.Record, len(rs))
	for i, r := range rs {
		r.Rev = withoutEra(r.Rev)
		if r.Earlier != nil {
			r.Earlier = recordsWithoutEra(r.Earlier)
		}
		out[i] = r
	}
	return out
}
