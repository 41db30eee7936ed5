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
	Slots: 16, Step: 9 * time.Millisecond, ReadRate: 20000, Chunk: 2048, Stride: 5, UsualPrompt: 1000, UsualAnswer: 90,
}

// table returns a table of n engines that hold version 1.
func table(n int) (*Table, map[string]fleet.Upstream) {
	ups := map[string]fleet.Upstream{}
	for i := range n {
		id := fmt.Sprint("e", i)
		ups[id] = fleet.Upstream{Incarnation: fleet.Incarnation{ID: id}, Service: "llm", Addr: id, Hall: "h", Engine: true, Version: 1, Slots: 16}
	}
	t := &Table{Hall: "h"}
	t.Sync(epoch, ups, map[string]config.Service{"llm": {Engine: llm}})
	return t, ups
}

func picks(t *Table, now time.Time, a Criteria) map[string]int {
	out := map[string]int{}
	for range 100 {
		c, err := t.Pick(now, a)
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
	work := Workload{PromptTokens: 1000, AnswerTokens: 90}
	cases := []struct {
		name string
		do   func(t *Table, ups map[string]fleet.Upstream)
		ask  Criteria
	}{
		{"one that leaves", func(t *Table, _ map[string]fleet.Upstream) { t.MarkLeaving(fleet.Incarnation{ID: "e0"}, epoch) }, Criteria{}},
		{"one that is listed as leaving", func(t *Table, ups map[string]fleet.Upstream) {
			u := ups["e0"]
			u.Leaving = true
			ups["e0"] = u
			t.Sync(epoch, ups, map[string]config.Service{"llm": {Engine: llm}})
		}, Criteria{}},
		{"one that changes its version", func(t *Table, _ map[string]fleet.Upstream) {
			t.UpdateReport("e0", AgentReport{Version: 1, Changing: true, ReceivedAt: later})
		}, Criteria{}},
		{"one that holds nothing, whatever the list says", func(t *Table, _ map[string]fleet.Upstream) {
			t.UpdateReport("e0", AgentReport{Version: 0, ReceivedAt: later})
		}, Criteria{}},
		{"one of another version", func(t *Table, _ map[string]fleet.Upstream) {
			t.UpdateReport("e0", AgentReport{Version: 2, ReceivedAt: later})
		}, Criteria{Version: 1}},
		{"one that was tried", func(*Table, map[string]fleet.Upstream) {}, Criteria{Exclude: map[string]bool{"e0": true}}},
		{"one that failed twice", func(t *Table, _ map[string]fleet.Upstream) {
			for range directAfter {
				c, _ := t.Pick(later, Criteria{Service: "llm", Exclude: map[string]bool{"e1": true, "e2": true}})
				t.Done(later, c.Reservation, RequestResult{Failed: true})
			}
		}, Criteria{}},
		{"one whose version is overdue", func(t *Table, _ map[string]fleet.Upstream) {
			for _, id := range []string{"e1", "e2"} {
				t.UpdateReport(id, AgentReport{Version: 2, ReceivedAt: later})
			}
		}, Criteria{LatestStart: func(v uint64) time.Time {
			if v < 2 {
				return later.Add(50 * time.Millisecond) // It could not begin by then.
			}
			return time.Time{}
		}}},
	}
	cases = append(cases, struct {
		name string
		do   func(t *Table, ups map[string]fleet.Upstream)
		ask  Criteria
	}{"one behind a slow link whose version is overdue soon", func(t *Table, _ map[string]fleet.Upstream) {
		t.UpdateReport("e0", AgentReport{Version: 1, SlowLink: true, ReceivedAt: later})
		for _, id := range []string{"e1", "e2"} {
			t.UpdateReport(id, AgentReport{Version: 1, Queued: 5, ReceivedAt: later}) // They have more to do.
		}
	}, Criteria{LatestStart: func(uint64) time.Time { return later.Add(2 * time.Second) }}})
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, ups := table(3)
			tc.do(tb, ups)
			tc.ask.Service, tc.ask.Workload = "llm", work
			got := picks(tb, later, tc.ask)
			is.Equal(got["e0"], 0)
			is.True(got["e1"] > 0 && got["e2"] > 0)
		})
	}
}

// Where all others are away or full, a replica whose agent fell silent looks idle, and
// its link may be why: near the end of its version's time it is left alone sooner.
func TestSilentAgentNearTheEndOfAVersion(t *testing.T) {
	is := is.New(t)
	tb, _ := table(1)
	now := epoch.Add(5 * time.Second)
	ask := Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}, LatestStart: func(uint64) time.Time { return now.Add(2 * time.Second) }}
	for _, age := range []time.Duration{2 * time.Second, 10 * time.Second} {
		tb.UpdateReport("e0", AgentReport{Version: 1, ReceivedAt: now.Add(-age)})
		_, err := tb.Pick(now, ask)
		is.Equal(fault.CodeOf(err), fault.NoUpstream)
	}
	tb.UpdateReport("e0", AgentReport{Version: 1, ReceivedAt: now})
	_, err := tb.Pick(now, ask)
	is.NoErr(err)
}

// Weights that are on their way to a box may lie before a request if its link narrows: near
// the end of its version's time the replica there is left alone sooner, and not long before.
func TestBoxThatReceivesNearTheEndOfAVersion(t *testing.T) {
	now := epoch.Add(5 * time.Second)
	for _, tc := range []struct {
		name   string
		moving bool
		left   time.Duration // Until the bound.
		want   fault.Code
	}{
		{"nothing moves", false, 550 * time.Millisecond, ""},
		{"weights move", true, 550 * time.Millisecond, fault.NoUpstream},
		{"weights move, there is time", true, 2 * time.Second, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := table(1)
			tb.UpdateReport("e0", AgentReport{Version: 1, ReceivingWeights: tc.moving, ReceivedAt: now})
			_, err := tb.Pick(now, Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}, LatestStart: func(uint64) time.Time { return now.Add(tc.left) }})
			is.Equal(fault.CodeOf(err), tc.want)
		})
	}
}

// One that has just come back looks best to every gateway, but is not given more than
// about its share of the requests until agents tell of what it has.
func TestReplicaThatComesBackIsNotOverrun(t *testing.T) {
	is := is.New(t)
	const tables, replicas, asked = 1000, 16, 6 // Requests of a gateway within the time that a word takes.
	now := epoch.Add(time.Minute)
	got := 0
	for range tables {
		tb, _ := table(replicas)
		for i := range replicas {
			id := fmt.Sprint("e", i)
			tb.UpdateReport(id, AgentReport{Version: 1, Running: 10, Changing: i == 0, ReceivedAt: now.Add(-time.Second)})
			tb.UpdateReport(id, AgentReport{Version: 1, Running: 10 * min(1, i), ReceivedAt: now})
		}
		for range asked {
			c, err := tb.Pick(now.Add(10*time.Millisecond), Criteria{Service: "llm", Workload: Workload{PromptTokens: 900, AnswerTokens: 100}})
			is.NoErr(err)
			if c.ID == "e0" {
				got++
			}
		}
	}
	share := float64(got) / (tables * asked) // Of all it has a sixteenth; without the guard it gets an eighth.
	is.True(share > 0.01)
	is.True(share < 0.08)
}

// A replica that gives no sign of a request is expected to take at least as long
// as it has been silent, at once and not after many samples.
func TestSilenceCountsAtOnce(t *testing.T) {
	is := is.New(t)
	tb, _ := table(3)
	a := Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}}
	c, err := tb.Pick(epoch, a)
	is.NoErr(err)
	later := epoch.Add(2 * time.Second)
	for i := range 3 {
		if id := fmt.Sprint("e", i); id != c.ID {
			tb.UpdateReport(id, AgentReport{Version: 1, Queued: 4, ReceivedAt: later}) // They have more to do.
		}
	}
	got := picks(tb, later, a)
	is.Equal(got[c.ID], 0)
	tb.RecordFirstEvent(later, c.Reservation, 2*time.Second, c.Predicted)
	tb.Done(later, c.Reservation, RequestResult{})
}

// Big prompts count for what they are: the next request goes elsewhere.
func TestPromptsAreCountedInTokens(t *testing.T) {
	is := is.New(t)
	tb, _ := table(2)
	big, err := tb.Pick(epoch, Criteria{Service: "llm", Workload: Workload{PromptTokens: 8000}})
	is.NoErr(err)
	for range 3 {
		c, err := tb.Pick(epoch, Criteria{Service: "llm", Workload: Workload{PromptTokens: 100}})
		is.NoErr(err)
		is.True(c.ID != big.ID)
	}
}

// Whatever comes in which order, places at replicas are given back, and a list
// that loses a replica and has it again does not upset those that are out.
func TestPlacesAreGivenBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, ups := table(4)
		services := map[string]config.Service{"llm": {Engine: llm}}
		now := epoch
		var out []Choice
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				if c, err := tb.Pick(now, Criteria{Service: "llm", Workload: Workload{PromptTokens: rapid.IntRange(0, 4000).Draw(rt, "prompt")}}); err == nil {
					out = append(out, c)
				}
			case 2:
				if len(out) > 0 {
					c := out[0]
					out = out[1:]
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
		for _, c := range out {
			tb.Done(now, c.Reservation, RequestResult{})
		}
		for id, r := range tb.replicas {
			if r.reading != 0 || r.writing != 0 || r.prompts != 0 {
				rt.Fatalf("%s: %d reading, %d writing, %d tokens left", id, r.reading, r.writing, r.prompts)
			}
		}
	})
}

// A replica that vanishes from the list without leaving is used for a while if it
// shows life, with what is in flight there still known; one that leaves or is silent
// is not.
func TestLapsedReplicaIsUsedWhileItLives(t *testing.T) {
	cases := []struct {
		name   string
		word   time.Duration // How old its agent's word is; negative for none.
		leaves bool
		after  time.Duration // Since it vanished.
		used   bool
	}{
		{"lives", 0, false, 500 * time.Millisecond, true},
		{"for too long", 0, false, 1300 * time.Millisecond, false},
		{"was told to leave", 0, true, 500 * time.Millisecond, false},
		{"its agent is silent", 2 * time.Second, false, 500 * time.Millisecond, false},
		{"nobody told of it", -1, false, 500 * time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, ups := table(1)
			tb.DelistGrace = 1200 * time.Millisecond
			services := map[string]config.Service{"llm": {Engine: llm}}
			if tc.word >= 0 {
				tb.UpdateReport(ups["e0"].Addr, AgentReport{Version: 1, ReceivedAt: epoch.Add(-tc.word)})
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
				is.True(got.Predicted > before.Predicted) // The one in flight counts.
			}
			tb.Sync(now, ups, services)
			is.Equal(tb.InUse(fleet.Incarnation{ID: "e0"}, now), !tc.leaves) // What leaves does so however often it is listed.
		})
	}
}

// A request to a replica whose version's time ends is given a deadline by which it cannot begin
// late, if its whole answer is predicted by then; one that would be cut has its caller's. A
// replica that works slower than it should is sent none that may wait past that time.
func TestDeadlineAtAReplicaWhoseVersionEnds(t *testing.T) {
	now := epoch.Add(5 * time.Second)
	for _, tc := range []struct {
		name  string
		most  int // Tokens of the answer.
		pace  float64
		ends  bool          // Another version was named.
		left  time.Duration // Until requests may not begin.
		endBy bool
		want  fault.Code
	}{
		{"no end", 90, 1, false, 0, false, ""},
		{"whole by then", 90, 1, true, 900 * time.Millisecond, true, ""},
		{"not whole by then", 300, 1, true, 900 * time.Millisecond, false, ""},
		{"slow, and whole by then", 90, 2, true, 5 * time.Second, true, ""},
		{"slow, and not whole by then", 90, 2, true, 900 * time.Millisecond, false, fault.NoUpstream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := table(1)
			tb.UpdateReport("e0", AgentReport{Version: 1, Slowdown: tc.pace, ReceivedAt: now})
			bound, until := time.Time{}, time.Time{}
			if tc.ends {
				bound, until = now.Add(tc.left), now.Add(tc.left+600*time.Millisecond)
			}
			c, err := tb.Pick(now, Criteria{
				Service: "llm", Workload: Workload{PromptTokens: 100, AnswerTokens: 50, MaxAnswerTokens: tc.most},
				LatestStart: func(uint64) time.Time { return bound }, LatestDeadline: func(uint64) time.Time { return until },
			})
			is.Equal(fault.CodeOf(err), tc.want)
			if tc.endBy {
				is.Equal(c.Deadline, until)
			} else {
				is.True(c.Deadline.IsZero())
			}
		})
	}
}
