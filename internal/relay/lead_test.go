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

// watching returns the gateways that watch the platform.
func (w *world) watching() (out []int) {
	for i, g := range w.gateways {
		if g.Status().Watching {
			out = append(out, i)
		}
	}
	return out
}

// begin adds gateways in three halls and lets them find one another.
func (w *world) begin(gateways int) {
	w.halls = 3
	for i := range gateways {
		w.addGateway(i, w.store)
	}
	time.Sleep(4 * time.Second)
	w.store.Put("servers/p0", w.replicas[0].Record("ready")) // Ends the watches of the start.
	time.Sleep(3 * time.Second)
}

// Halls that reach each other have one gateway that watches the platform: a change costs
// one call and not one for each hall, and is in force at all at once.
func TestOneGatewayOfAllHallsWatches(t *testing.T) {
	const gateways, changes = 15, 20
	run(t, 0, plain(1), func(is *is.I, w *world) {
		w.begin(gateways)
		is.Equal(len(w.watching()), 1)
		before := w.store.Calls()
		for range changes {
			w.store.Put("servers/p0", w.replicas[0].Record("ready"))
			time.Sleep(200 * time.Millisecond)
		}
		is.True(w.store.Calls()-before <= changes*3/2+16) // Some 39: four checks a second.

		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(500 * time.Millisecond) // The watch pauses for 0.15 s after a change, and each of two that pass it on for up to 0.1 s.
		for i := range w.gateways {
			is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
		}
	})
}

// When the gateway that watches for all is gone, another one does, and a change made
// meanwhile is in force within two seconds.
func TestAnotherWatchesForAllHalls(t *testing.T) {
	for _, gateways := range []int{9, 40} {
		run(t, 0, plain(1), func(is *is.I, w *world) {
			w.begin(gateways)
			first := w.watching()
			is.Equal(len(first), 1)
			w.stops[first[0]]()
			w.store.Put("op/config", withoutSafe(2))
			time.Sleep(2 * time.Second)
			for i := range w.gateways {
				if i != first[0] {
					is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
				}
			}
			w.store.Put("servers/p0", w.replicas[0].Record("ready")) // Ends the watches that began meanwhile.
			time.Sleep(3 * time.Second)
			others := slices.DeleteFunc(w.watching(), func(i int) bool { return i == first[0] })
			is.Equal(len(others), 1)
		})
	}
}

// Halls that lose each other each have one that watches: a change is in force in all of
// them within two seconds.
func TestHallsThatAreCutOffWatchForThemselves(t *testing.T) {
	const gateways = 9
	run(t, 0, plain(1), func(is *is.I, w *world) {
		w.begin(gateways)
		for i := range gateways {
			for j := range i {
				if w.hallOf(i) != w.hallOf(j) {
					w.net.Stall(gatewayAddr(i), gatewayAddr(j), true)
				}
			}
		}
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range w.gateways {
			is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
		}
		halls := map[string]bool{}
		for _, i := range w.watching() {
			halls[w.hallOf(i)] = true
		}
		is.Equal(len(halls), 3)
		for i := range gateways {
			for j := range i {
				w.net.Stall(gatewayAddr(i), gatewayAddr(j), false)
			}
		}
	})
}

// The gateway that watches for all hears nothing on its watch, and the platform turns its
// other calls away: a change is in force at all within two seconds nevertheless.
func TestWatcherThatIsTurnedAway(t *testing.T) {
	const gateways = 6
	run(t, 0, plain(1), func(is *is.I, w *world) {
		w.halls = 3
		var away [gateways]atomic.Bool
		for i := range gateways {
			w.addGateway(i, w.storeUnless(&away[i]))
		}
		time.Sleep(4 * time.Second)
		version := 1
		for range 20 {
			w.store.Put("servers/p0", w.replicas[0].Record("ready")) // Ends the watches that are there.
			time.Sleep(time.Second)
			for _, i := range w.watching() {
				away[i].Store(true)
			}
			w.store.SuspendWatches(true)
			version++
			w.store.Put("op/config", withoutSafe(version))
			time.Sleep(2 * time.Second)
			for i := range w.gateways {
				is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
			}
			w.store.SuspendWatches(false)
			for i := range away {
				away[i].Store(false)
			}
			version++
			w.store.Put("op/config", config(version))
			time.Sleep(2 * time.Second)
		}
	})
}

// What one gateway finds by a check, while no watch tells of it, all have at once.
func TestWhatACheckFindsIsPassedOn(t *testing.T) {
	const gateways = 9
	run(t, 0, plain(1), func(is *is.I, w *world) {
		w.begin(gateways)
		for version := 2; version < 12; version++ {
			w.store.SuspendWatches(true)
			w.store.Put("op/config", platformtest.Config(version))
			revision := w.gateways[0].Status().Revision
			newer := func(g *relay.Relay) bool { return g.Status().Revision > revision }
			for !slices.ContainsFunc(w.gateways, newer) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(250 * time.Millisecond) // Two hops; the next announcement is up to 0.5 s away.
			for _, g := range w.gateways {
				is.True(newer(g))
			}
			w.store.SuspendWatches(false)
			time.Sleep(2 * time.Second)
		}
	})
}

// Users saw requests begin on a version of which the time was over, on days at size. The
// gateway that watches for all halls is lost as a newer version is named. The standby
// gateways find out by their checks, but then read all records, which takes a second and
// more where there are many. Before they have them another gateway has taken the watch
// over. It is told of the naming at once, took it to be of that moment, and told all
// others so, whose own reading came too late. The evidence: a gateway's lines
// "store_changed at=18 since=17 records=1" 1.3 s after the naming and before any
// "store_watch_behind", and requests of 34 gateways that begin until 8.5 s after it, on a
// day with 51 gateways and 310 KB of records; with 24 KB the checks came first, and no
// request was late.
func TestNamingIsNotOfWhenTheWatchIsTakenOver(t *testing.T) {
	const gateways, readAll = 6, 1500 * time.Millisecond
	const fills, waits = 5500 * time.Millisecond, 7500 * time.Millisecond // After the naming.
	rs := engines(1, 54)                                                  // What fills its slot ends 8.2 s after the naming.
	rs[0].Slots = 1
	run(t, 0, rs, func(is *is.I, w *world) {
		w.halls = 3
		slow := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/kv-range") {
				time.Sleep(readAll)
			}
			w.store.ServeHTTP(rw, r)
		})
		for i := range gateways {
			w.addGateway(i, slow)
		}
		time.Sleep(6 * time.Second)
		w.store.Put("servers/e0", w.replicas[0].Record("ready")) // Ends the watches of the start.
		time.Sleep(3 * time.Second)
		first := w.watching()
		is.Equal(len(first), 1)
		w.agents(held)
		go w.stops[first[0]]()
		time.Sleep(10 * time.Millisecond) // Its watch is over.
		named := time.Now()
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		ask := func(gateway int, id string) {
			go w.askWith(context.Background(), gateway, "POST", "/s/", map[string]string{"X-Attempt-Id": id})
		}
		lives := (first[0] + 1) % gateways
		time.Sleep(time.Until(named.Add(fills)))
		ask(lives, "fills")
		time.Sleep(time.Until(named.Add(waits)))
		is.Equal(rs[0].RequestCount(), 1)
		for i := range w.gateways {
			if i != first[0] {
				ask(i, fmt.Sprint("waits at ", i))
			}
		}
		time.Sleep(versionWithin)
		is.Equal(beganLate(rs, named), nil)
	})
}

// All gateways give a version the same time, whoever told them of the naming: they ask how
// old it is. Without that the ones that do not watch would take it to be as old as may be,
// a second and more, and leave the replicas that hold the version so much sooner.
func TestNamingHasTheSameTimeEverywhere(t *testing.T) {
	const gateways, within = 6, 6350 * time.Millisecond // Of eight seconds, less the margins and the time between two checks.
	run(t, 0, engines(2, 2), func(is *is.I, w *world) {
		w.halls = 3
		for i := range gateways {
			w.addGateway(i, w.store)
		}
		time.Sleep(6 * time.Second)
		w.agents(held)
		named := time.Now()
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(time.Until(named.Add(within)))
		var wg sync.WaitGroup
		statuses := make([]int, len(w.gateways))
		for i := range w.gateways {
			wg.Go(func() { statuses[i] = w.ask(i, "POST", "/s/", nil).status })
		}
		wg.Wait()
		for _, status := range statuses {
			is.Equal(status, http.StatusOK)
		}
		time.Sleep(time.Until(named.Add(versionWithin - 500*time.Millisecond)))
		for i := range w.gateways {
			is.Equal(w.ask(i, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		}
	})
}
