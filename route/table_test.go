package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

var llm = config.Engine{
	Slots: 16, StepTime: 9 * time.Millisecond, PrefillRate: 20000, PrefillChunk: 2048, StepsPerPrefill: 5, MeanPromptTokens: 1000, MeanAnswerTokens: 90,
}

// newTable returns a table of n engines that hold version 1.
func newTable(n int) (*Table, map[string]fleet.Upstream) {
	ups := map[string]fleet.Upstream{}
	for i := range n {
		id := fmt.Sprint("e", i)
		ups[id] = fleet.Upstream{Incarnation: fleet.Incarnation{ID: id}, Service: "llm", Addr: id, Hall: "h", Engine: true, Version: 1, Slots: 16}
	}
	t := &Table{Hall: "h"}
	t.Sync(epoch, ups, map[string]config.Service{"llm": {Engine: llm}})
	return t, ups
}

func pickCounts(t *Table, now time.Time, crit Criteria) map[string]int {
	out := map[string]int{}
	for range 100 {
		c, err := t.Pick(now, crit)
		if err != nil {
			return out
		}
		out[c.ID]++
		t.Done(now, c.Reservation, RequestResult{})
	}
	return out
}

func TestTableLeavesOut(t *testing.T) {
	later := epoch.Add(time.Second)
	workload := Workload{PromptTokens: 1000, AnswerTokens: 90}
	cases := []struct {
		name string
		do   func(t *Table, ups map[string]fleet.Upstream)
		crit Criteria
	}{
		{"leaving", func(t *Table, _ map[string]fleet.Upstream) { t.MarkLeaving(fleet.Incarnation{ID: "e0"}, epoch) }, Criteria{}},
		{"listed as leaving", func(t *Table, ups map[string]fleet.Upstream) {
			u := ups["e0"]
			u.Leaving = true
			ups["e0"] = u
			t.Sync(epoch, ups, map[string]config.Service{"llm": {Engine: llm}})
		}, Criteria{}},
		{"changing version", func(t *Table, _ map[string]fleet.Upstream) {
			t.UpdateReport("e0", AgentReport{Version: 1, Changing: true, ReceivedAt: later})
		}, Criteria{}},
		{"reported to hold nothing, but listed with a version", func(t *Table, _ map[string]fleet.Upstream) {
			t.UpdateReport("e0", AgentReport{Version: 0, ReceivedAt: later})
		}, Criteria{}},
		{"another version", func(t *Table, _ map[string]fleet.Upstream) {
			t.UpdateReport("e0", AgentReport{Version: 2, ReceivedAt: later})
		}, Criteria{Version: 1}},
		{"excluded", func(*Table, map[string]fleet.Upstream) {}, Criteria{Exclude: map[string]bool{"e0": true}}},
		{"failed twice", func(t *Table, _ map[string]fleet.Upstream) {
			for range replicaEjectAfter {
				c, _ := t.Pick(later, Criteria{Service: "llm", Exclude: map[string]bool{"e1": true, "e2": true}})
				t.Done(later, c.Reservation, RequestResult{Failed: true})
			}
		}, Criteria{}},
		{"version about to expire", func(t *Table, _ map[string]fleet.Upstream) {
			for _, id := range []string{"e1", "e2"} {
				t.UpdateReport(id, AgentReport{Version: 2, ReceivedAt: later})
			}
		}, Criteria{LatestStart: func(v uint64) time.Time {
			if v < 2 {
				return later.Add(50 * time.Millisecond) // Too soon for it to start.
			}
			return time.Time{}
		}}},
	}
	cases = append(cases, struct {
		name string
		do   func(t *Table, ups map[string]fleet.Upstream)
		crit Criteria
	}{"slow link, version expires soon", func(t *Table, _ map[string]fleet.Upstream) {
		t.UpdateReport("e0", AgentReport{Version: 1, SlowLink: true, ReceivedAt: later})
		for _, id := range []string{"e1", "e2"} {
			t.UpdateReport(id, AgentReport{Version: 1, Queued: 5, ReceivedAt: later}) // The others are busier.
		}
	}, Criteria{LatestStart: func(uint64) time.Time { return later.Add(2 * time.Second) }}})
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, ups := newTable(3)
			tc.do(tb, ups)
			tc.crit.Service, tc.crit.Workload = "llm", workload
			got := pickCounts(tb, later, tc.crit)
			is.Equal(got["e0"], 0)
			is.True(got["e1"] > 0 && got["e2"] > 0)
		})
	}
}

// If all other replicas are unavailable or full, a replica whose agent has stopped reporting
// looks idle, and its link may be the cause. Near the end of its version's time it is avoided
// earlier.
func TestSilentAgentNearTheEndOfAVersion(t *testing.T) {
	is := is.New(t)
	tb, _ := newTable(1)
	now := epoch.Add(5 * time.Second)
	crit := Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}, LatestStart: func(uint64) time.Time { return now.Add(2 * time.Second) }}
	for _, age := range []time.Duration{2 * time.Second, 10 * time.Second} {
		tb.UpdateReport("e0", AgentReport{Version: 1, ReceivedAt: now.Add(-age)})
		_, err := tb.Pick(now, crit)
		is.Equal(fault.CodeOf(err), fault.NoUpstream)
	}
	tb.UpdateReport("e0", AgentReport{Version: 1, ReceivedAt: now})
	_, err := tb.Pick(now, crit)
	is.NoErr(err)
}

// Weights that are sent to a box may queue ahead of a request if the box's link narrows. Near
// the end of its version's time the replica there is avoided earlier, but not long before.
func TestBoxThatReceivesNearTheEndOfAVersion(t *testing.T) {
	now := epoch.Add(5 * time.Second)
	for _, tc := range []struct {
		name      string
		receiving bool
		left      time.Duration // Time to the latest start.
		want      fault.Code
	}{
		{"no transfer", false, 550 * time.Millisecond, ""},
		{"transfer", true, 550 * time.Millisecond, fault.NoUpstream},
		{"transfer, enough time", true, 2 * time.Second, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := newTable(1)
			tb.UpdateReport("e0", AgentReport{Version: 1, ReceivingWeights: tc.receiving, ReceivedAt: now})
			_, err := tb.Pick(now, Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}, LatestStart: func(uint64) time.Time { return now.Add(tc.left) }})
			is.Equal(fault.CodeOf(err), tc.want)
		})
	}
}

// A replica that has just become available looks best to every gateway, but must not be given
// much more than its share of the requests until agents report what it has.
func TestReplicaThatComesBackIsNotOverrun(t *testing.T) {
	is := is.New(t)
	const tables, replicas, requests = 1000, 16, 6 // Requests of one gateway before the next report arrives.
	now := epoch.Add(time.Minute)
	got := 0
	for range tables {
		tb, _ := newTable(replicas)
		for i := range replicas {
			id := fmt.Sprint("e", i)
			tb.UpdateReport(id, AgentReport{Version: 1, Running: 10, Changing: i == 0, ReceivedAt: now.Add(-time.Second)})
			tb.UpdateReport(id, AgentReport{Version: 1, Running: 10 * min(1, i), ReceivedAt: now})
		}
		for range requests {
			c, err := tb.Pick(now.Add(10*time.Millisecond), Criteria{Service: "llm", Workload: Workload{PromptTokens: 900, AnswerTokens: 100}})
			is.NoErr(err)
			if c.ID == "e0" {
				got++
			}
		}
	}
	share := float64(got) / (tables * requests) // An even share is 1/16; without the ramp-up the replica gets 1/8.
	is.True(share > 0.01)
	is.True(share < 0.08)
}

// A request that gets no first event from a replica raises the replica's expected latency to
// the time waited so far, at once rather than after many samples.
func TestSilenceCountsAtOnce(t *testing.T) {
	is := is.New(t)
	tb, _ := newTable(3)
	crit := Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}}
	c, err := tb.Pick(epoch, crit)
	is.NoErr(err)
	later := epoch.Add(2 * time.Second)
	for i := range 3 {
		rep := AgentReport{Version: 1, Queued: 4, ReceivedAt: later.Add(-time.Second)}
		id := fmt.Sprint("e", i)
		if id == c.ID {
			rep.Queued = 0 // The silent one seems to be idle.
		}
		tb.UpdateReport(id, rep)
	}
	got := pickCounts(tb, later, crit)
	is.Equal(got[c.ID], 0)
	tb.RecordFirstEvent(later, c.Reservation, 2*time.Second, c.Predicted)
	tb.Done(later, c.Reservation, RequestResult{})
}

// Load is counted in prompt tokens: after a large prompt, the next requests go elsewhere.
func TestPromptsAreCountedInTokens(t *testing.T) {
	is := is.New(t)
	tb, _ := newTable(2)
	big, err := tb.Pick(epoch, Criteria{Service: "llm", Workload: Workload{PromptTokens: 8000}})
	is.NoErr(err)
	for range 3 {
		c, err := tb.Pick(epoch, Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}})
		is.NoErr(err)
		is.True(c.ID != big.ID)
	}
}

// Whatever the order of events, reservations are released, and replicas that disappear from the
// list and reappear do not affect open reservations.
func TestReservationsAreReleased(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, ups := newTable(4)
		services := map[string]config.Service{"llm": {Engine: llm}}
		now := epoch
		var open []Choice
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				if c, err := tb.Pick(now, Criteria{Service: "llm", Workload: Workload{PromptTokens: rapid.IntRange(0, 4000).Draw(rt, "prompt")}}); err == nil {
					open = append(open, c)
				}
			case 2:
				if len(open) > 0 {
					c := open[0]
					open = open[1:]
					if rapid.Bool().Draw(rt, "first") {
						tb.RecordFirstEvent(now, c.Reservation, time.Millisecond, c.Predicted)
					}
					tb.Done(now, c.Reservation, RequestResult{Failed: rapid.Bool().Draw(rt, "failed")})
				}
			case 3:
				fewer := map[string]fleet.Upstream{}
				for id, u := range ups {
					if rapid.Bool().Draw(rt, "kept") {
						fewer[id] = u
					}
				}
				tb.Sync(now, fewer, services)
			case 4:
				tb.Sync(now, ups, services)
			}
		}
		for _, c := range open {
			tb.Done(now, c.Reservation, RequestResult{})
		}
		for id, r := range tb.replicas {
			if r.prefilling != 0 || r.decoding != 0 || r.prefillTokens != 0 {
				rt.Fatalf("%s: %d reading, %d writing, %d tokens left", id, r.prefilling, r.decoding, r.prefillTokens)
			}
		}
	})
}

// A replica that disappears from the list without leaving is still used for a while if it is
// active, and its requests in flight still count. A replica that is leaving or silent is not
// used.
func TestLapsedReplicaIsUsedWhileItLives(t *testing.T) {
	cases := []struct {
		name      string
		reportAge time.Duration // Age of the agent's report; negative for none.
		leaves    bool
		after     time.Duration // Since it disappeared from the list.
		used      bool
	}{
		{"active", 0, false, 500 * time.Millisecond, true},
		{"grace period over", 0, false, 1300 * time.Millisecond, false},
		{"leaving", 0, true, 500 * time.Millisecond, false},
		{"agent silent", 2 * time.Second, false, 500 * time.Millisecond, false},
		{"no agent report", -1, false, 500 * time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, ups := newTable(1)
			tb.DelistGrace = 1200 * time.Millisecond
			services := map[string]config.Service{"llm": {Engine: llm}}
			if tc.reportAge >= 0 {
				tb.UpdateReport(ups["e0"].Addr, AgentReport{Version: 1, ReceivedAt: epoch.Add(-tc.reportAge)})
			}
			if tc.leaves {
				tb.MarkLeaving(fleet.Incarnation{ID: "e0"}, epoch)
			}
			before, err := tb.Pick(epoch, Criteria{Service: "llm"})
			is.Equal(err != nil, tc.leaves)
			tb.Sync(epoch, nil, services)
			now := epoch.Add(tc.after)
			got, err := tb.Pick(now, Criteria{Service: "llm"})
			is.Equal(err == nil, tc.used)
			if tc.used {
				is.True(got.Predicted > before.Predicted) // The request in flight counts.
			}
			tb.Sync(now, ups, services)
			is.Equal(tb.InUse(fleet.Incarnation{ID: "e0"}, now), !tc.leaves) // A leaving replica stays so however often it is listed.
		})
	}
}

// A request to a replica whose version expires gets a deadline that keeps it from starting
// late, if its whole answer is predicted to end by then; otherwise it keeps the caller's
// deadline, so that its answer is not cut off. A slow replica gets no request that may wait
// past that time.
func TestDeadlineAtAReplicaWhoseVersionEnds(t *testing.T) {
	now := epoch.Add(5 * time.Second)
	for _, tc := range []struct {
		name      string
		maxAnswer int // Tokens of the answer.
		slowdown  float64
		expires   bool          // A newer version was requested.
		left      time.Duration // Time to the latest start.
		deadline  bool
		want      fault.Code
	}{
		{"no end", 90, 1, false, 0, false, ""},
		{"answer ends in time", 90, 1, true, 900 * time.Millisecond, true, ""},
		{"answer does not end in time", 300, 1, true, 900 * time.Millisecond, false, ""},
		{"slow, answer ends in time", 90, 2, true, 5 * time.Second, true, ""},
		{"slow, answer does not end in time", 90, 2, true, 900 * time.Millisecond, false, fault.NoUpstream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := newTable(1)
			tb.UpdateReport("e0", AgentReport{Version: 1, Slowdown: tc.slowdown, ReceivedAt: now})
			bound, until := time.Time{}, time.Time{}
			if tc.expires {
				bound, until = now.Add(tc.left), now.Add(tc.left+600*time.Millisecond)
			}
			c, err := tb.Pick(now, Criteria{
				Service: "llm", Workload: Workload{PromptTokens: 100, AnswerTokens: 50, MaxAnswerTokens: tc.maxAnswer},
				LatestStart: func(uint64) time.Time { return bound }, LatestDeadline: func(uint64) time.Time { return until },
			})
			is.Equal(fault.CodeOf(err), tc.want)
			if tc.deadline {
				is.Equal(c.Deadline, until)
			} else {
				is.True(c.Deadline.IsZero())
			}
		})
	}
}
