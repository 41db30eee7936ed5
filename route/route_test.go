package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

var epoch = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

func box(i int) fleet.Box {
	return fleet.Box{Name: fmt.Sprintf("b%d", i), Hall: "h", Class: "engine", Addr: fmt.Sprint(i)}
}

func report(digest string, at time.Time) dispatch.Report {
	return dispatch.Report{Incarnation: 1, Service: "s", Digest: digest, Ready: true, Slots: 8, At: at}
}

func readyRouter(n int, digest string) *Router {
	r := &Router{}
	var boxes []fleet.Box
	for i := range n {
		boxes = append(boxes, box(i))
	}
	r.Sync(boxes)
	for i := range n {
		r.UpdateReport(epoch, box(i).Name, report(digest, epoch))
	}
	return r
}

// A gateway moves to the target version once enough replicas are ready with it, and does not
// return to the older one when they disappear, unless a newer configuration requests it.
func TestRolloutDoesNotGoBackByItself(t *testing.T) {
	is := is.New(t)
	r, o := readyRouter(4, "v1"), &Rollout{}
	v1 := Target{Service: "s", Digest: "v1", Revision: 1, MinReady: 2}
	v2 := Target{Service: "s", Digest: "v2", Revision: 2, MinReady: 2}
	is.Equal(o.Version(epoch, v1, r), "v1")
	r.UpdateReport(epoch, "b0", report("v2", epoch.Add(1)))
	is.Equal(o.Version(epoch, v2, r), "v1") // Ready on one of the two that are needed.
	r.UpdateReport(epoch, "b1", report("v2", epoch.Add(1)))
	is.Equal(o.Version(epoch, v2, r), "v2")
	r.MarkDisconnected("b0")
	r.MarkDisconnected("b1")
	is.Equal(o.Version(epoch, v2, r), "v2") // Two boxes are ready with v1, which is not requested.
	is.Equal(o.Version(epoch, v1, r), "v2") // An older view must not move it back.
	v3 := v1
	v3.Revision = 3
	is.Equal(o.Version(epoch, v3, r), "v1") // Rolled back by a newer configuration.
}

// Whatever the order of reports, and with duplicates, the table ends with the newest report of
// the newest incarnation.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "reports")
		var reports []dispatch.Report
		best := 0
		for i := range n {
			rep := report("v", epoch.Add(time.Duration(i)))
			rep.Incarnation = uint64(1 + i/4)
			rep.Running = i
			reports = append(reports, rep)
			best = i
		}
		order := rapid.Permutation(reports).Draw(t, "order")
		order = append(order, rapid.SampledFrom(reports).Draw(t, "again"))
		r := &Router{}
		r.Sync([]fleet.Box{box(0)})
		for _, rep := range order {
			r.UpdateReport(epoch, "b0", rep)
		}
		if got := r.Snapshot()[0].Report.Running; got != best {
			t.Fatalf("ended with report %d of %d", got, best)
		}
	})
}

// A moment in which all upstreams fail does not empty a hall.
func TestEjectionLeavesMostInService(t *testing.T) {
	is := is.New(t)
	r := readyRouter(9, "v")
	for i := range 9 {
		for range 5 * ejectAfter {
			r.Done(epoch, box(i).Name, 1, DispatchResult{Failed: true})
		}
	}
	picked := map[string]bool{}
	for range 500 {
		u, err := r.Pick(epoch, Query{Service: "s", Digest: "v"})
		is.NoErr(err)
		r.Done(epoch, u.Box.Name, 1, DispatchResult{})
		picked[u.Box.Name] = true
	}
	is.True(len(picked) >= 6)
}

func TestPickLeavesOut(t *testing.T) {
	later := epoch.Add(10 * time.Second) // Past the slow start.
	cases := []struct {
		name string
		do   func(r *Router)
	}{
		{"draining", func(r *Router) { r.RecordRefusal("b0", 1, fault.Draining) }},
		{"not ready", func(r *Router) { r.RecordRefusal("b0", 1, fault.NotReady) }},
		{"disconnected", func(r *Router) { r.MarkDisconnected("b0") }},
		{"another version", func(r *Router) { r.UpdateReport(later, "b0", report("w", later)) }},
		{"no longer placed", func(r *Router) { r.Sync([]fleet.Box{box(1), box(2)}) }},
		{"repeated failures", func(r *Router) {
			for range ejectAfter {
				r.Done(later, "b0", 1, DispatchResult{Failed: true})
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := readyRouter(3, "v")
			tc.do(r)
			for range 200 {
				u, err := r.Pick(later, Query{Service: "s", Digest: "v"})
				is.NoErr(err)
				is.True(u.Box.Name != "b0")
				r.Done(later, u.Box.Name, 1, DispatchResult{})
			}
		})
	}
}

// Requests with the same prefix go to one upstream while it has capacity, and spill over when
// it has none.
func TestPrefixSpillsOver(t *testing.T) {
	is := is.New(t)
	later := epoch.Add(10 * time.Second)
	r := readyRouter(5, "v")
	q := Query{Service: "s", Digest: "v", Prefix: "the same beginning"}
	first, err := r.Pick(later, q)
	is.NoErr(err)
	r.Done(later, first.Box.Name, 1, DispatchResult{})
	used := map[string]int{}
	for range 30 {
		u, err := r.Pick(later, q)
		is.NoErr(err)
		used[u.Box.Name]++
	}
	is.True(used[first.Box.Name] >= 3)
	is.True(len(used) >= 4)
}

func TestPickWithoutReadyUpstream(t *testing.T) {
	is := is.New(t)
	_, err := (&Router{}).Pick(epoch, Query{Service: "s"})
	is.Equal(fault.CodeOf(err), fault.NoUpstream)
}
