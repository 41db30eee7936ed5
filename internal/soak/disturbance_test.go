package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// disturb does one piece of planned work, or silences a link, drawn at random.
func (s *soak) disturb(wg *sync.WaitGroup) {
	r := s.rand
	g := s.gateways[r.IntN(len(s.gateways))]
	pause := time.Duration(r.IntN(600)) * time.Millisecond
	begin := func(name string, do func()) {
		s.disturbances = append(s.disturbances, name)
		wg.Go(do)
	}
	const faultShare = 0.3
	if s.withFaults && r.Float64() < faultShare {
		s.drawFault(g, pause, begin)
		return
	}
	switch r.IntN(16) {
	case 0, 1:
		s.configVersion++
		cfg := s.config()
		begin("config", func() { s.store.Put("op/config", cfg) })
	case 2:
		s.target++
		v := s.target
		begin("version", func() {
			s.origin.Newest.Store(v)
			s.store.Put("op/version/m", platformtest.Body{"model": "m", "version": v})
		})
	case 3, 4:
		begin("reload all", func() {
			for _, g := range s.gateways {
				g.signal(syscall.SIGHUP)
			}
		})
	case 5, 6, 7, 8:
		repeated, reload := r.IntN(2) == 0, r.IntN(2) == 0
		begin(fmt.Sprintf("roll %s repeated=%v reload=%v", g.name, repeated, reload), func() { s.roll(g, pause, repeated, reload) })
	case 9:
		a := s.agents[r.IntN(len(s.agents))]
		begin("restart "+a.name, func() {
			if err := a.stop(grace); err != nil && !a.neverRan() {
				s.violate("%s ended: %v: %s", a.name, err, a.log.String())
			}
			a.start()
		})
	default:
		if len(s.links) == 0 {
			return
		}
		const minStall = 300 * time.Millisecond
		p := s.links[r.IntN(len(s.links))]
		begin("silence", func() {
			p.stall()
			time.Sleep(minStall + 2*pause)
			p.resume()
		})
	}
}

// drawFault begins one fault, drawn at random.
func (s *soak) drawFault(g *gateway, pause time.Duration, begin func(name string, do func())) {
	switch s.rand.IntN(4) {
	case 0:
		begin("kill "+g.name, func() {
			if !s.beginRoll(g) {
				return
			}
			defer s.endRoll(g)
			g.kill()
			time.Sleep(pause)
			g.start()
		})
	case 1:
		begin("pause "+g.name, func() {
			g.signal(syscall.SIGSTOP)
			time.Sleep(4 * pause)
			g.signal(syscall.SIGCONT)
		})
	case 2:
		if len(s.links) == 0 {
			return
		}
		p := s.links[s.rand.IntN(len(s.links))]
		begin("reset", p.cut)
	default:
		begin("store refuses", func() {
			s.store.Refuse(503)
			time.Sleep(4 * pause)
			s.store.Refuse(0)
		})
	}
}

// roll stops a gateway as the platform does, possibly with further signals, and starts it again.
func (s *soak) roll(g *gateway, pause time.Duration, repeated, reload bool) {
	if !s.beginRoll(g) {
		return
	}
	defer s.endRoll(g)
	time.AfterFunc(pause, func() {
		if repeated {
			g.signal(syscall.SIGTERM)
		}
		if reload {
			g.signal(syscall.SIGHUP)
		}
	})
	err := g.stop(grace)
	if !s.withFaults {
		if err != nil && !g.neverRan() {
			s.violate("%s ended: %v: %s", g.name, err, g.log.String())
		}
		for _, line := range g.lines("request_cut") {
			s.violate("%s", line)
		}
	}
	g.start()
}

// beginRoll reports whether the gateway may be rolled: not too many are being rolled, and it is
// not one of them.
func (s *soak) beginRoll(g *gateway) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rolling) >= maxRolling || slices.Contains(s.rolling, g) {
		return false
	}
	s.rolling = append(s.rolling, g)
	return true
}

func (s *soak) endRoll(g *gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolling = slices.DeleteFunc(s.rolling, func(o *gateway) bool { return o == g })
}
