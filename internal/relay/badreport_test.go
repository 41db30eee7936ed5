package relay_test

import (
	"math"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
)

// A report with values that cannot be right must not make a busy replica look idle.
func TestAbsurdReportsChangeNothing(t *testing.T) {
	for name, bad := range map[string]peers.Status{
		"pace not a number": {Queued: busy, Running: busy, Pace: math.NaN()},
		"infinite pace":     {Queued: busy, Running: busy, Pace: math.Inf(1)},
		"absurd pace":       {Queued: busy, Running: busy, Pace: 1e300},
		"negative queue":    {Queued: -1 << 60, Running: busy, Pace: 1},
	} {
		t.Run(name, func(t *testing.T) {
			replicas := engines(2, 1)
			runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t)
				var absurd atomic.Bool
				cl.sendReports(0, func() []peers.Status {
					first := peers.Status{Queued: busy, Running: busy, Pace: 1}
					if absurd.Load() {
						first = bad
					}
					first.Addr, first.Hall, first.Model, first.Version, first.Reached = replicas[0].Addr, replicas[0].Hall, "m", 1, true
					return []peers.Status{first, {Addr: replicas[1].Addr, Hall: replicas[1].Hall, Model: "m", Version: 1, Reached: true, Pace: 1}}
				})
				time.Sleep(time.Second)
				absurd.Store(true)
				time.Sleep(200 * time.Millisecond)
				for range 10 {
					is.Equal(cl.send(0, http.MethodPost, "/s/", nil).status, http.StatusOK)
				}
				is.Equal(replicas[0].RequestCount(), 0)
			})
		})
	}
}
