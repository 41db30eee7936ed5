package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/route"
)

// A request is admitted if its answer is likely to be in time; the wait allowed is that of its
// rank among all routes to the service, and of its attempt. Nothing is refused for a plain
// service, or one whose routes have no latency target.
func TestAdmits(t *testing.T) {
	const target = 400 * time.Millisecond
	engine := fleet.Upstream{Engine: true}
	cases := []struct {
		name    string
		target  time.Duration // Of the route of rank 1; that of rank 2 is twice as long.
		rank    int
		attempt admission.Attempt
		to      route.Choice
		want    bool
	}{
		{"new request, short wait", target, 1, admission.FirstAttempt, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, true},
		{"new request, wait too long", target, 1, admission.FirstAttempt, route.Choice{Upstream: engine, QueueWait: 300 * time.Millisecond}, false},
		{"less urgent request, wait allowed only for an urgent one", target, 2, admission.FirstAttempt, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, false},
		{"early retry, short wait", target, 1, admission.RetriedEarly, route.Choice{Upstream: engine, QueueWait: 150 * time.Millisecond}, true},
		{"early retry, wait allowed only for a new request", target, 1, admission.RetriedEarly, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, false},
		{"retry on time, wait too long for a new request", target, 1, admission.RetriedOnTime, route.Choice{Upstream: engine, QueueWait: 290 * time.Millisecond}, true},
		{"plain replica", target, 1, admission.FirstAttempt, route.Choice{QueueWait: time.Second}, true},
		{"routes without a latency target", 0, 1, admission.FirstAttempt, route.Choice{Upstream: engine, QueueWait: time.Second}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			services := map[string]int{"llm": 1}
			cfg := &config.Config{
				Routes: map[string]config.Route{
					"r1": {TargetLatency: tc.target, Priority: 1, Services: services},
					"r2": {TargetLatency: 2 * tc.target, Priority: 2, Services: services},
				},
				Services: map[string]config.Service{"llm": {Model: "m"}},
			}
			rq := &request{
				route: &config.Route{TargetLatency: tc.target}, rank: tc.rank, attempt: tc.attempt, service: "llm",
				catalog: &catalog.Catalog{Config: cfg}, arrivedAt: now, deadline: now.Add(time.Minute),
			}
			is.New(t).Equal((&Relay{}).admits(now, rq, tc.to), tc.want)
		})
	}
}

// A plain service is never subject to admission, whatever the targets of its routes.
func TestAdmissionServices(t *testing.T) {
	is := is.New(t)
	got := admissionServices(&config.Config{
		Routes: map[string]config.Route{
			"r1": {TargetLatency: time.Second, Priority: 1, Services: map[string]int{"llm": 1, "api": 1}},
			"r2": {TargetLatency: time.Minute, Priority: 0, Services: map[string]int{"llm": 1}},
		},
		Services: map[string]config.Service{"llm": {Model: "m"}, "api": {}},
	})
	is.Equal(got, map[string]admission.Service{"llm": {Target: time.Second, Ranks: []int{0, 1}}})
}
