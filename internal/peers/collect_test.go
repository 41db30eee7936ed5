package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Agents learn of gateways in any order. Those of a hall with few agents must agree on the
// same two collectors in the hall; those of a large hall are spread over more collectors, so
// that each can carry its share.
func TestAgentsAgreeOnTheirCollectors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		halls := rapid.IntRange(1, 5).Draw(t, "halls")
		agents := rapid.IntRange(1, 600).Draw(t, "agents")
		var gateways []Member
		for i := range rapid.IntRange(hallMeshLimit+1, 120).Draw(t, "gateways") {
			gateways = append(gateways, Member{Name: fmt.Sprint(i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Hall: fmt.Sprintf("h%d", i%halls)})
		}
		collectors := map[string]int{}
		for i := range agents {
			rand.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
			candidates, targets := GatewaysFor(fmt.Sprint("agent", i), "h0", agents, gateways)
			is.Equal(targets, collectorsPerAgent)
			is.True(len(candidates) <= localCandidates+remoteCandidates)
			seen := map[string]bool{}
			for i, g := range candidates {
				is.True(!seen[g.Addr]) // Each is listed once.
				seen[g.Addr] = true
				is.True(i == 0 || candidates[i-1].Hall == "h0" || g.Hall != "h0") // Gateways of the own hall go first.
			}
			for _, g := range candidates[:targets] {
				collectors[g.Addr]++
			}
		}
		local := len(CollectorOrder("h0", gateways))
		groups := (agents + agentsPerGroup - 1) / agentsPerGroup
		if local >= collectorsPerAgent {
			is.True(len(collectors) <= collectorsPerAgent*groups)
		}
		if groups == 1 && local >= collectorsPerAgent {
			is.Equal(len(collectors), collectorsPerAgent)
		}
	})
}

// With few gateways, each agent reports to all of them.
func TestAgentReportsToAllOfFewGateways(t *testing.T) {
	is := is.New(t)
	var gateways []Member
	for i := range meshLimit {
		gateways = append(gateways, Member{Addr: fmt.Sprint(i), Hall: "h0"})
	}
	candidates, targets := GatewaysFor("agent", "h1", 500, gateways)
	is.Equal(candidates, gateways)
	is.Equal(targets, 0)
}

// With more gateways, an agent reports to those of its hall and a few others.
func TestAgentReportsToItsHallAndSomeOthers(t *testing.T) {
	is := is.New(t)
	var gateways []Member
	for i := range 40 {
		gateways = append(gateways, Member{Addr: fmt.Sprint(i), Hall: fmt.Sprintf("h%d", i%4)})
	}
	candidates, targets := GatewaysFor("agent", "h1", 500, gateways)
	is.Equal(targets, 0)
	is.Equal(len(candidates), 10+remoteTargets)
	for _, g := range candidates[:10] {
		is.Equal(g.Hall, "h1")
	}
}
