package config

import (
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/rendezvous"
)

// Placement says which box serves which service.
type Placement struct {
	ByBox     map[string]string   // The service of each box that has one.
	ByService map[string][]string // The boxes of each service, by hall and rank.
	Short     map[string]int      // Replicas of "service/hall" that no box is left for.
}

// Place decides the placement for a configuration and the boxes of the fleet
// list. It is pure. Services choose in the order of their names; a box serves
// at most one. A box that leaves is not placed, so its successor starts to
// load while the leaving one still finishes what it runs.
func Place(cfg *Config, boxes map[string]fleet.Box) *Placement {
	p := &Placement{ByBox: map[string]string{}, ByService: map[string][]string{}, Short: map[string]int{}}
	free := map[[2]string][]string{}
	for _, b := range fleet.Live(boxes) {
		at := [2]string{b.Hall, b.Class}
		free[at] = append(free[at], b.Name)
	}
	for _, name := range sortedKeys(cfg.Services) {
		s := cfg.Services[name]
		for _, hall := range sortedKeys(s.Replicas) {
			at := [2]string{hall, s.Boxes}
			ranked := rendezvous.Rank(name, free[at])
			n := min(s.Replicas[hall], len(ranked))
			p.take(name, ranked[:n])
			free[at] = ranked[n:]
			if short := s.Replicas[hall] - n; short > 0 {
				p.Short[name+"/"+hall] = short
			}
		}
	}
	return p
}

func (p *Placement) take(service string, boxes []string) {
	p.ByService[service] = append(p.ByService[service], boxes...)
	for _, b := range boxes {
		p.ByBox[b] = service
	}
}
