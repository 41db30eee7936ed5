package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// Requests that wait since the only region in which they may be served is full must not hold up
// those that may be served elsewhere, where there is room.
func TestWaitingRequestsOfARegionDoNotHoldUpOthers(t *testing.T) {
	replicas := engines(2, 1)
	for i, r := range replicas {
		r.Hall, r.Addr = fmt.Sprintf("h%d", 1+i), fmt.Sprintf("10.1.%d.1:80", i)
	}
	runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		c := config(2)
		c["tenants"] = []platformtest.Body{
			{"name": "t", "api_keys": []string{"k"}},
			{"name": "local", "api_keys": []string{"l"}, "regions_allowed": []string{"r1"}},
		}
		cl.store.Put("op/config", c)
		cl.sendReports(0, func() (all []peers.Status) {
			for i, r := range replicas {
				all = append(all, peers.Status{Addr: r.Addr, Hall: r.Hall, Model: "m", Version: 1, Reached: true, Queued: busy * (1 - i)})
			}
			return all
		})
		time.Sleep(4 * time.Second)
		var wg sync.WaitGroup
		var local, others atomic.Int64
		const each = 40
		for i := range each {
			wg.Go(func() {
				h := map[string]string{"Authorization": "Bearer l", "X-Attempt-Id": fmt.Sprint("l", i)}
				if cl.send(0, "POST", "/s/", h).status == http.StatusOK {
					local.Add(1)
				}
			})
			wg.Go(func() {
				if cl.send(0, "POST", "/s/", map[string]string{"X-Attempt-Id": fmt.Sprint("t", i)}).status == http.StatusOK {
					others.Add(1)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		is.Equal(local.Load(), int64(0))
		is.Equal(others.Load(), int64(each))
	})
}
