package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

var services = map[string]config.Service{"llm": {Engine: llm}}

// lists has the table take a list in which e0 is as change makes it.
func lists(tb *Table, ups map[string]fleet.Upstream, now time.Time, change func(u *fleet.Upstream)) {
	u := ups["e0"]
	change(&u)
	listed := map[string]fleet.Upstream{"e0": u, "e1": ups["e1"]}
	tb.Sync(now, listed, services)
}

// What a replica said holds in its life, whatever the list says, and not in the next one.
func TestWhatAReplicaSaidEndsWithItsLife(t *testing.T) {
	const born = 1_700_000_000_000
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	life := fleet.Incarnation{ID: "e0", Born: born}
	cases := []struct {
		name   string
		after  func(tb *Table, ups map[string]fleet.Upstream)
		chosen bool
	}{
		{"the list is silent", func(*Table, map[string]fleet.Upstream) {}, false},
		{"listed as ready later", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.ListedAt = 9 })
		}, false},
		{"not listed, and listed again", func(tb *Table, ups map[string]fleet.Upstream) {
			tb.Sync(at(1), map[string]fleet.Upstream{"e1": ups["e1"]}, services)
			lists(tb, ups, at(2), func(*fleet.Upstream) {})
		}, false},
		{"not listed, and again not, and listed again", func(tb *Table, ups map[string]fleet.Upstream) {
			for s := range 30 {
				tb.Sync(at(1+s), map[string]fleet.Upstream{"e1": ups["e1"]}, services)
			}
			lists(tb, ups, at(31), func(*fleet.Upstream) {})
		}, false},
		{"another replica at its address", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.ID = "e9" })
		}, true},
		{"started again under its id", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
		}, true},
		{"started again under its id, not listed between", func(tb *Table, ups map[string]fleet.Upstream) {
			tb.Sync(at(1), map[string]fleet.Upstream{"e1": ups["e1"]}, services)
			lists(tb, ups, at(2), func(u *fleet.Upstream) { u.Born++ })
		}, true},
		{"started again, and the life before is listed once more", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
			lists(tb, ups, at(2), func(u *fleet.Upstream) { u.Leaving = true })
		}, true},
		{"said again by an answer of the life before", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
			tb.MarkLeaving(life, at(2))
			tb.MarkBackoff(life, at(2), at(1000))
		}, true},
	}
	for _, said := range []struct {
		name string
		say  func(tb *Table)
	}{
		{"leaves", func(tb *Table) { tb.MarkLeaving(life, epoch) }},
		{"rests", func(tb *Table) { tb.MarkBackoff(life, epoch, at(1000)) }},
	} {
		for _, tc := range cases {
			t.Run(said.name+", "+tc.name, func(t *testing.T) {
				is := is.New(t)
				tb, ups := table(2)
				u := ups["e0"]
				u.Born = born
				ups["e0"] = u
				tb.Sync(epoch, ups, services)
				said.say(tb)
				tc.after(tb, ups)
				got := picks(tb, at(40), Criteria{Service: "llm"})
				is.Equal(got["e0"]+got["e9"] > 0, tc.chosen)
				is.True(got["e1"] > 0)
			})
		}
	}
}

// What is remembered of replicas that are gone is bounded.
func TestPastLivesAreForgotten(t *testing.T) {
	is := is.New(t)
	tb, ups := table(2)
	for n := range 1000 {
		now := epoch.Add(time.Duration(n) * time.Minute)
		tb.MarkLeaving(fleet.Incarnation{ID: "e0", Born: int64(n)}, now)
		tb.MarkBackoff(fleet.Incarnation{ID: "e0", Born: int64(n)}, now, now.Add(1e6*time.Hour))
		lists(tb, ups, now, func(u *fleet.Upstream) { u.Born = int64(n + 1) })
		is.True(len(tb.past) <= int(pastFor/time.Minute)+1)
	}
}

// While a replica rests it is not chosen, not even where there is nobody else, and it is told
// when one takes requests again. When the rest ends one request is sent, and more once that is
// answered, or was not in time.
func TestRest(t *testing.T) {
	is := is.New(t)
	tb, _ := table(2)
	ask := Criteria{Service: "llm"}
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	fails := func(now, back time.Time) {
		t.Helper()
		c, err := tb.Pick(now, ask)
		is.Equal(fault.CodeOf(err), fault.UpstreamResting)
		is.Equal(c.Availability.BackAt, back)
	}
	tb.MarkBackoff(fleet.Incarnation{ID: "e0"}, epoch, at(3000))
	is.Equal(picks(tb, at(1), ask)["e0"], 0)
	tb.MarkBackoff(fleet.Incarnation{ID: "e1"}, epoch, at(5000))
	tb.MarkBackoff(fleet.Incarnation{ID: "e0"}, epoch, at(1000)) // The longer one holds.
	fails(at(2999), at(3000))
	first, err := tb.Pick(at(3000), ask)
	is.NoErr(err)
	is.Equal(first.ID, "e0")
	fails(at(3100), at(3000).Add(trialFor))
	second, err := tb.Pick(at(3500), ask) // The first one goes without an answer.
	is.NoErr(err)
	tb.RecordFirstEvent(at(3600), second.Reservation, 100*time.Millisecond, second.Predicted)
	is.Equal(picks(tb, at(3700), ask)["e0"], 100)
	tb.Done(at(3700), first.Reservation, RequestResult{})
	tb.Done(at(3700), second.Reservation, RequestResult{})
}

// An answer to what was sent before the rest does not end the trial after it, and neither
// does a request that never came to the replica, or one that it refused.
func TestTrialEndsWithAnAnswerOnly(t *testing.T) {
	rest := epoch.Add(3 * time.Second)
	cases := []struct {
		name  string
		sent  time.Time
		end   RequestResult
		tried bool
	}{
		{"answered", rest, RequestResult{Answered: true}, true},
		{"sent before the rest", epoch, RequestResult{Answered: true}, false},
		{"not reached", rest, RequestResult{}, false},
		{"lost", rest, RequestResult{Failed: true}, false},
		{"full", rest, RequestResult{Answered: true, Full: true}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := table(1)
			before, err := tb.Pick(epoch, Criteria{Service: "llm"})
			is.NoErr(err)
			tb.MarkBackoff(fleet.Incarnation{ID: "e0"}, epoch, rest)
			k := before.Reservation
			if !tc.sent.Before(rest) {
				c, err := tb.Pick(tc.sent, Criteria{Service: "llm"})
				is.NoErr(err)
				k = c.Reservation
			}
			tb.Done(rest.Add(time.Millisecond), k, tc.end)
			is.Equal(!tb.replicas["e0"].untried, tc.tried)
		})
	}
}

// A request that was chosen a replica is not to be sent there once that has said so.
func TestWithdrawn(t *testing.T) {
	later := epoch.Add(time.Second)
	cases := []struct {
		name string
		do   func(tb *Table, ups map[string]fleet.Upstream)
		want fault.Code
	}{
		{"nothing was said", func(*Table, map[string]fleet.Upstream) {}, ""},
		{"it leaves", func(tb *Table, _ map[string]fleet.Upstream) { tb.MarkLeaving(fleet.Incarnation{ID: "e0"}, later) }, fault.UpstreamLeaving},
		{"it is listed as leaving", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, later, func(u *fleet.Upstream) { u.Leaving = true })
		}, fault.UpstreamLeaving},
		{"it is listed no more", func(tb *Table, ups map[string]fleet.Upstream) {
			tb.Sync(later, map[string]fleet.Upstream{"e1": ups["e1"]}, services)
		}, fault.UpstreamLeaving},
		{"it started again", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, epoch, func(u *fleet.Upstream) { u.Born = 1 })
			lists(tb, ups, later, func(u *fleet.Upstream) { u.Born = 2 })
		}, fault.UpstreamLeaving},
		{"it rests", func(tb *Table, _ map[string]fleet.Upstream) {
			tb.MarkBackoff(fleet.Incarnation{ID: "e0"}, later, later.Add(time.Second))
		}, fault.UpstreamResting},
		{"its rest is over", func(tb *Table, _ map[string]fleet.Upstream) {
			tb.MarkBackoff(fleet.Incarnation{ID: "e0"}, epoch, later)
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb, ups := table(2)
			c, err := tb.Pick(epoch, Criteria{Service: "llm", Exclude: map[string]bool{"e1": true}})
			is.NoErr(err)
			tc.do(tb, ups)
			is.Equal(tb.Recheck(later, c.Reservation), tc.want)
		})
	}
}
