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

// Whatever the order in which agents hear of gateways, those of a hall with few agents
// agree on two of the hall to tell; the two can carry what they are told, since agents of
// large halls are spread.
func TestAgentsAgreeOnTheirCollectors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		halls := rapid.IntRange(1, 5).Draw(t, "halls")
		agents := rapid.IntRange(1, 600).Draw(t, "agents")
		var gateways []Member
		for i := range rapid.IntRange(tellHall+1, 120).Draw(t, "gateways") {
			gateways = append(gateways, Member{Name: fmt.Sprint(i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Hall: fmt.Sprintf("h%d", i%halls)})
		}
		told := map[string]int{}
		for i := range agents {
			rand.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
			known, tell := GatewaysFor(fmt.Sprint("agent", i), "h0", agents, gateways)
			is.Equal(tell, collectors)
			is.True(len(known) <= knownHere+knownElsewhere)
			seen := map[string]bool{}
			for place, g := range known {
				is.True(!seen[g.Addr]) // Each is named once.
				seen[g.Addr] = true
				is.True(place == 0 || known[place-1].Hall == "h0" || g.Hall != "h0") // Own ones go first.
			}
			for _, g := range known[:tell] {
				told[g.Addr]++
			}
		}
		here := len(CollectorOrder("h0", gateways))
		groups := (agents + agentsEach - 1) / agentsEach
		if here >= collectors {
			is.True(len(told) <= collectors*groups)
		}
		if groups == 1 && here >= collectors {
			is.Equal(len(told), collectors)
		}
	})
}

// With few gateways each is told by every agent itself.
func TestFewGatewaysAreAllTold(t *testing.T) {
	is := is.New(t)
	var gateways []Member
	for i := range tellAll {
		gateways = append(gateways, Member{Addr: fmt.Sprint(i), Hall: "h0"})
	}
	known, tell := GatewaysFor("agent", "h1", 500, gateways)
	is.Equal(known, gateways)
	is.Equal(tell, 0)
}

// With some more, those of an agent's hall are told and a few others.
func TestGatewaysOfTheHallAreTold(t *testing.T) {
	is := is.New(t)
	var gateways []Member
	for i := range 40 {
		gateways = append(gateways, Member{Addr: fmt.Sprint(i), Hall: fmt.Sprintf("h%d", i%4)})
	}
	known, tell := GatewaysFor("agent", "h1", 500, gateways)
	is.Equal(tell, 0)
	is.Equal(len(known), 10+tellFar)
	for _, g := range known[:10] {
		is.Equal(g.Hall, "h1")
	}
}
