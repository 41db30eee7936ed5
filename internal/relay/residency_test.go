package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// restricted returns a configuration whose routes and whose tenant are restricted to regions.
func restricted(version int, routeRegions, tenantRegions []string) platformtest.Body {
	allowed := platformtest.Body{"regions_allowed": routeRegions}
	c := platformtest.Config(
		version,
		platformtest.Route("s", "/s/", "stream", "llm", allowed),
		platformtest.Route("safe", "/safe/", "safe", "api", allowed),
		platformtest.Route("unsafe", "/unsafe/", "unsafe", "api", allowed),
	)
	c["tenants"] = []platformtest.Body{{"name": "t", "api_keys": []string{"k"}, "regions_allowed": tenantRegions}}
	return c
}

// replicasInHalls returns a replica of each service in each of three halls.
func replicasInHalls(events int) []*platformtest.Replica {
	rs := append(plainReplicas(3), engines(3, events)...)
	for i, r := range rs {
		r.Hall = fmt.Sprintf("h%d", 1+i%3)
		r.Addr = fmt.Sprintf("10.1.%d.%d:80", i%3, 1+i/3)
	}
	return rs
}

// arrivalsByHall counts the requests that reached the replicas of each hall.
func arrivalsByHall(rs []*platformtest.Replica) map[string]int {
	out := map[string]int{}
	for _, r := range rs {
		if n := r.RequestCount(); n > 0 {
			out[r.Hall] += n
		}
	}
	return out
}

// sendFromAllHalls sends requests of each kind to three gateways, and counts the statuses.
func (cl *testCluster) sendFromAllHalls(each int) map[int]int {
	got := map[int]int{}
	for i := range 3 * each {
		for _, target := range []string{"/s/", "/safe/", "/unsafe/"} {
			got[cl.send(i%3, http.MethodPost, target, nil).status]++
		}
	}
	return got
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	for _, tc := range []struct {
		route, tenant []string
		halls         map[string]bool
	}{
		{[]string{"r2"}, nil, map[string]bool{"h2": true}},
		{nil, []string{"r3"}, map[string]bool{"h3": true}},
		{[]string{"r1", "r2"}, []string{"r2", "r3"}, map[string]bool{"h2": true}},
		{[]string{"r1"}, []string{"r2"}, nil},
		{[]string{"unknown"}, nil, nil},
		{[]string{}, []string{}, map[string]bool{"h1": true, "h2": true, "h3": true}},
	} {
		t.Run(fmt.Sprint(tc.route, tc.tenant), func(t *testing.T) {
			rs, got, took := replicasInHalls(2), map[int]int{}, time.Duration(0)
			runCluster(t, 3, rs, func(_ *is.I, cl *testCluster) {
				cl.store.Put("op/config", restricted(2, tc.route, tc.tenant))
				time.Sleep(time.Second)
				began := time.Now()
				got = cl.sendFromAllHalls(20)
				took = time.Since(began)
			})
			check := is.New(t)
			for hall := range arrivalsByHall(rs) {
				check.True(tc.halls[hall])
			}
			if tc.halls == nil {
				check.Equal(got, map[int]int{http.StatusServiceUnavailable: 180})
				check.Equal(took, time.Duration(0)) // Refused at once.
			} else {
				check.Equal(got, map[int]int{http.StatusOK: 180})
			}
		})
	}
}

// Retries, second attempts beside a silent one and streams that continue elsewhere stay in the
// allowed regions, though a replica in another region is idle.
func TestLaterAttemptsStayInTheirRegions(t *testing.T) {
	failures := map[string]func(n int, x *platformtest.Exchange) bool{
		"rejects": func(_ int, x *platformtest.Exchange) bool { x.Reject(""); return true },
		"ends":    func(_ int, x *platformtest.Exchange) bool { _ = x.Conn.Close(); return true },
		"silent":  func(int, *platformtest.Exchange) bool { time.Sleep(4 * time.Second); return true },
		"ends in a stream": func(_ int, x *platformtest.Exchange) bool {
			x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
			x.Event(1)
			_ = x.Conn.Close()
			return true
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			rs := replicasInHalls(3)
			for _, r := range rs {
				if r.Hall == "h1" {
					r.Handle = fail
				}
			}
			runCluster(t, 3, rs, func(_ *is.I, cl *testCluster) {
				cl.store.Put("op/config", restricted(2, []string{"r1", "r2"}, nil))
				time.Sleep(time.Second)
				cl.sendFromAllHalls(4)
			})
			check := is.New(t)
			check.Equal(arrivalsByHall(rs)["h3"], 0)
			check.True(arrivalsByHall(rs)["h1"] > 0)
		})
	}
}

// A restriction that is added while a request waits for a silent replica holds for its next
// attempt.
func TestRestrictionHoldsForWaitingRequests(t *testing.T) {
	rs := replicasInHalls(3)
	for _, r := range rs {
		r.Handle = func(int, *platformtest.Exchange) bool { time.Sleep(5 * time.Second); return true }
	}
	before, after := 0, 0
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", restricted(2, []string{"r1", "r2"}, nil))
		time.Sleep(time.Second)
		done := make(chan reply)
		go func() { done <- cl.send(0, http.MethodGet, "/safe/", nil) }()
		time.Sleep(300 * time.Millisecond)
		before = len(arrivalsByHall(rs))
		cl.store.Put("op/config", restricted(3, []string{"r3"}, nil))
		<-done
		after = len(arrivalsByHall(rs))
	})
	check := is.New(t)
	check.Equal(before, 1)
	check.Equal(after, 1)
}

// A drained hall gets no requests, and a record that cannot be read drains none: while h1 and h3 are
// drained, h2 gets all. With two halls left, each gateway stays with one of them for each service,
// since they are equally good and one that was used is known to be fast.
func TestDrainedHallGetsNoRequests(t *testing.T) {
	rs := replicasInHalls(2)
	during, duringBoth, atStarted, after := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	statuses := map[int]int{}
	count := func(cl *testCluster, into map[string]int) {
		before := arrivalsByHall(rs)
		for status, n := range cl.sendFromAllHalls(20) {
			statuses[status] += n
		}
		for hall, n := range arrivalsByHall(rs) {
			into[hall] = n - before[hall]
		}
	}
	runCluster(t, 3, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/evacuate/h1", platformtest.Body{})
		cl.store.Put("op/evacuate/unknown", platformtest.Body{})
		cl.store.PutBytes("op/evacuate/h2", []byte(`["no object"]`))
		time.Sleep(time.Second)
		count(cl, during)
		cl.store.Put("op/evacuate/h3", platformtest.Body{})
		time.Sleep(time.Second)
		count(cl, duringBoth)
		cl.store.Delete("op/evacuate/h3")
		cl.stops[0]() // A gateway that starts meanwhile knows of it.
		cl.stops[0] = func() {}
		cl.addGateway(3, cl.store)
		time.Sleep(3 * time.Second)
		cl.gateways[0] = cl.gateways[3]
		cl.store.PutBytes("op/evacuate/h1", []byte(`{`)) // Leaves the hall as it was.
		time.Sleep(time.Second)
		count(cl, atStarted)
		cl.store.Delete("op/evacuate/h1")
		time.Sleep(time.Second)
		count(cl, after)
	})
	check := is.New(t)
	check.Equal(statuses, map[int]int{http.StatusOK: 4 * 180})
	check.Equal(during["h1"], 0)
	check.Equal(duringBoth["h2"], 180)
	check.Equal(atStarted["h1"], 0)
	check.True(after["h1"] > 0)
}

// What runs in a hall when it is drained ends whole there.
func TestDrainCutsNoAnswer(t *testing.T) {
	rs := replicasInHalls(20)[3:4] // One engine, in h1.
	var got reply
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		done := make(chan reply)
		go func() { done <- cl.send(0, http.MethodPost, "/s/", nil) }()
		time.Sleep(200 * time.Millisecond)
		cl.store.Put("op/evacuate/h1", platformtest.Body{})
		got = <-done
	})
	is.New(t).Equal(got.body, events(1, 20))
}

// Where all halls that may serve a request are drained, it is refused at once.
func TestAllHallsDrained(t *testing.T) {
	rs := replicasInHalls(2)
	var got reply
	took := time.Duration(-1)
	runCluster(t, 3, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", restricted(2, []string{"r1"}, nil))
		cl.store.Put("op/evacuate/h1", platformtest.Body{})
		time.Sleep(time.Second)
		began := time.Now()
		got = cl.send(1, http.MethodPost, "/s/", nil)
		took = time.Since(began)
	})
	check := is.New(t)
	check.Equal(got.status, http.StatusServiceUnavailable)
	check.Equal(took, time.Duration(0))
	check.Equal(len(arrivalsByHall(rs)), 0)
}

// A drain that a restored store lacks holds until the operator has had time to write it again.
func TestDrainOutlastsARestore(t *testing.T) {
	rs := replicasInHalls(2)
	early, late := 0, 0
	runCluster(t, 3, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/evacuate/h1", platformtest.Body{})
		time.Sleep(time.Second)
		cl.store.RestoreFromBackup(1)
		time.Sleep(3 * time.Second)
		cl.sendFromAllHalls(20)
		early = arrivalsByHall(rs)["h1"]
		time.Sleep(12 * time.Second)
		cl.sendFromAllHalls(20)
		late = arrivalsByHall(rs)["h1"]
	})
	check := is.New(t)
	check.Equal(early, 0)
	check.True(late > 0)
}
