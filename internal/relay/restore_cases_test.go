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

// restoreWithout calls writes, which writes to the store, and restores the store from a backup
// that was made before.
func (cl *testCluster) restoreWithout(writes func()) {
	before := cl.store.Revision()
	writes()
	time.Sleep(time.Second) // All gateways have received the changes.
	cl.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(500 * time.Millisecond)
	cl.store.RestoreFromBackup(int(cl.store.Revision() - before))
	cl.store.Refuse(0)
}

// countStatuses sends a request to each gateway and returns the number of responses by status.
func (cl *testCluster) countStatuses(target string, header map[string]string) map[int]int {
	out := map[int]int{}
	for i := range cl.gateways {
		out[cl.send(i, "GET", target, header).status]++
	}
	return out
}

// runInHalls runs a test on a cluster of six gateways in three halls.
func runInHalls(t *testing.T, rs []*platformtest.Replica, test func(cl *testCluster)) {
	runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
		cl.startHalls()
		test(cl)
	})
}

// configWithKeys returns a configuration with these API keys.
func configWithKeys(version int, keys ...string) platformtest.Body {
	c := config(version)
	c["tenants"] = []platformtest.Body{{"name": "t", "api_keys": keys}}
	return c
}

func TestCopyDoesNotGiveARevokedKeyBack(t *testing.T) {
	allUnauthorized := func(n int) map[int]int { return map[int]int{http.StatusUnauthorized: n} }
	cases := []struct {
		name     string
		after    func(cl *testCluster) // Called after the restore.
		gateways int
	}{
		{"gateways with the change", func(*testCluster) {}, 6},
		{"a gateway starts meanwhile", func(cl *testCluster) {
			cl.addGateway(6, withLatency(cl.store))
			time.Sleep(1500 * time.Millisecond)
		}, 7},
		{"gateways restart one after the other", func(cl *testCluster) {
			for i := range 6 {
				cl.restart(i)
				time.Sleep(1500 * time.Millisecond)
			}
		}, 6},
		{"an older configuration is written again", func(cl *testCluster) {
			cl.store.Put("op/config", configWithKeys(2, "k", "x"))
			time.Sleep(time.Second)
		}, 6},
		{"the change is written again at another revision", func(cl *testCluster) {
			cl.writeChanges(5)
			cl.store.Put("op/config", configWithKeys(3, "x"))
			time.Sleep(time.Second)
		}, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			var got, gotNewKey map[int]int
			runInHalls(t, plainReplicas(3), func(cl *testCluster) {
				cl.restoreWithout(func() { cl.store.Put("op/config", configWithKeys(3, "x")) })
				time.Sleep(2 * time.Second)
				c.after(cl)
				got = cl.countStatuses("/safe/", nil)
				gotNewKey = cl.countStatuses("/safe/", map[string]string{"Authorization": "Bearer x"})
			})
			check.Equal(got, allUnauthorized(c.gateways))
			check.Equal(gotNewKey, map[int]int{http.StatusOK: c.gateways}) // A key added by the lost change stays valid.
		})
	}
}

// One gateway alone has received a configuration that the backup lacks. The others must receive
// it from that gateway once they can reach it.
func TestConfigurationThatOneGatewayKnowsReachesAll(t *testing.T) {
	var isolatedVersion, otherVersion uint64
	var got map[int]int
	runInHalls(t, plainReplicas(3), func(cl *testCluster) {
		cl.stallGateway(5, true)
		cl.soleStoreClient.Store(5 + 1)
		cl.writeChanges(1) // Ends the watches of the others.
		time.Sleep(4 * time.Second)
		cl.store.Put("op/config", configWithKeys(3, "x"))
		time.Sleep(time.Second)
		isolatedVersion = cl.gateways[5].Status().Version
		cl.store.RestoreFromBackup(1)
		cl.soleStoreClient.Store(0)
		time.Sleep(2 * time.Second)
		otherVersion = cl.gateways[0].Status().Version
		cl.stallGateway(5, false)
		time.Sleep(4 * time.Second)
		got = cl.countStatuses("/safe/", nil)
	})
	check := is.New(t)
	check.Equal(isolatedVersion, uint64(3))
	check.Equal(otherVersion, uint64(1))
	check.Equal(got, map[int]int{http.StatusUnauthorized: 6})
}

// requestsAfterLostDrain restores the store from a backup that lacks the change of replica p0 to
// draining. It returns how many requests reach p0 afterwards.
func requestsAfterLostDrain(t *testing.T, after func(cl *testCluster)) (received int) {
	runInHalls(t, plainReplicas(3), func(cl *testCluster) {
		cl.restoreWithout(func() { cl.store.Put("servers/p0", cl.replicas[0].Record("draining")) })
		time.Sleep(time.Second)
		after(cl)
		before := cl.replicas[0].RequestCount()
		for range 20 {
			cl.countStatuses("/safe/", nil)
			time.Sleep(200 * time.Millisecond)
		}
		received = cl.replicas[0].RequestCount() - before
	})
	return received
}

func TestReplicaThatACopyHasReadyAgainIsLeftAlone(t *testing.T) {
	cases := []struct {
		name  string
		after func(cl *testCluster)
	}{
		{"gateways with the change", func(*testCluster) {}},
		{"a gateway starts meanwhile", func(cl *testCluster) {
			cl.addGateway(6, withLatency(cl.store))
			time.Sleep(1500 * time.Millisecond)
		}},
		{"it is written as ready again", func(cl *testCluster) { cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) }},
		{"it is written as draining again", func(cl *testCluster) { cl.store.Put("servers/p0", cl.replicas[0].Record("draining")) }},
		{"its entry is deleted", func(cl *testCluster) { cl.store.Delete("servers/p0") }},
		{"the store is restored a second time", func(cl *testCluster) {
			cl.restoreWithout(func() { cl.writeChanges(2) })
			time.Sleep(time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			received := requestsAfterLostDrain(t, c.after)
			is.New(t).Equal(received, 0)
		})
	}
}

// The backup has the entry of a replica that terminated after it was made. The entry stays until
// the store deletes it again.
func TestTerminatedReplicaInTheBackupIsNotUsed(t *testing.T) {
	for _, gatewayStarts := range []bool{false, true} {
		t.Run(fmt.Sprint("a gateway starts: ", gatewayStarts), func(t *testing.T) {
			check := is.New(t)
			received, got := 0, map[int]int{}
			runInHalls(t, plainReplicas(3), func(cl *testCluster) {
				cl.restoreWithout(func() { cl.store.Delete("servers/p0") })
				time.Sleep(time.Second)
				if gatewayStarts {
					cl.addGateway(6, withLatency(cl.store))
					time.Sleep(1500 * time.Millisecond)
				}
				before := cl.replicas[0].RequestCount()
				time.AfterFunc(4*time.Second, func() { cl.store.Delete("servers/p0") })
				got = cl.sendPeriodically("/safe/", 50*time.Millisecond, 14*time.Second)
				received = cl.replicas[0].RequestCount() - before
			})
			check.Equal(received, 0)
			check.Equal(got, map[int]int{http.StatusOK: 280})
		})
	}
}

// An entry lapsed after the backup was made, though its replica is running. The entry is back
// with the backup and stays there, so the replica must be used again.
func TestReplicaThatLapsedAndThatACopyHasIsUsedAgain(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		t.Run(fmt.Sprint("written again: ", rewritten), func(t *testing.T) {
			received := 0
			runInHalls(t, plainReplicas(3), func(cl *testCluster) {
				cl.restoreWithout(func() { cl.store.Delete("servers/p0") })
				wait := 12 * time.Second
				if rewritten {
					time.Sleep(time.Second)
					cl.store.Put("servers/p0", cl.replicas[0].Record("ready"))
					wait = time.Second
				}
				time.Sleep(wait)
				before := cl.replicas[0].RequestCount()
				cl.sendPeriodically("/safe/", 20*time.Millisecond, 2*time.Second)
				received = cl.replicas[0].RequestCount() - before
			})
			is.New(t).True(received > 0)
		})
	}
}

// All replicas of a service were replaced after the backup was made. The backup lacks the new
// ones until they write their entries again.
func TestReplicasMissingFromTheBackupStayInUse(t *testing.T) {
	check := is.New(t)
	got := map[int]int{}
	rs := plainReplicas(3)
	runInHalls(t, rs, func(cl *testCluster) {
		next := plainReplicas(3)
		cl.restoreWithout(func() {
			for i, r := range next {
				r.ID = fmt.Sprintf("next%d", i)
				cl.store.Delete("servers/" + rs[i].ID)
				cl.store.Put("servers/"+r.ID, r.Record("ready"))
				cl.net.Remove(r.Addr)
				cl.net.Add(&simnet.End{Name: r.Addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: r.Serve})
			}
		})
		for i, r := range next {
			time.AfterFunc(time.Duration(500+600*i)*time.Millisecond, func() { cl.store.Put("servers/"+r.ID, r.Record("ready")) })
			time.AfterFunc(4*time.Second, func() { cl.store.Delete("servers/" + rs[i].ID) })
		}
		got = cl.sendPeriodically("/safe/", 20*time.Millisecond, 6*time.Second)
	})
	check.Equal(got, map[int]int{http.StatusOK: 300})
}

// Callers send requests all the time while the store is restored from a backup twice. The lost
// changes are written again late and in another order.
func TestNoCallerIsRefusedAfterARestore(t *testing.T) {
	check := is.New(t)
	var got, added map[int]int
	runInHalls(t, plainReplicas(4), func(cl *testCluster) {
		cfg := config(2)
		cfg["routes"] = append(cfg["routes"].([]platformtest.Body), platformtest.Route("new", "/new/", "safe", "api", nil))
		done := make(chan map[int]int)
		go func() { done <- cl.sendPeriodically("/safe/", 20*time.Millisecond, 12*time.Second) }()
		for range 2 {
			cl.restoreWithout(func() {
				cl.store.Put("op/config", cfg)
				cl.writeChanges(3)
				cl.store.Put("servers/p3", cl.replicas[3].Record("draining"))
			})
			time.Sleep(time.Second)
			added = cl.countStatuses("/new/", nil)
			cl.store.Put("servers/p3", cl.replicas[3].Record("draining"))
			time.Sleep(time.Second)
			cl.store.Put("op/config", cfg)
			time.Sleep(time.Second)
		}
		got = <-done
	})
	check.Equal(got, map[int]int{http.StatusOK: 600})
	check.Equal(added, map[int]int{http.StatusOK: 6}) // A route added by a lost change stays in force.
}

// The backup was made before anything was written.
func TestRestoreFromAnEmptyBackup(t *testing.T) {
	check := is.New(t)
	var got map[int]int
	rs := plainReplicas(3)
	runInHalls(t, rs, func(cl *testCluster) {
		cl.store.Refuse(http.StatusServiceUnavailable)
		cl.store.RestoreFromBackup(int(cl.store.Revision()))
		cl.store.Refuse(0)
		for i, r := range rs {
			time.AfterFunc(time.Duration(500+500*i)*time.Millisecond, func() { cl.store.Put("servers/"+r.ID, r.Record("ready")) })
		}
		time.AfterFunc(2*time.Second, func() { cl.store.Put("op/config", config(1)) })
		got = cl.sendPeriodically("/safe/", 20*time.Millisecond, 4*time.Second)
	})
	check.Equal(got, map[int]int{http.StatusOK: 200})
}

// Gateways learn of a new era in each of these cases: a change made in it must be in force within
// 2 s.
func TestNewEraIsDetected(t *testing.T) {
	cases := []struct {
		name string
		test func(cl *testCluster)
	}{
		{"a check finds it, and no watch", func(cl *testCluster) {
			cl.store.SuspendWatches(true)
			cl.writeChanges(4)
			cl.store.RestoreFromBackup(4)
		}},
		{"the era rises by more than one", func(cl *testCluster) {
			cl.store.AddRestores(5)
			cl.restoreWithout(func() { cl.writeChanges(4) })
		}},
		{"two restores in a row", func(cl *testCluster) {
			cl.restoreWithout(func() { cl.writeChanges(4) })
			cl.store.RestoreFromBackup(2)
		}},
		{"a hall is cut off", func(cl *testCluster) {
			cl.stallHall("h1", true)
			cl.restoreWithout(func() { cl.writeChanges(4) })
			time.Sleep(3 * time.Second)
			cl.stallHall("h1", false)
			time.Sleep(3 * time.Second)
		}},
		{"only one gateway reaches the store", func(cl *testCluster) {
			cl.soleStoreClient.Store(3 + 1)
			cl.restoreWithout(func() { cl.writeChanges(4) })
			time.Sleep(3 * time.Second)
		}},
		{"the store sends no era for a while", func(cl *testCluster) {
			cl.store.OmitEra.Store(true)
			time.Sleep(time.Second)
			cl.store.OmitEra.Store(false)
			cl.restoreWithout(func() { cl.writeChanges(4) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			var got map[int]int
			runInHalls(t, plainReplicas(3), func(cl *testCluster) {
				c.test(cl)
				cl.store.Put("op/config", configWithoutSafe(2))
				time.Sleep(2 * time.Second)
				got = cl.countStatuses("/safe/", nil)
			})
			check.Equal(got, map[int]int{http.StatusNotFound: 6})
		})
	}
}

// After a restore, one of 15 gateways reads all records for the others, and none polls the store
// at a higher rate.
func TestCopyIsReadOnceForAllHalls(t *testing.T) {
	const gateways, maxReads = 15, 3 // Pages; at most one reader per hall.
	check := is.New(t)
	reads, calls := 0, 0
	runCluster(t, 0, plainReplicas(3), func(_ *is.I, cl *testCluster) {
		cl.hallCount = 3
		for i := range gateways {
			cl.addGateway(i, withLatency(cl.store))
		}
		time.Sleep(4 * time.Second)
		cl.restoreWithout(func() { cl.writeChanges(6) })
		reads, calls = cl.store.PageReads(), cl.store.Calls()
		time.Sleep(3 * time.Second)
		reads, calls = cl.store.PageReads()-reads, cl.store.Calls()-calls
	})
	check.True(reads >= 1 && reads <= maxReads)
	check.True(calls <= 3*4*gateways) // Four a second per gateway, as while the store is unavailable.
}

// stallGateway stalls or resumes the connections between a gateway and all others.
func (cl *testCluster) stallGateway(gateway int, stalled bool) {
	for i := range cl.gateways {
		if i != gateway {
			cl.net.Stall(gatewayAddr(gateway), gatewayAddr(i), stalled)
		}
	}
}

// stallHall stalls or resumes the connections between a hall and the others.
func (cl *testCluster) stallHall(hall string, stalled bool) {
	for i := range cl.gateways {
		for j := range cl.gateways {
			if cl.hallOf(i) == hall && cl.hallOf(j) != hall {
				cl.net.Stall(gatewayAddr(i), gatewayAddr(j), stalled)
			}
		}
	}
}
