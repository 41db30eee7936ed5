package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
)

// newHalls returns a table of a gateway in hall h with n engines there and m in another hall, named
// e0, e1 and so on, and f0, f1 and so on. All hold version 1 and were reported at epoch with a load.
func newHalls(n, m int, load AgentReport) *Table {
	ups := map[string]fleet.Upstream{}
	add := func(id, hall string) {
		ups[id] = fleet.Upstream{Incarnation: fleet.Incarnation{ID: id}, Service: "llm", Addr: id, Hall: hall, Engine: true, Version: 1, Slots: 16}
	}
	for i := range n {
		add(fmt.Sprint("e", i), "h")
	}
	for i := range m {
		add(fmt.Sprint("f", i), "other")
	}
	t := &Table{Hall: "h", Gateway: "g"}
	t.Sync(epoch, ups, map[string]config.Service{"llm": {Engine: llm}})
	load.Version, load.ReceivedAt = 1, epoch
	for id := range ups {
		t.UpdateReport(id, load)
		t.replicas[id].availableSince = time.Time{} // It has been available for long.
	}
	return t
}

// answer stores an answer for each query of a draw. load returns it, and whether there is one.
func answer(t *Table, now time.Time, d *Draw, load func(id string) (AgentReport, bool)) {
	for _, q := range d.Queries {
		if rep, ok := load(q.ID); ok {
			rep.Version, rep.ReceivedAt = 1, now
			t.RecordLoad(d, q, rep)
		}
	}
}

var prompt = Workload{PromptTokens: 500, AnswerTokens: 90}

// crit returns the criteria of a request in these tests.
func crit() Criteria { return Criteria{Service: "llm", Workload: prompt} }

// Gateways must keep connections to few agents however many replicas there are, and must not query
// agents whose replicas could not take the request, or whose load was just read.
func TestWhoIsQueried(t *testing.T) {
	now := epoch.Add(300 * time.Millisecond)
	many := func(*Table) {}
	for name, tc := range map[string]struct {
		replicas int
		do       func(t *Table)
		crit     Criteria
		queries  int // For each draw.
		subset   int // Replicas that are queried over many draws.
	}{
		"large hall": {200, many, Criteria{}, 3, 12},
		"large hall, half of it about to switch versions": {200, func(t *Table) {
			for i := range 100 {
				t.UpdateReport(fmt.Sprint("e", i), AgentReport{Version: 1, Changing: true, ReceivedAt: now})
			}
		}, Criteria{}, 3, 12},
		"small hall":      {5, many, Criteria{}, 3, 5},
		"one replica":     {1, many, Criteria{}, 1, 1},
		"other version":   {5, many, Criteria{Version: 2}, 0, 0},
		"excluded":        {4, many, Criteria{Exclude: map[string]bool{"e0": true, "e1": true}}, 2, 2},
		"no hall allowed": {5, many, Criteria{AllowsHall: func(string) bool { return false }}, 0, 0},
		"leaving":         {4, func(t *Table) { t.MarkLeaving(fleet.Incarnation{ID: "e0"}, epoch) }, Criteria{}, 3, 3},
		"backing off": {3, func(t *Table) {
			t.MarkBackoff(fleet.Incarnation{ID: "e0"}, epoch, now.Add(time.Second))
		}, Criteria{}, 2, 2},
		"changing": {3, func(t *Table) {
			t.UpdateReport("e0", AgentReport{Version: 1, Changing: true, ReceivedAt: now})
		}, Criteria{}, 2, 2},
		"drained hall": {3, func(t *Table) { t.SetDrainedHalls(epoch, map[string]bool{"h": true}) }, Criteria{}, 0, 0},
		"just read": {3, func(t *Table) {
			answer(t, now.Add(-15*time.Millisecond), t.Draw(now, crit(), 20), func(string) (AgentReport, bool) { return AgentReport{}, true })
		}, Criteria{}, 0, 0},
		"read before": {3, func(t *Table) {
			answer(t, now.Add(-25*time.Millisecond), t.Draw(now, crit(), 20), func(string) (AgentReport, bool) { return AgentReport{}, true })
		}, Criteria{}, 3, 3},
		"timed out": {3, func(t *Table) {
			t.RecordNoLoad(t.Draw(now, crit(), 20).Queries[0], now.Add(time.Millisecond))
		}, Criteria{}, 2, 2},
		"time-out over": {3, func(t *Table) { t.RecordNoLoad(t.Draw(now, crit(), 20).Queries[0], now) }, Criteria{}, 3, 3},
		"unsupported": {3, func(t *Table) {
			d := t.Draw(now, crit(), 20)
			t.RecordReportOnly(d, d.Queries[0], now.Add(time.Millisecond))
		}, Criteria{}, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newHalls(tc.replicas, 4, AgentReport{})
			tc.do(tb)
			tc.crit.Service, tc.crit.Workload = "llm", prompt
			queried := map[string]bool{}
			for range 200 {
				d := tb.Draw(now, tc.crit, 20)
				n := 0
				if d != nil {
					n = len(d.Queries)
					for _, q := range d.Queries {
						queried[q.ID] = true
						is.Equal(q.ID[0], byte('e')) // Other halls are too far away.
					}
				}
				is.Equal(n, tc.queries)
			}
			is.Equal(len(queried), tc.subset)
		})
	}
}

// Gateways with the same list must read the load of different replicas, so that all are covered.
func TestSubsetsDifferByGateway(t *testing.T) {
	is := is.New(t)
	covered := map[string]int{}
	for i := range 17 {
		tb := newHalls(20, 0, AgentReport{})
		tb.Gateway = fmt.Sprint("g", i)
		for _, r := range tb.subset(epoch, tb.ranking("llm"), crit()) {
			covered[r.ID]++
		}
	}
	is.Equal(len(covered), 20)
	for _, n := range covered {
		is.True(n >= 4) // 10 on average.
	}
}

// picks counts the choices among replicas by ID. Each time, load returns the answer of an agent,
// if there is one.
func picks(t *Table, now time.Time, c Criteria, gateways int, load func(id string) (AgentReport, bool)) map[string]int {
	out := map[string]int{}
	for range 200 {
		for _, r := range t.replicas {
			r.loadReadAt = time.Time{} // Each choice reads the load again.
		}
		c.Draw = t.Draw(now, c, gateways)
		if c.Draw != nil {
			answer(t, now, c.Draw, load)
		}
		got, err := t.Pick(now, c)
		if err != nil {
			return out
		}
		out[got.ID]++
		t.Done(now, got.Reservation, RequestResult{})
	}
	return out
}

// The choice among replicas of the own hall must rest on the answers: reports say nothing of a load
// or a slowdown that began since. A replica that did not answer may be unreachable.
func TestAnswersDecide(t *testing.T) {
	now := epoch.Add(300 * time.Millisecond)
	idle, busy, slow := AgentReport{}, AgentReport{Running: 16, Queued: 6}, AgentReport{Slowdown: 2.5}
	for name, tc := range map[string]struct {
		reported AgentReport
		load     func(id string) (AgentReport, bool)
		chosen   map[string]bool // Every replica that may be chosen; each is.
	}{
		"one is idle": {busy, func(id string) (AgentReport, bool) {
			if id == "e1" {
				return idle, true
			}
			return busy, true
		}, map[string]bool{"e1": true}},
		"one has become slow": {idle, func(id string) (AgentReport, bool) {
			if id == "e1" {
				return slow, true
			}
			return idle, true
		}, map[string]bool{"e0": true, "e2": true}},
		"one does not answer": {idle, func(id string) (AgentReport, bool) { return AgentReport{Running: 4}, id != "e1" }, map[string]bool{"e0": true, "e2": true}},
		"none answers":        {idle, func(string) (AgentReport, bool) { return idle, false }, map[string]bool{"e0": true, "e1": true, "e2": true}},
		"one is changing":     {idle, func(id string) (AgentReport, bool) { return AgentReport{Changing: id == "e1"}, true }, map[string]bool{"e0": true, "e2": true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := picks(newHalls(3, 0, tc.reported), now, crit(), 20, tc.load)
			chosen := map[string]bool{}
			for id := range got {
				chosen[id] = true
			}
			is.Equal(chosen, tc.chosen)
		})
	}
}

// While agents are replaced by a newer build one by one, replicas of older ones must not be left
// out: the few others would get all requests, however busy they are.
func TestReplicasWithoutQueriesKeepTheirShare(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(300 * time.Millisecond)
	tb := newHalls(8, 0, AgentReport{Running: 4})
	busy := AgentReport{Version: 1, Running: 16, Queued: 6, ReceivedAt: now}
	tb.UpdateReport("e0", busy)
	got := map[string]int{}
	for range 400 {
		c := crit()
		c.Draw = tb.Draw(now, c, 20)
		for _, q := range c.Draw.Queries {
			if q.ID == "e0" {
				tb.RecordLoad(c.Draw, q, busy)
			} else {
				tb.RecordReportOnly(c.Draw, q, now.Add(time.Second))
			}
		}
		choice, err := tb.Pick(now, c)
		is.NoErr(err)
		got[choice.ID]++
		tb.Done(now, choice.Reservation, RequestResult{})
	}
	is.Equal(got["e0"], 0)
	is.Equal(len(got), 7)

	// That holds from the first query on.
	for range 20 {
		tb := newHalls(3, 0, AgentReport{})
		c := crit()
		c.Draw = tb.Draw(now, c, 20)
		for _, q := range c.Draw.Queries {
			if q.ID == "e0" {
				tb.RecordLoad(c.Draw, q, busy)
			} else {
				tb.RecordReportOnly(c.Draw, q, now.Add(time.Second))
			}
		}
		choice, err := tb.Pick(now, c)
		is.NoErr(err)
		is.True(choice.ID != "e0")
	}
}

// Where subsets are too small for all replicas of the hall to be in some, those that are in none
// must get requests as well.
func TestReplicasOutsideAllSubsets(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(300 * time.Millisecond)
	busy := func(string) (AgentReport, bool) { return AgentReport{Running: 16, Queued: 6}, true }
	got := picks(newHalls(100, 0, AgentReport{}), now, crit(), 3, busy)
	is.True(len(got) > 12)
	got = picks(newHalls(100, 0, AgentReport{}), now, crit(), 50, busy)
	is.True(len(got) <= 12) // Other gateways read the load of the others.
}

// A report of another hall may be over a second old. Its replica may be as busy as then, or slower:
// it must not be preferred to one whose load was just read because the reported load counts less
// with time. But it takes requests when the own hall is clearly slower.
func TestStaleReportDoesNotLookIdle(t *testing.T) {
	for name, tc := range map[string]struct {
		reported AgentReport // Of all replicas, by reports.
		answered AgentReport // Of those of the own hall, by answers.
		age      time.Duration
		spills   bool
	}{
		"same load":                 {AgentReport{Running: 8, Queued: 2}, AgentReport{Running: 8, Queued: 2}, 1200 * time.Millisecond, false},
		"slightly less load":        {AgentReport{Running: 6}, AgentReport{Running: 8}, 1200 * time.Millisecond, false},
		"slightly faster":           {AgentReport{Running: 8}, AgentReport{Running: 8, Slowdown: 1.25}, 1200 * time.Millisecond, false},
		"far less load":             {AgentReport{Running: 2}, AgentReport{Running: 16, Queued: 8}, 1200 * time.Millisecond, true},
		"own hall has become slow":  {AgentReport{Running: 2}, AgentReport{Running: 8, Slowdown: 4}, 200 * time.Millisecond, true},
		"reported as full long ago": {AgentReport{Running: 16, Queued: 8}, AgentReport{Running: 16, Queued: 6}, 1200 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			got := picks(newHalls(4, 4, tc.reported), epoch.Add(tc.age), crit(), 20, func(string) (AgentReport, bool) { return tc.answered, true })
			elsewhere := 0
			for id, n := range got {
				if id[0] == 'f' {
					elsewhere += n
				}
			}
			is.New(t).Equal(elsewhere > 0, tc.spills)
		})
	}
}

// Before a gateway refuses requests because its own replicas are full, it must send them to those of
// other halls that have room, and to its own again as soon as these have. A replica that had room a
// second ago in a full hall has been sent requests by others since.
func TestFullHallSpillsBeforeItRefuses(t *testing.T) {
	const others = 30
	full, room := AgentReport{Running: 16, Queued: 20}, AgentReport{Running: 10, Queued: 1}
	for name, tc := range map[string]struct {
		own      AgentReport   // Load that all replicas of the own hall answer with.
		withRoom int           // Replicas of the other hall that have room by their reports.
		age      time.Duration // Of these reports.
		want     map[string]int
	}{
		"both have room":                 {room, others, time.Second, map[string]int{"own": 200}},
		"only the own hall has room":     {room, 0, time.Second, map[string]int{"own": 200}},
		"only the other hall has room":   {full, others, time.Second, map[string]int{"other": 200}},
		"one replica elsewhere has room": {full, 1, 50 * time.Millisecond, map[string]int{"other": 200}},
		"one replica elsewhere had room": {full, 1, 1200 * time.Millisecond, map[string]int{"refused": 200}},
		"all are full":                   {full, 0, time.Second, map[string]int{"refused": 200}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newHalls(4, others, full)
			for i := range tc.withRoom {
				rep := room
				rep.Version, rep.ReceivedAt = 1, epoch
				tb.UpdateReport(fmt.Sprint("f", i), rep)
			}
			now := epoch.Add(tc.age)
			c := crit()
			c.MaxWait = 200 * time.Millisecond
			got := map[string]int{}
			for range 200 {
				c.Draw = tb.Draw(now, c, 20)
				answer(tb, now, c.Draw, func(string) (AgentReport, bool) { return tc.own, true })
				choice, err := tb.Pick(now, c)
				is.NoErr(err)
				switch {
				case choice.QueueWait > c.MaxWait:
					got["refused"]++
				case choice.Hall == tb.Hall:
					got["own"]++
				default:
					got["other"]++
				}
				tb.Done(now, choice.Reservation, RequestResult{})
			}
			is.Equal(got, tc.want)
		})
	}
}

// An answer does not contain the requests that the gateway sends while it is under way. They must
// be added to it, and those that it contains must not count twice.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		before, during int // Requests of this gateway by when they were sent, relative to the query.
		answered       int // Requests in the answer.
		others         float64
	}{
		"none":        {0, 0, 5, 5},
		"sent before": {3, 0, 5, 2},
		"sent during": {0, 3, 5, 5},
		"both":        {2, 1, 5, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := epoch.Add(time.Second)
			tb := newHalls(1, 0, AgentReport{})
			send := func(n int) {
				for range n {
					_, err := tb.Pick(now, crit())
					is.NoErr(err)
				}
			}
			send(tc.before)
			d := tb.Draw(now, crit(), 20)
			send(tc.during)
			answer(tb, now, d, func(string) (AgentReport, bool) { return AgentReport{Running: tc.answered}, true })
			_, running := tb.replicas["e0"].otherLoad(now)
			is.Equal(running, tc.others)
		})
	}
}

// Reports tell of a slowdown late, so the ratio of measured to predicted times includes it. An
// answer that tells of the same slowdown must not be corrected by that ratio as well.
func TestSlownessCountsOnce(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(200 * time.Millisecond)
	tb := newHalls(1, 0, AgentReport{})
	serve := func(c Criteria, slowdown float64, then func()) Choice {
		choice, err := tb.Pick(now, c)
		is.NoErr(err)
		then()
		tb.RecordFirstEvent(now, choice.Reservation, time.Duration(slowdown*float64(choice.Predicted)), choice.Predicted)
		tb.Done(now, choice.Reservation, RequestResult{})
		return choice
	}
	usual, err := tb.Pick(now, crit())
	is.NoErr(err)
	tb.Done(now, usual.Reservation, RequestResult{})
	for range 20 {
		serve(crit(), 1.3, func() {})
	}
	is.True(tb.replicas["e0"].latencyRatio > 2)

	read := func(slowdown float64) Criteria {
		c := crit()
		now = now.Add(50 * time.Millisecond)
		c.Draw = tb.Draw(now, c, 20)
		answer(tb, now, c.Draw, func(string) (AgentReport, bool) { return AgentReport{Slowdown: slowdown}, true })
		return c
	}
	normal, err := tb.Pick(now, read(1))
	is.NoErr(err)
	tb.Done(now, normal.Reservation, RequestResult{})
	slow, err := tb.Pick(now, read(2.5))
	is.NoErr(err)
	tb.Done(now, slow.Reservation, RequestResult{})
	ratio := float64(slow.Predicted) / float64(normal.Predicted)
	is.True(ratio > 2.49)
	is.True(ratio < 2.51)
	is.Equal(normal.Predicted, usual.Predicted) // Not that of the slow time before.

	// A slowdown that begins after the choice and is reported then is not learned.
	for range 20 {
		serve(read(1), 2.5, func() {
			tb.UpdateReport("e0", AgentReport{Version: 1, Slowdown: 2.5, ReceivedAt: now.Add(agentSampleInterval)})
		})
		now = now.Add(agentSampleInterval)
	}
	is.True(tb.replicas["e0"].freshRatio < 1.01)
}

// A report that arrives right after an answer holds an older load. It must not replace that of the
// answer, but what else it says counts.
func TestAnswerOutlastsAnOlderReport(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(time.Second)
	tb := newHalls(1, 0, AgentReport{})
	answer(tb, now, tb.Draw(now, crit(), 20), func(string) (AgentReport, bool) { return AgentReport{Running: 9, Slowdown: 2}, true })
	tb.UpdateReport("e0", AgentReport{Version: 1, Running: 1, SlowLink: true, ReceivedAt: now.Add(30 * time.Millisecond)})
	r := tb.replicas["e0"].Report
	is.Equal(r.Running, 9)
	is.Equal(r.Slowdown, 2.0)
	is.True(r.SlowLink)
	tb.UpdateReport("e0", AgentReport{Version: 1, Running: 1, ReceivedAt: now.Add(130 * time.Millisecond)})
	is.Equal(tb.replicas["e0"].Report.Running, 1)
}
