package relay_test

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// configWithoutSafe returns a configuration without the safe route.
func configWithoutSafe(version int) platformtest.Body {
	return platformtest.Config(version, platformtest.Route("s", "/s/", "stream", "llm", nil))
}

// A watch may receive nothing while changes are made. A configuration must be in force at every
// gateway within two seconds nevertheless.
func TestSilentWatchIsNoticed(t *testing.T) {
	runCluster(t, 4, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.store.SuspendWatches(true)
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(1500 * time.Millisecond)
		for i := range cl.gateways {
			is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
		}
		cl.store.SuspendWatches(false) // The history is deleted, and the watches are closed.
		cl.store.Put("op/config", config(3))
		time.Sleep(500 * time.Millisecond)
		for i := range cl.gateways {
			is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusOK)
		}
	})
}

// A gateway that the store refuses gets the records from the other gateways, at its start and for
// later changes.
func TestGatewayWithoutTheStoreFollowsOthers(t *testing.T) {
	runCluster(t, 2, plainReplicas(1), func(is *is.I, cl *testCluster) {
		unavailableStore := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		cl.addGateway(2, unavailableStore)
		is.True(cl.gateways[2].Ready() != nil) // It has no configuration yet.
		is.Equal(cl.send(2, "GET", "/none/", nil).status, http.StatusServiceUnavailable)
		time.Sleep(time.Second)
		is.NoErr(cl.gateways[2].Ready())
		is.Equal(cl.send(2, "GET", "/safe/", nil).status, http.StatusOK)
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(time.Second)
		is.Equal(cl.send(2, "GET", "/safe/", nil).status, http.StatusNotFound)
	})
}

// An invalid configuration leaves the last valid one in force.
func TestBadConfigurationChangesNothing(t *testing.T) {
	runCluster(t, 1, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.store.PutBytes("op/config", []byte(`{"version":`))
		cl.store.PutBytes("servers/p0", []byte(`{"service":7}`))
		time.Sleep(time.Second)
		is.Equal(cl.send(0, "GET", "/safe/", nil).status, http.StatusOK)
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(100 * time.Millisecond)
		is.Equal(cl.send(0, "GET", "/safe/", nil).status, http.StatusNotFound)
	})
}

// A gateway that starts after a change of the target version can't determine when it was made. It
// must not send requests to replicas with the older version for long.
func TestStartedGatewayDoesNotTrustAnOverdueVersion(t *testing.T) {
	runCluster(t, 1, engines(1, 2), func(is *is.I, cl *testCluster) {
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(7 * time.Second)
		cl.addGateway(1, cl.store)
		time.Sleep(3 * time.Second)
		is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
	})
}

// The retries of all gateways together stay within the budget, however many requests fail: 0.2 of
// the requests, plus 30.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rs := plainReplicas(3)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			_ = x.Conn.Close()
			return true
		}
	}
	const requests = 300
	runCluster(t, 3, rs, func(is *is.I, cl *testCluster) {
		for i := range requests {
			cl.send(i%3, "GET", "/safe/", nil)
			time.Sleep(10 * time.Millisecond)
		}
		retries := countRuns(rs) - requests
		is.True(retries > 0)
		is.True(retries <= requests/5+30)
	})
}

// The store serves only two of many gateways. All must receive each change within two seconds, and
// discover nearly all others, though each sends only a few announcements a round.
func TestManyGatewaysLearnFromAFew(t *testing.T) {
	const gateways = 14 // More than the number to which a gateway announces itself.
	runCluster(t, 2, plainReplicas(1), func(is *is.I, cl *testCluster) {
		unavailableStore := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		for i := 2; i < gateways; i++ {
			cl.addGateway(i, unavailableStore)
		}
		time.Sleep(3 * time.Second)
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range cl.gateways {
			is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
			is.True(len(cl.gateways[i].Status().Peers) > gateways*9/10)
		}
	})
}

// One gateway of a hall watches the store, and the others get the records from it, so that a change
// costs one call instead of one for each gateway. When it is lost, another one takes over, and a
// change made meanwhile is in force at all gateways within two seconds.
func TestOneGatewayOfAHallWatches(t *testing.T) {
	const gateways = 6
	runCluster(t, gateways, plainReplicas(1), func(is *is.I, cl *testCluster) {
		watchers := func() (out []int) {
			for i, g := range cl.gateways {
				if g.Status().Watching {
					out = append(out, i)
				}
			}
			return out
		}
		cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the watches that were opened at the start.
		time.Sleep(2 * time.Second)
		firstWatchers := watchers()
		is.Equal(len(firstWatchers), 1)
		const changes = 20
		before := cl.store.Calls()
		for range changes {
			cl.store.Put("servers/p0", cl.replicas[0].Record("ready"))
			time.Sleep(200 * time.Millisecond)
		}
		const checks = 20 // Four checks a second.
		is.True(cl.store.Calls()-before <= changes+checks+gateways)

		cl.stops[firstWatchers[0]]()
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range cl.gateways {
			if i != firstWatchers[0] {
				is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
			}
		}
		time.Sleep(3 * time.Second)
		others := slices.DeleteFunc(watchers(), func(i int) bool { return i == firstWatchers[0] })
		is.True(len(others) >= 1 && len(others) <= 3) // Several may begin to watch at once; the next change leaves one.
	})
}

// If the store refuses the gateway that should watch, the next one watches.
func TestNextOfAHallWatches(t *testing.T) {
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		var unavailable [3]atomic.Bool
		for i := range unavailable {
			cl.addGateway(i, cl.interruptibleStore(&unavailable[i]))
		}
		time.Sleep(2 * time.Second)
		cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the watches that were opened at the start.
		time.Sleep(2 * time.Second)
		for i, g := range cl.gateways {
			unavailable[i].Store(g.Status().Watching)
		}
		cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the watch; the next one of that gateway is refused.
		time.Sleep(3 * time.Second)
		others := 0
		for i, g := range cl.gateways {
			if g.Status().Watching && !unavailable[i].Load() {
				others++
			}
		}
		is.True(others > 0)
	})
}

// A gateway that receives a change of the target version late, from another gateway, applies the
// same deadline to the older version as that gateway, neither earlier nor later.
func TestVersionLearntLateHasTheSameTime(t *testing.T) {
	runCluster(t, 1, engines(2, 2), func(is *is.I, cl *testCluster) {
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(4 * time.Second)
		unavailableStore := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		cl.addGateway(1, unavailableStore)
		for i := range cl.gateways { // Without reports, gateways would stop using the replicas earlier.
			cl.sendReports(i, func() (all []peers.Status) {
				for _, r := range cl.replicas {
					all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: 1, Reached: true})
				}
				return all
			})
		}
		time.Sleep(2300 * time.Millisecond)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusOK) // 1.7 s are left of eight, less a margin.
		is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
		time.Sleep(1200 * time.Millisecond)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
	})
}

// All gateways start at the same time: the gateway through which the others join reads the store,
// most of the others get the records from it, and all are ready within half a second.
func TestColdStartAsksTheStoreLittle(t *testing.T) {
	const gateways = 20
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		for i := range gateways {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range cl.gateways {
			is.NoErr(g.Ready())
		}
		is.True(cl.store.PageReads() <= gateways*3/4) // By the gateway to join, and by those that draw a short start delay.
	})
}

// The gateway through which the others join starts after them: a few of the others read the store
// themselves, and all are ready soon after it has started.
func TestColdStartWithALateFirstGateway(t *testing.T) {
	const gateways, late = 40, 400 * time.Millisecond
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		for i := 1; i < gateways; i++ {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(late)
		cl.addGateway(0, cl.store)
		time.Sleep(300 * time.Millisecond)
		for _, g := range cl.gateways {
			is.NoErr(g.Ready())
		}
		is.True(cl.store.PageReads() <= gateways/2) // About six: one in eight, and the late one. It would be 40 if each read the store itself.
	})
}
