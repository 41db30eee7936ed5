package weights

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/poststand/poststand/rendezvous"
)

// corrupting flips a byte in some of the chunks that go over a connection.
func (s *sim) corrupting(nc net.Conn, from, to string) net.Conn {
	if nc == nil {
		return nil
	}
	return &flipper{Conn: nc, s: s, from: from, rnd: rand.New(rand.NewPCG(rendezvous.Score(from, to), s.seed))}
}

type flipper struct {
	net.Conn
	s    *sim
	from string
	rnd  *rand.Rand
}

func (f *flipper) Write(b []byte) (int, error) {
	const share = 0.01 / 4 // Share of parts, so that 1% of chunks are corrupt.
	f.s.mu.Lock()
	always := f.s.corrupter[f.from]
	f.s.mu.Unlock()
	if len(b) > 1<<10 && (always || f.s.faults && f.rnd.Float64() < share) {
		b = slices.Clone(b)
		b[len(b)-100] ^= 1
	}
	return f.Conn.Write(b)
}

// kill ends a box as a power failure does. The member list omits it only after a delay.
func (s *sim) kill(name string) {
	s.mu.Lock()
	b := s.boxes[name]
	s.mu.Unlock()
	b.cancel()
	s.net.Remove(name)
	const listLag = 20 * time.Second
	time.AfterFunc(listLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.members = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return m.Name == name })
	})
}

func (s *sim) causeFaults() {
	rnd := rand.New(rand.NewPCG(s.seed, 99))
	for _, i := range rnd.Perm(s.burst.boxes)[:s.burst.boxes/10] {
		time.AfterFunc(time.Duration(rnd.Int64N(int64(s.window/2))), func() { s.kill(s.name(i)) })
	}
	for i := range s.burst.boxes {
		for j := range i {
			if rnd.Float64() < 0.05 {
				time.AfterFunc(time.Duration(rnd.Int64N(int64(s.window/2))), func() { s.net.Stall(s.name(i), s.name(j), true) })
			}
		}
	}
}

func (s *sim) setOrigin(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// cutHall cuts a hall off from the other halls, or reconnects it.
func (s *sim) cutHall(hall string, cut bool) {
	for _, a := range s.listed() {
		for _, b := range s.listed() {
			if a.Hall == hall && b.Hall != hall {
				s.net.Cut(a.Name, b.Name, cut)
			}
		}
	}
}

// pause stalls all traffic of a box, as a suspended process does.
func (s *sim) pause(name string, paused bool) {
	for _, m := range s.listed() {
		if m.Name != name {
			s.net.Stall(name, m.Name, paused)
		}
	}
}

// join adds a box after the start.
func (s *sim) join(name string) {
	s.mu.Lock()
	s.members = append(slices.Clone(s.members), s.member(name))
	s.mu.Unlock()
	s.start(name)
}
