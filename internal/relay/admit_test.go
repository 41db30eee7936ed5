package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/route"
)

// A new request is let in while its answer will most likely be in time, one that comes
// back where less waits.
func TestAdmits(t *testing.T) {
	const aim = 400 * time.Millisecond
	engine := fleet.Upstream{Engine: true}
	cases := []struct {
		name    string
		aim     time.Duration
		retried bool
		to      route.Choice
		want    bool
	}{
		{"new, little ahead", aim, false, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, true},
		{"new, too much ahead", aim, false, route.Choice{Upstream: engine, QueueWait: 300 * time.Millisecond}, false},
		{"back, little ahead", aim, true, route.Choice{Upstream: engine, QueueWait: 150 * time.Millisecond}, true},
		{"back, as much as a new one may wait for", aim, true, route.Choice{Upstream: engine, QueueWait: 200 * time.Millisecond}, false},
		{"a plain service", aim, true, route.Choice{QueueWait: time.Second}, true},
		{"a route without an aim", 0, true, route.Choice{Upstream: engine, QueueWait: time.Second}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rq := &request{route: &config.Route{Aim: tc.aim}, retried: tc.retried}
			is.New(t).Equal(admits(rq, tc.to), tc.want)
		})
	}
}
