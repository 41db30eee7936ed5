package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/platform/platformtest"
)

// watchers returns the indexes of the gateways that watch the platform.
func (cl *testCluster) watchers() (out []int) {
	for i, g := range cl.gateways {
		if g.Status().Watching {
			out = append(out, i)
		}
	}
	return out
}

// startInThreeHalls adds gateways in three halls and waits until they have discovered one another.
func (cl *testCluster) startInThreeHalls(gateways int) {
	cl.hallCount = 3
	for i := range gateways {
		cl.addGateway(i, cl.store)
	}
	time.Sleep(4 * time.Second)
	cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the watches that were opened at the start.
	time.Sleep(3 * time.Second)
}

// While the halls are connected, one gateway watches the platform for all of them: a change costs
// one call instead of one for each hall, and is in force at all gateways at once.
func TestOneGatewayOfAllHallsWatches(t *testing.T) {
	const gateways, changes = 15, 20
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.startInThreeHalls(gateways)
		is.Equal(len(cl.watchers()), 1)
		before := cl.store.Calls()
		for range changes {
			cl.store.Put("servers/p0", cl.replicas[0].Record("ready"))
			time.Sleep(200 * time.Millisecond)
		}
		is.True(cl.store.Calls()-before <= changes*3/2+16) // About 39, with four checks a second.

		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(500 * time.Millisecond) // The watch pauses for 0.15 s after a change, and each of the two gateways that forward it for up to 0.1 s.
		for i := range cl.gateways {
			is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
		}
	})
}

// When the gateway that watches for all halls is lost, another one takes over, and a change made
// meanwhile is in force within two seconds.
func TestAnotherWatchesForAllHalls(t *testing.T) {
	for _, gateways := range []int{9, 40} {
		runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
			cl.startInThreeHalls(gateways)
			firstWatchers := cl.watchers()
			is.Equal(len(firstWatchers), 1)
			cl.stops[firstWatchers[0]]()
			cl.store.Put("op/config", configWithoutSafe(2))
			time.Sleep(2 * time.Second)
			for i := range cl.gateways {
				if i != firstWatchers[0] {
					is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
				}
			}
			cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the watches that were opened meanwhile.
			time.Sleep(3 * time.Second)
			others := slices.DeleteFunc(cl.watchers(), func(i int) bool { return i == firstWatchers[0] })
			is.Equal(len(others), 1)
		})
	}
}

// When the halls are cut off from one another, a gateway in each of them watches, and a change is
// in force in all halls within two seconds.
func TestHallsThatAreCutOffWatchForThemselves(t *testing.T) {
	const gateways = 9
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.startInThreeHalls(gateways)
		for i := range gateways {
			for j := range i {
				if cl.hallOf(i) != cl.hallOf(j) {
					cl.net.Stall(gatewayAddr(i), gatewayAddr(j), true)
				}
			}
		}
		cl.store.Put("op/config", configWithoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range cl.gateways {
			is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
		}
		halls := map[string]bool{}
		for _, i := range cl.watchers() {
			halls[cl.hallOf(i)] = true
		}
		is.Equal(len(halls), 3)
		for i := range gateways {
			for j := range i {
				cl.net.Stall(gatewayAddr(i), gatewayAddr(j), false)
			}
		}
	})
}

// The gateway that watches for all halls receives nothing on its watch, and the platform refuses
// its other calls. A change must be in force at all gateways within two seconds nevertheless.
func TestWatcherThatIsTurnedAway(t *testing.T) {
	const gateways = 6
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.hallCount = 3
		var unavailable [gateways]atomic.Bool
		for i := range gateways {
			cl.addGateway(i, cl.interruptibleStore(&unavailable[i]))
		}
		time.Sleep(4 * time.Second)
		version := 1
		for range 20 {
			cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the current watches.
			time.Sleep(time.Second)
			for _, i := range cl.watchers() {
				unavailable[i].Store(true)
			}
			cl.store.SuspendWatches(true)
			version++
			cl.store.Put("op/config", configWithoutSafe(version))
			time.Sleep(2 * time.Second)
			for i := range cl.gateways {
				is.Equal(cl.send(i, "GET", "/safe/", nil).status, http.StatusNotFound)
			}
			cl.store.SuspendWatches(false)
			for i := range unavailable {
				unavailable[i].Store(false)
			}
			version++
			cl.store.Put("op/config", config(version))
			time.Sleep(2 * time.Second)
		}
	})
}

// A change that one gateway finds by a check, while no watch reports it, is pushed to all gateways
// at once.
func TestWhatACheckFindsIsPassedOn(t *testing.T) {
	const gateways = 9
	runCluster(t, 0, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.startInThreeHalls(gateways)
		for version := 2; version < 12; version++ {
			cl.store.SuspendWatches(true)
			cl.store.Put("op/config", platformtest.Config(version))
			revision := cl.gateways[0].Status().Revision
			newer := func(g *relay.Relay) bool { return g.Status().Revision > revision }
			for !slices.ContainsFunc(cl.gateways, newer) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(250 * time.Millisecond) // Enough for two hops; the next announcement may be up to 0.5 s away.
			for _, g := range cl.gateways {
				is.True(newer(g))
			}
			cl.store.SuspendWatches(false)
			time.Sleep(2 * time.Second)
		}
	})
}

// The gateway that watches for all halls is lost when the target version changes. The standby
// gateways find the change by their checks, but then read all records, which takes a second or
// more if there are many. Before they finish, another gateway takes over the watch and receives
// the change at once. It must not date the change by its arrival: it would pass that time on to
// all others, and requests would start on the older version after its deadline. With 51 gateways
// and 310 KB of records, gateways logged "store_changed at=18 since=17 records=1" 1.3 s after the
// change and before any "store_watch_behind", and requests of 34 gateways started on the older
// version until 8.5 s after the change. With 24 KB the checks came first, and no request was late.
func TestNamingIsNotOfWhenTheWatchIsTakenOver(t *testing.T) {
	const gateways, readAll = 6, 1500 * time.Millisecond
	const fillAt, queueAt = 5500 * time.Millisecond, 7500 * time.Millisecond // After the change.
	rs := engines(1, 54)                                                     // The stream that fills its slot ends 8.2 s after the change.
	rs[0].Slots = 1
	runCluster(t, 0, rs, func(is *is.I, cl *testCluster) {
		cl.hallCount = 3
		slowStore := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/kv-range") {
				time.Sleep(readAll)
			}
			cl.store.ServeHTTP(rw, r)
		})
		for i := range gateways {
			cl.addGateway(i, slowStore)
		}
		time.Sleep(6 * time.Second)
		cl.store.Put("servers/e0", cl.replicas[0].Record("ready")) // Ends the watches that were opened at the start.
		time.Sleep(3 * time.Second)
		firstWatchers := cl.watchers()
		is.Equal(len(firstWatchers), 1)
		cl.startAgents(actualVersion)
		go cl.stops[firstWatchers[0]]()
		time.Sleep(10 * time.Millisecond) // Its watch has been closed.
		supersededAt := time.Now()
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		send := func(gateway int, id string) {
			go cl.sendContext(context.Background(), gateway, "POST", "/s/", map[string]string{"X-Attempt-Id": id})
		}
		survivor := (firstWatchers[0] + 1) % gateways
		time.Sleep(time.Until(supersededAt.Add(fillAt)))
		send(survivor, "fills")
		time.Sleep(time.Until(supersededAt.Add(queueAt)))
		is.Equal(rs[0].RequestCount(), 1)
		for i := range cl.gateways {
			if i != firstWatchers[0] {
				send(i, fmt.Sprint("waits at ", i))
			}
		}
		time.Sleep(versionWithin)
		is.Equal(startedLate(rs, supersededAt), nil)
	})
}

// All gateways apply the same deadline to a superseded version, from whichever gateway they
// received the change: they request its age. Otherwise the gateways that do not watch would
// assume the greatest possible age, a second or more, and stop using the replicas with that
// version too early.
func TestNamingHasTheSameTimeEverywhere(t *testing.T) {
	const gateways, lastStart = 6, 6350 * time.Millisecond // Eight seconds, less the margins and the interval of checks.
	runCluster(t, 0, engines(2, 2), func(is *is.I, cl *testCluster) {
		cl.hallCount = 3
		for i := range gateways {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(6 * time.Second)
		cl.startAgents(actualVersion)
		supersededAt := time.Now()
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(time.Until(supersededAt.Add(lastStart)))
		var wg sync.WaitGroup
		statuses := make([]int, len(cl.gateways))
		for i := range cl.gateways {
			wg.Go(func() { statuses[i] = cl.send(i, "POST", "/s/", nil).status })
		}
		wg.Wait()
		for _, status := range statuses {
			is.Equal(status, http.StatusOK)
		}
		time.Sleep(time.Until(supersededAt.Add(versionWithin - 500*time.Millisecond)))
		for i := range cl.gateways {
			is.Equal(cl.send(i, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		}
	})
}
