package peers

import (
	"context"
	"sync"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/wire"
)

// Capabilities tells another process what the sender understands beside what its protocol number
// says. It is answered by the other's; builds that do not know it refuse it.
type Capabilities struct {
	Eras bool // Positions that name an era. Where it is false, only their revisions are told.
}

// mostSpoken bounds the processes of which it is remembered what they understand.
const mostSpoken = 8192

// spoken is what other processes understand, by their incarnations. The zero value is ready for
// use.
type spoken struct {
	mu   sync.Mutex
	eras map[uint64]bool
}

func (s *spoken) learn(c *wire.Conn, m Capabilities) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eras == nil || len(s.eras) >= mostSpoken {
		s.eras = map[uint64]bool{}
	}
	s.eras[c.Remote().Incarnation] = m.Eras
}

func (s *spoken) knows(c *wire.Conn) (eras, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eras, known = s.eras[c.Remote().Incarnation]
	return eras, known
}

// ask returns whether the other end understands eras, and asks it where that is not known.
func (s *spoken) ask(ctx context.Context, c *wire.Conn) bool {
	if eras, known := s.knows(c); known {
		return eras
	}
	m, err := ExchangeCapabilities(ctx, c)
	if err == nil || fault.Is(err, fault.Unsupported) {
		s.learn(c, m)
	}
	return m.Eras
}

// ExchangeCapabilities tells the other end of a connection what this build understands, and returns what
// the other one does.
func ExchangeCapabilities(ctx context.Context, c *wire.Conn) (Capabilities, error) {
	m, err := c.Call(ctx, &Capabilities{Eras: true})
	if err != nil {
		return Capabilities{}, err
	}
	if s, ok := m.(*Capabilities); ok {
		return *s, nil
	}
	return Capabilities{}, fault.New(fault.Garbage, "introduction")
}

// PositionFor returns a position as the other end of a connection understands it.
func (g *Gossip) PositionFor(c *wire.Conn, at mirror.Position) mirror.Position {
	if eras, _ := g.spoken.knows(c); eras {
		return at
	}
	return withoutEra(at)
}

func (g *Gossip) serveSpeaks(ctx context.Context, s *wire.Stream, m *Capabilities) {
	g.spoken.learn(s.Conn(), *m)
	_ = s.SendLast(ctx, &Capabilities{Eras: true})
}

// withoutEra is what is told of a position to a build that knows no eras: it watches the
// platform from the number that it is told.
func withoutEra(at mirror.Position) mirror.Position { return mirror.NewPosition(0, at.Revision()) }

func (a *Announcement) withoutEra() {
	a.At = withoutEra(a.At)
	for i := range a.ChangeAges {
		a.ChangeAges[i].Rev = withoutEra(a.ChangeAges[i].Rev)
	}
}

// deltaWithoutEra is withoutEra for all positions of a delta.
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
