package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restoreCases are the numbers of changes that the restored backup lacks, and that are written
// again during and after the outage of the store.
var restoreCases = []struct{ lost, duringOutage, afterOutage int }{
	{lost: 1},
	{lost: 4, afterOutage: 1},
	{lost: 4, duringOutage: 2},
	{lost: 4, duringOutage: 4},
	{lost: 4, duringOutage: 9},
	{lost: 12, duringOutage: 1, afterOutage: 3},
	{lost: 12, duringOutage: 12, afterOutage: 1},
}

// runRestoreCases runs a test after each of restoreCases, on six gateways in three halls.
func runRestoreCases(t *testing.T, test func(cl *testCluster)) {
	for _, c := range restoreCases {
		t.Run(fmt.Sprintf("%d changes lost, %d written during the outage, %d after it", c.lost, c.duringOutage, c.afterOutage), func(t *testing.T) {
			runCluster(t, 0, plainReplicas(3), func(_ *is.I, cl *testCluster) {
				cl.startHalls()
				cl.writeChanges(c.lost)
				time.Sleep(time.Second) // All gateways have received them.
				cl.store.Refuse(http.StatusServiceUnavailable)
				cl.store.RestoreFromBackup(c.lost)
				cl.writeChanges(c.duringOutage)
				time.Sleep(1500 * time.Millisecond)
				cl.store.Refuse(0)
				time.Sleep(200 * time.Millisecond)
				cl.writeChanges(c.afterOutage)
				time.Sleep(800 * time.Millisecond)
				test(cl)
			})
		})
	}
}

// startHalls starts six gateways in three halls.
func (cl *testCluster) startHalls() {
	cl.hallCount = 3
	for i := range 6 {
		cl.addGateway(i, cl.storeFor(i))
	}
	time.Sleep(3 * time.Second)
}

// withLatency adds latency to each response of a store.
func withLatency(store http.Handler) http.Handler {
	const latency = 5 * time.Millisecond
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		store.ServeHTTP(rw, r)
	})
}

// storeFor returns a handler that serves the store to a gateway; see soleStoreClient.
func (cl *testCluster) storeFor(gateway int) http.Handler {
	store := withLatency(cl.store)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if sole := cl.soleStoreClient.Load(); sole > 0 && sole != int64(gateway+1) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(rw, r)
	})
}

// writeChanges writes the entry of replica p2 n times.
func (cl *testCluster) writeChanges(n int) {
	for range n {
		cl.store.Put("servers/p2", cl.replicas[2].Record("ready"))
	}
}

func TestConfigurationThatFollowsACopyIsInForce(t *testing.T) {
	runRestoreCases(t, func(cl *testCluster) {
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range cl.gateways {
			if got := cl.send(i, "GET", "/safe/", nil).status; got != http.StatusNotFound {
				cl.t.Errorf("gateway %d: status %d for a route that has been removed", i, got)
			}
		}
	})
}

func TestChangeAtARevisionGivenOutAgainIsHeard(t *testing.T) {
	const lost = 4
	for _, following := range []int{0, lost - 1, lost, 3 * lost} {
		t.Run(fmt.Sprint(following, " changes follow"), func(t *testing.T) {
			runCluster(t, 0, plainReplicas(3), func(_ *is.I, cl *testCluster) {
				cl.startHalls()
				cl.writeChanges(lost)
				time.Sleep(time.Second)
				cl.store.Refuse(http.StatusServiceUnavailable)
				cl.store.RestoreFromBackup(lost)
				cl.store.Put("op/config", configWithoutSafe(2))
				cl.writeChanges(following)
				time.Sleep(time.Second)
				cl.store.Refuse(0)
				time.Sleep(2 * time.Second)
				for i := range cl.gateways {
					if got := cl.send(i, "GET", "/safe/", nil).status; got != http.StatusNotFound {
						cl.t.Errorf("gateway %d: status %d for a route that has been removed", i, got)
					}
				}
			})
		})
	}
}

func TestReplicaThatLeavesAfterARestoreGetsNoRequests(t *testing.T) {
	const perGateway = 8 // Requests sent to each gateway.
	runRestoreCases(t, func(cl *testCluster) {
		leaving := cl.replicas[0]
		cl.store.Put("servers/p0", leaving.Record("draining"))
		time.Sleep(2 * time.Second)
		before := leaving.RequestCount()
		for i := range cl.gateways {
			for range perGateway {
				cl.send(i, "GET", "/safe/", nil)
			}
		}
		if n := leaving.RequestCount() - before; n > 0 {
			cl.t.Errorf("%d requests reached a replica that began draining 2 s before", n)
		}
	})
}

// If the store sends no era, gateways can't determine whether the records that they read are newer
// than theirs. They must not read again and again.
func TestReadersOfACopyThatNamesNoEraPauseBetweenReads(t *testing.T) {
	runCluster(t, 0, plainReplicas(3), func(_ *is.I, cl *testCluster) {
		const seconds, maxCallsPerSecond = 5, 12 // Calls per second are counted per hall.
		cl.store.OmitEra.Store(true)
		cl.startHalls()
		cl.restoreWithout(func() { cl.writeChanges(6) })
		time.Sleep(2 * time.Second)
		calls := cl.store.Calls()
		time.Sleep(seconds * time.Second)
		if calls = cl.store.Calls() - calls; calls > seconds*maxCallsPerSecond*cl.hallCount {
			cl.t.Errorf("%d calls to the store in %d s without changes", calls, seconds)
		}
	})
}

func TestReadersPauseBetweenReadsAfterARestore(t *testing.T) {
	runRestoreCases(t, func(cl *testCluster) {
		const seconds, maxCallsPerSecond = 5, 12 // Calls per second are counted per hall.
		calls, pages := cl.store.Calls(), cl.store.PageReads()
		time.Sleep(seconds * time.Second)
		calls, pages = cl.store.Calls()-calls, cl.store.PageReads()-pages
		if calls > seconds*maxCallsPerSecond*cl.hallCount || pages > 0 {
			cl.t.Errorf("%d calls to the store, %d of them page reads, in %d s without changes", calls, pages, seconds)
		}
	})
}
