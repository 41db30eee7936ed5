package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
)

// The places of a rank depend on how many ranks of the same service are more urgent, not on its
// number: a service with one rank has all places for it.
func TestMoreUrgentRanks(t *testing.T) {
	route := func(priority int, services ...string) config.Route {
		r := config.Route{Priority: priority, Services: map[string]int{}}
		for _, s := range services {
			r.Services[s] = 1
		}
		return r
	}
	c := &config.Config{Routes: map[string]config.Route{
		"chat": route(1, "llm"), "chat2": route(1, "llm"), "batch": route(7, "llm", "other"), "mid": route(4, "llm"),
	}}
	for _, tc := range []struct {
		name    string
		service string
		rank    int
		want    int
	}{
		{"most urgent", "llm", 1, 0},
		{"next", "llm", 4, 1},
		{"least urgent", "llm", 7, 2},
		{"the only rank of a service", "other", 7, 0},
		{"rank of an organisation, more urgent than all", "llm", 0, 0},
		{"rank of an organisation, in between", "llm", 5, 2},
		{"rank of an organisation, less urgent than all", "llm", 9, 3},
		{"service without routes", "none", 5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(moreUrgentRanks(c, tc.service, tc.rank), tc.want) })
	}
}
