package config

import (
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/rendezvous"
)

// Placement assigns boxes to services.
type Placement struct {
	ByBox     map[string]string   // The service of each box that is assigned to one.
	ByService map[string][]string // The boxes of each service, by hall and rank.
	Shortfall map[string]int      // Number of replicas without a box, by "service/hall".
}

// Place computes the placement for a configuration and the boxes of the fleet list. It is
// pure. Boxes are assigned to services in the order of the services' names; a box serves
// at most one. A leaving box is not assigned, so its successor starts to load while the
// leaving box still finishes its running requests.
func Place(cfg *Config, boxes map[string]fleet.Box) *Placement {
	p := &Placement{ByBox: map[string]string{}, ByService: map[string][]string{}, Shortfall: map[string]int{}}
	free := map[[2]string][]string{}
	for _, b := range fleet.Live(boxes) {
		key := [2]string{b.Hall, b.Class}
		free[key] = append(free[key], b.Name)
	}
	for _, name := range sortedKeys(cfg.Services) {
		s := cfg.Services[name]
		for _, hall := range sortedKeys(s.Replicas) {
			key := [2]string{hall, s.Boxes}
			ranked := rendezvous.Rank(name, free[key])
			n := min(s.Replicas[hall], len(ranked))
			p.assign(name, ranked[:n])
			free[key] = ranked[n:]
			if short := s.Replicas[hall] - n; short > 0 {
				p.Shortfall[name+"/"+hall] = short
			}
		}
	}
	return p
}

func (p *Placement) assign(service string, boxes []string) {
	p.ByService[service] = append(p.ByService[service], boxes...)
	for _, b := range boxes {
		p.ByBox[b] = service
	}
}
