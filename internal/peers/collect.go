package peers

import (
	"github.com/poststand/poststand/rendezvous"
)

// With few gateways, each agent reports the status of its replica to all of them; with more,
// to those of its hall and some others. With many, that would be a full mesh of agents and
// gateways, so an agent reports to two gateways of its hall only, its collectors, which
// forward the status to the others. A forwarded status is older and predicts the load less
// well, so the mesh is used as long as its cost is acceptable. The gateway that an
// agent subscribes to computes the agent's targets, without coordination with other gateways.
const (
	meshLimit          = 12  // Up to this many gateways, an agent reports to all of them.
	hallMeshLimit      = 48  // Up to this many gateways, an agent reports to those of its hall and remoteTargets others.
	remoteTargets      = 6   // Gateways of other halls that an agent reports to.
	collectorsPerAgent = 2   // Two, so that no status is missed if one collector fails.
	agentsPerGroup     = 128 // Agents of a hall that may share the same collectors.
	localCandidates    = 8   // Gateways of its own hall that an agent is given.
	remoteCandidates   = 4   // Gateways of other halls that it is given, in case none of its own hall answers.
)

// GatewaysFor returns the gateways that an agent is given, in the order in which it should try
// them, and how many of them it reports to; zero is all of them. agents is the number of
// agents in its hall.
func GatewaysFor(agent, hall string, agents int, gateways []Member) (candidates []Member, targets int) {
	if len(gateways) <= meshLimit {
		return gateways, 0
	}
	local := CollectorOrder(hall, gateways)
	remote := rankMembers("collect/far/"+agent, inOtherHalls(hall, gateways))
	if len(gateways) <= hallMeshLimit {
		return append(local, remote[:min(remoteTargets, len(remote))]...), 0
	}
	if groups := (agents + agentsPerGroup - 1) / agentsPerGroup; groups > 1 && len(local) > 0 {
		start := collectorsPerAgent * int(rendezvous.Score("collect/group", agent)%uint64(groups)) % len(local)
		local = append(local[start:len(local):len(local)], local[:start]...)
	}
	candidates = append(candidates, local[:min(localCandidates, len(local))]...)
	candidates = append(candidates, remote[:min(remoteCandidates, len(remote))]...)
	return candidates, collectorsPerAgent
}

// CollectorOrder returns the gateways of a hall in the order in which agents of the hall and
// gateways of other halls choose them as collectors.
func CollectorOrder(hall string, gateways []Member) []Member {
	var local []Member
	for _, g := range gateways {
		if g.Hall == hall {
			local = append(local, g)
		}
	}
	return rankMembers("collect", local)
}

// inOtherHalls returns the gateways that are not in the given hall.
func inOtherHalls(hall string, gateways []Member) []Member {
	var out []Member
	for _, g := range gateways {
		if g.Hall != hall {
			out = append(out, g)
		}
	}
	return out
}

// rankMembers orders gateways by their rendezvous rank for a key, the highest first.
func rankMembers(key string, gateways []Member) []Member {
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
