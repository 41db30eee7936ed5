package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// runHallCut runs a test on gateways of two halls in turn. Gateway 0 sees busy replicas and
// refuses requests of rank 1 until the returned function is called; the others see idle ones.
func runHallCut(t *testing.T, gateways int, test func(is *is.I, cl *testCluster, end func())) {
	runCluster(t, 0, engines(4, 1), func(_ *is.I, cl *testCluster) {
		cl.hallCount = 2
		for i := range gateways {
			cl.addGateway(i, cl.store)
		}
		cl.store.Put("op/config", platformtest.Config(2,
			platformtest.Route("urgent", "/s/", "stream", "llm", nil),
			platformtest.Route("other", "/o/", "stream", "llm", platformtest.Body{"priority": 2})))
		time.Sleep(4 * time.Second)
		var queued, idle atomic.Int64
		queued.Store(busy)
		for i := range gateways {
			if i == 0 {
				cl.reportLoad(i, &queued)
			} else {
				cl.reportLoad(i, &idle)
			}
		}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
					wg.Go(func() { cl.send(0, "POST", "/s/", map[string]string{"X-Attempt-Id": fmt.Sprint("r", i)}) })
				}
			}
		})
		end := sync.OnceFunc(func() {
			close(stop)
			wg.Wait()
		})
		time.Sleep(400 * time.Millisecond)
		test(is.NewRelaxed(cl.t), cl, end)
		end()
	})
}

// cutRefusals returns how many requests a gateway refused because more urgent ones lack room in
// its hall.
func (cl *testCluster) cutRefusals(gateway int) float64 {
	return cl.metric(gateway, `poststand_not_admitted_total{cause="cut_rank"`)
}

// Gateways with different views: one refuses requests of rank 1, and another of its hall still
// sees room. Room must go to the more urgent requests, so the other refuses rank 2, but not all
// of it: the rank is not denied a quarter of its share.
func TestGatewaysWithDifferentViewsRefuseTheSameRank(t *testing.T) {
	runHallCut(t, 4, func(is *is.I, cl *testCluster, end func()) {
		began := time.Now()
		is.Equal(cl.send(2, "POST", "/o/", nil).status, http.StatusServiceUnavailable)
		is.Equal(time.Since(began), time.Duration(0)) // There is no use in waiting.
		is.Equal(cl.cutRefusals(2), 1.0)
		is.Equal(cl.send(2, "POST", "/s/", nil).status, http.StatusOK)
		is.Equal(cl.send(2, "POST", "/o/", nil).status, http.StatusOK)
		is.Equal(cl.send(1, "POST", "/o/", nil).status, http.StatusOK) // Of the other hall.
	})
}

// A hall that is cut off from the others goes by what its own gateways refuse.
func TestCutOffHallRefusesByItself(t *testing.T) {
	runHallCut(t, 4, func(is *is.I, cl *testCluster, end func()) {
		stall := func(stalled bool) {
			for _, i := range []int{0, 2} {
				for _, j := range []int{1, 3} {
					cl.net.Stall(gatewayAddr(i), gatewayAddr(j), stalled)
				}
			}
		}
		stall(true)
		time.Sleep(3 * time.Second)
		is.Equal(cl.send(2, "POST", "/o/", nil).status, http.StatusServiceUnavailable)
		is.Equal(cl.cutRefusals(2), 1.0)
		is.Equal(cl.send(1, "POST", "/o/", nil).status, http.StatusOK)
		is.Equal(cl.send(3, "POST", "/o/", nil).status, http.StatusOK)
		stall(false)
	})
}

// What a gateway reported must not outlast it: 500 ms after its last message the others send every
// rank again.
func TestLostGatewayRefusesNothing(t *testing.T) {
	runHallCut(t, 4, func(is *is.I, cl *testCluster, end func()) {
		is.Equal(cl.send(2, "POST", "/o/", nil).status, http.StatusServiceUnavailable)
		cl.stops[0]()
		time.Sleep(500 * time.Millisecond)
		is.Equal(cl.send(2, "POST", "/o/", nil).status, http.StatusOK)
		is.Equal(cl.cutRefusals(2), 1.0)
	})
}
