package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/route"
)

// A new request is admitted if its answer is likely to be in time; a retry is admitted only
// with a shorter predicted queue wait.
func TestAdmits(t *testing.T) {
	const aim = 400 * time.Millisecond
	engine := fleet.Upstream{Engine: true}
	cases := []struct {
		name    string
		aim     time.Duration
		attempt admission.Attempt
		to      route.Choice
		want    bool
	}{
		{"new request, short wait", aim, admission.FirstAttempt, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, true},
		{"new request, wait too long", aim, admission.FirstAttempt, route.Choice{Upstream: engine, QueueWait: 300 * time.Millisecond}, false},
		{"retry, short wait", aim, admission.RetriedOnTime, route.Choice{Upstream: engine, QueueWait: 150 * time.Millisecond}, true},
		{"retry, wait allowed only for a new request", aim, admission.RetriedOnTime, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, false},
		{"early retry, wait allowed only for a new request", aim, admission.RetriedEarly, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, false},
		{"plain service", aim, admission.RetriedOnTime, route.Choice{QueueWait: time.Second}, true},
		{"route without a latency target", 0, admission.RetriedOnTime, route.Choice{Upstream: engine, QueueWait: time.Second}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rq := &request{route: &config.Route{TargetLatency: tc.aim}, attempt: tc.attempt}
			is.New(t).Equal(admits(rq, tc.to), tc.want)
		})
	}
}
