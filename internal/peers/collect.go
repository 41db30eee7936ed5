package peers

import (
	"github.com/poststand/poststand/rendezvous"
)

// Where there are few gateways an agent tells all of them how its replica stands; with
// more, those of its hall and some others. With many that would be a mesh of all agents
// and all gateways: an agent then tells only two of its hall, its collectors, which pass
// it on to the others. What they pass on is older, which costs worth as long as the mesh
// can be borne. Each agent and each gateway works out by itself who is told.
const (
	tellAll        = 12  // With so many gateways all are told.
	tellHall       = 48  // With so many, those of the hall are
	tellFar        = 6   // and so many others.
	collectors     = 2   // Of an agent: if one goes, nothing is missed.
	agentsEach     = 128 // So many agents of a hall have the same collectors.
	knownHere      = 8   // Gateways of its hall that an agent is told of,
	knownElsewhere = 4   // and of other halls, for when none of its own answers.
)

// GatewaysFor returns the gateways that an agent is to know, those first that it should
// try first, and how many of them it tells how its replica stands: zero is all. agents
// is how many agents its hall has.
func GatewaysFor(agent, hall string, agents int, gateways []Member) (known []Member, tell int) {
	if len(gateways) <= tellAll {
		return gateways, 0
	}
	here := CollectorOrder(hall, gateways)
	there := ranked("collect/far/"+agent, elsewhere(hall, gateways))
	if len(gateways) <= tellHall {
		return append(here, there[:min(tellFar, len(there))]...), 0
	}
	if groups := (agents + agentsEach - 1) / agentsEach; groups > 1 && len(here) > 0 {
		first := collectors * int(rendezvous.Score("collect/group", agent)%uint64(groups)) % len(here)
		here = append(here[first:len(here):len(here)], here[:first]...)
	}
	known = append(known, here[:min(knownHere, len(here))]...)
	known = append(known, there[:min(knownElsewhere, len(there))]...)
	return known, collectors
}

// CollectorOrder returns the gateways of a hall in the order in which agents of the hall
// and gateways of others turn to them.
func CollectorOrder(hall string, gateways []Member) []Member {
	var here []Member
	for _, g := range gateways {
		if g.Hall == hall {
			here = append(here, g)
		}
	}
	return ranked("collect", here)
}

// elsewhere returns the gateways of other halls.
func elsewhere(hall string, gateways []Member) []Member {
	var out []Member
	for _, g := range gateways {
		if g.Hall != hall {
			out = append(out, g)
		}
	}
	return out
}

// ranked orders gateways for a key, the first choice first.
func ranked(key string, gateways []Member) []Member {
	byAddr := make(map[string]Member, len(gateways))
	addrs := make([]string, len(gateways))
	for i, g := range gateways {
		byAddr[g.Addr], addrs[i] = g, g.Addr
	}
	out := make([]Member, 0, len(gateways))
	for _, addr := range rendezvous.Rank(key, addrs) {
		out = append(out, byAddr[addr])
	}
	return out
}
