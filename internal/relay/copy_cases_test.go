package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
)

// drill has the store come back from a copy that lacks what was written since lost began.
func (w *world) drill(lost func()) {
	before := w.store.Revision()
	lost()
	time.Sleep(time.Second) // All have heard of it.
	w.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(500 * time.Millisecond)
	w.store.RestoreFromBackup(int(w.store.Revision() - before))
	w.store.Refuse(0)
}

// statuses asks all gateways and returns how many answers had each status.
func (w *world) statuses(target string, more map[string]string) map[int]int {
	out := map[int]int{}
	for i := range w.gateways {
		out[w.ask(i, "GET", target, more).status]++
	}
	return out
}

// among plays a test before six gateways in three halls.
func among(t *testing.T, rs []*platformtest.Replica, play func(w *world)) {
	run(t, 0, rs, func(_ *is.I, w *world) {
		w.startHalls()
		play(w)
	})
}

// withKeys is a configuration that knows some keys.
func withKeys(version int, keys ...string) platformtest.Body {
	c := config(version)
	c["tenants"] = []platformtest.Body{{"name": "t", "api_keys": keys}}
	return c
}

func TestCopyDoesNotGiveARevokedKeyBack(t *testing.T) {
	all := func(n int) map[int]int { return map[int]int{http.StatusUnauthorized: n} }
	cases := []struct {
		name  string
		after func(w *world) // The copy is in force.
		asked int
	}{
		{"at those that knew", func(*world) {}, 6},
		{"at one that starts meanwhile", func(w *world) {
			w.addGateway(6, slowly(w.store))
			time.Sleep(1500 * time.Millisecond)
		}, 7},
		{"at those that start one after the other", func(w *world) {
			for i := range 6 {
				w.restart(i)
				time.Sleep(1500 * time.Millisecond)
			}
		}, 6},
		{"when older ones are written again", func(w *world) {
			w.store.Put("op/config", withKeys(2, "k", "x"))
			time.Sleep(time.Second)
		}, 6},
		{"when it is written again at another revision", func(w *world) {
			w.changes(5)
			w.store.Put("op/config", withKeys(3, "x"))
			time.Sleep(time.Second)
		}, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			var got, other map[int]int
			among(t, plain(3), func(w *world) {
				w.drill(func() { w.store.Put("op/config", withKeys(3, "x")) })
				time.Sleep(2 * time.Second)
				c.after(w)
				got = w.statuses("/safe/", nil)
				other = w.statuses("/safe/", map[string]string{"Authorization": "Bearer x"})
			})
			check.Equal(got, all(c.asked))
			check.Equal(other, map[int]int{http.StatusOK: c.asked}) // What was added in the lost part holds.
		})
	}
}

// A gateway hears of a configuration that no other one has, and that the copy lacks.
func TestConfigurationThatOneGatewayKnowsReachesAll(t *testing.T) {
	var knew, others uint64
	var got map[int]int
	among(t, plain(3), func(w *world) {
		w.cutAll(5, true)
		w.only.Store(5 + 1)
		w.changes(1) // It ends the watches of the others.
		time.Sleep(4 * time.Second)
		w.store.Put("op/config", withKeys(3, "x"))
		time.Sleep(time.Second)
		knew = w.gateways[5].Status().Version
		w.store.RestoreFromBackup(1)
		w.only.Store(0)
		time.Sleep(2 * time.Second)
		others = w.gateways[0].Status().Version
		w.cutAll(5, false)
		time.Sleep(4 * time.Second)
		got = w.statuses("/safe/", nil)
	})
	check := is.New(t)
	check.Equal(knew, uint64(3))
	check.Equal(others, uint64(1))
	check.Equal(got, map[int]int{http.StatusUnauthorized: 6})
}

// leavesInTheLostPart plays a drill that loses a replica's word that it leaves, and returns how
// many requests come to it later.
func leavesInTheLostPart(t *testing.T, after func(w *world)) (came int) {
	among(t, plain(3), func(w *world) {
		w.drill(func() { w.store.Put("servers/p0", w.replicas[0].Record("draining")) })
		time.Sleep(time.Second)
		after(w)
		before := w.replicas[0].RequestCount()
		for range 20 {
			w.statuses("/safe/", nil)
			time.Sleep(200 * time.Millisecond)
		}
		came = w.replicas[0].RequestCount() - before
	})
	return came
}

func TestReplicaThatACopyHasReadyAgainIsLeftAlone(t *testing.T) {
	cases := []struct {
		name  string
		after func(w *world)
	}{
		{"by those that knew", func(*world) {}},
		{"by one that starts meanwhile", func(w *world) {
			w.addGateway(6, slowly(w.store))
			time.Sleep(1500 * time.Millisecond)
		}},
		{"when it is written as ready again", func(w *world) { w.store.Put("servers/p0", w.replicas[0].Record("ready")) }},
		{"when it leaves again", func(w *world) { w.store.Put("servers/p0", w.replicas[0].Record("draining")) }},
		{"when its entry goes", func(w *world) { w.store.Delete("servers/p0") }},
		{"in a second drill", func(w *world) {
			w.drill(func() { w.changes(2) })
			time.Sleep(time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			came := leavesInTheLostPart(t, c.after)
			is.New(t).Equal(came, 0)
		})
	}
}

// A replica that ended in the lost part is in the copy until the store drops it.
func TestReplicaThatEndedAndThatACopyHasIsNotUsed(t *testing.T) {
	for _, starts := range []bool{false, true} {
		t.Run(fmt.Sprint("one starts: ", starts), func(t *testing.T) {
			check := is.New(t)
			came, got := 0, map[int]int{}
			among(t, plain(3), func(w *world) {
				w.drill(func() { w.store.Delete("servers/p0") })
				time.Sleep(time.Second)
				if starts {
					w.addGateway(6, slowly(w.store))
					time.Sleep(1500 * time.Millisecond)
				}
				before := w.replicas[0].RequestCount()
				time.AfterFunc(4*time.Second, func() { w.store.Delete("servers/p0") })
				got = w.callers("/safe/", 50*time.Millisecond, 14*time.Second)
				came = w.replicas[0].RequestCount() - before
			})
			check.Equal(came, 0)
			check.Equal(got, map[int]int{http.StatusOK: 280})
		})
	}
}

// An entry that lapsed in the lost part, and whose replica lives, is in the copy and stays there.
func TestReplicaThatLapsedAndThatACopyHasIsUsedAgain(t *testing.T) {
	for _, written := range []bool{false, true} {
		t.Run(fmt.Sprint("written again: ", written), func(t *testing.T) {
			came := 0
			among(t, plain(3), func(w *world) {
				w.drill(func() { w.store.Delete("servers/p0") })
				within := 12 * time.Second
				if written {
					time.Sleep(time.Second)
					w.store.Put("servers/p0", w.replicas[0].Record("ready"))
					within = time.Second
				}
				time.Sleep(within)
				before := w.replicas[0].RequestCount()
				w.callers("/safe/", 20*time.Millisecond, 2*time.Second)
				came = w.replicas[0].RequestCount() - before
			})
			is.New(t).True(came > 0)
		})
	}
}

// All replicas of a service started in the lost part: the copy lacks them until they write again.
func TestReplicasThatACopyLacksAreUsedOn(t *testing.T) {
	check := is.New(t)
	got := map[int]int{}
	rs := plain(3)
	among(t, rs, func(w *world) {
		next := plain(3)
		w.drill(func() {
			for i, r := range next {
				r.ID = fmt.Sprintf("next%d", i)
				w.store.Delete("servers/" + rs[i].ID)
				w.store.Put("servers/"+r.ID, r.Record("ready"))
				w.net.Remove(r.Addr)
				w.net.Add(&simnet.End{Name: r.Addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: r.Serve})
			}
		})
		for i, r := range next {
			time.AfterFunc(time.Duration(500+600*i)*time.Millisecond, func() { w.store.Put("servers/"+r.ID, r.Record("ready")) })
			time.AfterFunc(4*time.Second, func() { w.store.Delete("servers/" + rs[i].ID) })
		}
		got = w.callers("/safe/", 20*time.Millisecond, 6*time.Second)
	})
	check.Equal(got, map[int]int{http.StatusOK: 300})
}

// Callers ask all the time while the store falls back twice, and what was lost is written again
// late and in another order.
func TestNoCallerIsRefusedForACopy(t *testing.T) {
	check := is.New(t)
	var got, added map[int]int
	among(t, plain(4), func(w *world) {
		route := config(2)
		route["routes"] = append(route["routes"].([]platformtest.Body), platformtest.Route("new", "/new/", "safe", "api", nil))
		done := make(chan map[int]int)
		go func() { done <- w.callers("/safe/", 20*time.Millisecond, 12*time.Second) }()
		for range 2 {
			w.drill(func() {
				w.store.Put("op/config", route)
				w.changes(3)
				w.store.Put("servers/p3", w.replicas[3].Record("draining"))
			})
			time.Sleep(time.Second)
			added = w.statuses("/new/", nil)
			w.store.Put("servers/p3", w.replicas[3].Record("draining"))
			time.Sleep(time.Second)
			w.store.Put("op/config", route)
			time.Sleep(time.Second)
		}
		got = <-done
	})
	check.Equal(got, map[int]int{http.StatusOK: 600})
	check.Equal(added, map[int]int{http.StatusOK: 6}) // A route of the lost part is served on.
}

// The copy is from before anything was written.
func TestCopyThatHasNothing(t *testing.T) {
	check := is.New(t)
	var got map[int]int
	rs := plain(3)
	among(t, rs, func(w *world) {
		w.store.Refuse(http.StatusServiceUnavailable)
		w.store.RestoreFromBackup(int(w.store.Revision()))
		w.store.Refuse(0)
		for i, r := range rs {
			time.AfterFunc(time.Duration(500+500*i)*time.Millisecond, func() { w.store.Put("servers/"+r.ID, r.Record("ready")) })
		}
		time.AfterFunc(2*time.Second, func() { w.store.Put("op/config", config(1)) })
		got = w.callers("/safe/", 20*time.Millisecond, 4*time.Second)
	})
	check.Equal(got, map[int]int{http.StatusOK: 200})
}

// A reader hears of another era first in each of these ways.
func TestEraIsHeardOf(t *testing.T) {
	cases := []struct {
		name string
		play func(w *world)
	}{
		{"by a check alone", func(w *world) {
			w.store.SuspendWatches(true)
			w.changes(4)
			w.store.RestoreFromBackup(4)
		}},
		{"when it rises by more", func(w *world) {
			w.store.AddRestores(5)
			w.drill(func() { w.changes(4) })
		}},
		{"two in a row", func(w *world) {
			w.drill(func() { w.changes(4) })
			w.store.RestoreFromBackup(2)
		}},
		{"while halls are cut off", func(w *world) {
			w.cutHall("h1", true)
			w.drill(func() { w.changes(4) })
			time.Sleep(3 * time.Second)
			w.cutHall("h1", false)
			time.Sleep(3 * time.Second)
		}},
		{"by one gateway alone", func(w *world) {
			w.only.Store(3 + 1)
			w.drill(func() { w.changes(4) })
			time.Sleep(3 * time.Second)
		}},
		{"while no era is named", func(w *world) {
			w.store.OmitEra.Store(true)
			time.Sleep(time.Second)
			w.store.OmitEra.Store(false)
			w.drill(func() { w.changes(4) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			var got map[int]int
			among(t, plain(3), func(w *world) {
				c.play(w)
				w.store.Put("op/config", withoutSafe(2))
				time.Sleep(2 * time.Second)
				got = w.statuses("/safe/", nil)
			})
			check.Equal(got, map[int]int{http.StatusNotFound: 6})
		})
	}
}

// One gateway reads all records for all of 15, and none asks on and on.
func TestCopyIsReadOnceForAllHalls(t *testing.T) {
	const gateways, most = 15, 3 // Whole reads: a hall's at the most.
	check := is.New(t)
	reads, calls := 0, 0
	run(t, 0, plain(3), func(_ *is.I, w *world) {
		w.halls = 3
		for i := range gateways {
			w.addGateway(i, slowly(w.store))
		}
		time.Sleep(4 * time.Second)
		w.drill(func() { w.changes(6) })
		reads, calls = w.store.PageReads(), w.store.Calls()
		time.Sleep(3 * time.Second)
		reads, calls = w.store.PageReads()-reads, w.store.Calls()-calls
	})
	check.True(reads >= 1 && reads <= most)
	check.True(calls <= 3*4*gateways) // Four a second each, as while it is away.
}

// cutAll cuts a gateway off from all others or ends that.
func (w *world) cutAll(gateway int, stalled bool) {
	for i := range w.gateways {
		if i != gateway {
			w.net.Stall(gatewayAddr(gateway), gatewayAddr(i), stalled)
		}
	}
}

// cutHall cuts a hall off from the others or ends that.
func (w *world) cutHall(hall string, stalled bool) {
	for i := range w.gateways {
		for j := range w.gateways {
			if w.hallOf(i) == hall && w.hallOf(j) != hall {
				w.net.Stall(gatewayAddr(i), gatewayAddr(j), stalled)
			}
		}
	}
}
