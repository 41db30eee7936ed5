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

// withoutSafe is a configuration in which the safe route is gone.
func withoutSafe(version int) platformtest.Body {
	return platformtest.Config(version, platformtest.Route("s", "/s/", "stream", "llm", nil))
}

// A watch may hear nothing while changes are made. The configuration is in force
// within two seconds all the same, at every gateway.
func TestSilentWatchIsNoticed(t *testing.T) {
	run(t, 4, plain(1), func(is *is.I, w *world) {
		w.store.SuspendWatches(true)
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(1500 * time.Millisecond)
		for i := range w.gateways {
			is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
		}
		w.store.SuspendWatches(false) // The history is gone, and the watches are cut.
		w.store.Put("op/config", config(3))
		time.Sleep(500 * time.Millisecond)
		for i := range w.gateways {
			is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusOK)
		}
	})
}

// A gateway that the store turns away follows the others, and one that starts
// while the store is down learns from them.
func TestGatewayWithoutTheStoreFollowsOthers(t *testing.T) {
	run(t, 2, plain(1), func(is *is.I, w *world) {
		away := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		w.addGateway(2, away)
		is.True(w.gateways[2].Ready() != nil) // It knows no configuration yet,
		is.Equal(w.ask(2, "GET", "/none/", nil).status, http.StatusServiceUnavailable)
		time.Sleep(time.Second)
		is.NoErr(w.gateways[2].Ready())
		is.Equal(w.ask(2, "GET", "/safe/", nil).status, http.StatusOK)
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(time.Second)
		is.Equal(w.ask(2, "GET", "/safe/", nil).status, http.StatusNotFound)
	})
}

// A bad configuration leaves the last good one in force.
func TestBadConfigurationChangesNothing(t *testing.T) {
	run(t, 1, plain(1), func(is *is.I, w *world) {
		w.store.PutBytes("op/config", []byte(`{"version":`))
		w.store.PutBytes("servers/p0", []byte(`{"service":7}`))
		time.Sleep(time.Second)
		is.Equal(w.ask(0, "GET", "/safe/", nil).status, http.StatusOK)
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(100 * time.Millisecond)
		is.Equal(w.ask(0, "GET", "/safe/", nil).status, http.StatusNotFound)
	})
}

// A gateway that starts while a version's time runs out cannot know when it was
// named, and is not the one to send requests to an older one for long.
func TestStartedGatewayDoesNotTrustAnOverdueVersion(t *testing.T) {
	run(t, 1, engines(1, 2), func(is *is.I, w *world) {
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(7 * time.Second)
		w.addGateway(1, w.store)
		time.Sleep(3 * time.Second)
		is.Equal(w.ask(1, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
	})
}

// Repeats of all gateways together stay within the bound, however many requests
// fail: 0.2 of the requests and 30.
func TestRepeatsStayWithinTheirBound(t *testing.T) {
	rs := plain(3)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			_ = x.Conn.Close()
			return true
		}
	}
	const asked = 300
	run(t, 3, rs, func(is *is.I, w *world) {
		for i := range asked {
			w.ask(i%3, "GET", "/safe/", nil)
			time.Sleep(10 * time.Millisecond)
		}
		again := runs(rs) - asked
		is.True(again > 0)
		is.True(again <= asked/5+30)
	})
}

// Many gateways, of which the store answers only two: all learn of each change
// within two seconds, all know of nearly all others, and none sends more for it
// than a few announcements a round.
func TestManyGatewaysLearnFromAFew(t *testing.T) {
	const gateways = 14 // More than a gateway announces itself to.
	run(t, 2, plain(1), func(is *is.I, w *world) {
		away := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		for i := 2; i < gateways; i++ {
			w.addGateway(i, away)
		}
		time.Sleep(3 * time.Second)
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range w.gateways {
			is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
			is.True(len(w.gateways[i].Status().Peers) > gateways*9/10)
		}
	})
}

// One gateway of a hall watches the store and the others learn from it, so that a
// change costs a call and not one for each; when it goes another one watches, and a
// change made meanwhile is in force at all within two seconds.
func TestOneGatewayOfAHallWatches(t *testing.T) {
	const gateways = 6
	run(t, gateways, plain(1), func(is *is.I, w *world) {
		watching := func() (out []int) {
			for i, g := range w.gateways {
				if g.Status().Watching {
					out = append(out, i)
				}
			}
			return out
		}
		w.store.Put("servers/p0", w.replicas[0].Record("ready")) // Ends the watches of the start.
		time.Sleep(2 * time.Second)
		first := watching()
		is.Equal(len(first), 1)
		const changes = 20
		before := w.store.Calls()
		for range changes {
			w.store.Put("servers/p0", w.replicas[0].Record("ready"))
			time.Sleep(200 * time.Millisecond)
		}
		const checks = 20 // Four a second.
		is.True(w.store.Calls()-before <= changes+checks+gateways)

		w.stops[first[0]]()
		w.store.Put("op/config", withoutSafe(2))
		time.Sleep(2 * time.Second)
		for i := range w.gateways {
			if i != first[0] {
				is.Equal(w.ask(i, "GET", "/safe/", nil).status, http.StatusNotFound)
			}
		}
		time.Sleep(3 * time.Second)
		others := slices.DeleteFunc(watching(), func(i int) bool { return i == first[0] })
		is.True(len(others) >= 1 && len(others) <= 3) // Some begin at once; the next change leaves one.
	})
}

// Where the store turns away the one that would watch, the next one does.
func TestNextOfAHallWatches(t *testing.T) {
	run(t, 0, plain(1), func(is *is.I, w *world) {
		var away [3]atomic.Bool
		for i := range away {
			w.addGateway(i, w.storeUnless(&away[i]))
		}
		time.Sleep(2 * time.Second)
		w.store.Put("servers/p0", w.replicas[0].Record("ready")) // Ends the watches of the start.
		time.Sleep(2 * time.Second)
		for i, g := range w.gateways {
			away[i].Store(g.Status().Watching)
		}
		w.store.Put("servers/p0", w.replicas[0].Record("ready")) // The watch ends, and the next is refused.
		time.Sleep(3 * time.Second)
		others := 0
		for i, g := range w.gateways {
			if g.Status().Watching && !away[i].Load() {
				others++
			}
		}
		is.True(others > 0)
	})
}

// A gateway that learns of a version from another one later gives the version
// before it as much time as that one does, no more and no less.
func TestVersionLearntLateHasTheSameTime(t *testing.T) {
	run(t, 1, engines(2, 2), func(is *is.I, w *world) {
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(4 * time.Second)
		away := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		w.addGateway(1, away)
		for i := range w.gateways { // Of replicas whose agents are silent a gateway takes leave sooner.
			w.tell(i, func() (all []peers.Status) {
				for _, r := range w.replicas {
					all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: 1, Reached: true})
				}
				return all
			})
		}
		time.Sleep(2300 * time.Millisecond)
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusOK) // 1.7 s of eight are left, less a margin.
		is.Equal(w.ask(1, "POST", "/s/", nil).status, http.StatusOK)
		time.Sleep(1200 * time.Millisecond)
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(w.ask(1, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
	})
}

// A start of the whole system: the gateways that all others ask first read the store
// and the others learn from them, and all are ready within half a second.
func TestColdStartAsksTheStoreLittle(t *testing.T) {
	const gateways = 20
	run(t, 0, plain(1), func(is *is.I, w *world) {
		for i := range gateways {
			w.addGateway(i, w.store)
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range w.gateways {
			is.NoErr(g.Ready())
		}
		is.True(w.store.PageReads() <= gateways*3/4) // One by the gateway of the settings, and by those in a hurry.
	})
}

// The same, and the gateway that all ask first starts after the others: a few of these
// read the store themselves, and all are ready soon after it has come.
func TestColdStartWithALateFirstGateway(t *testing.T) {
	const gateways, late = 40, 400 * time.Millisecond
	run(t, 0, plain(1), func(is *is.I, w *world) {
		for i := 1; i < gateways; i++ {
			w.addGateway(i, w.store)
		}
		time.Sleep(late)
		w.addGateway(0, w.store)
		time.Sleep(300 * time.Millisecond)
		for _, g := range w.gateways {
			is.NoErr(g.Ready())
		}
		is.True(w.store.PageReads() <= gateways/2) // Some six: one in eight, and the first. All by themselves would be 40.
	})
}
