package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// named is what an answer says that was asked for and heard at seconds of the test.
func named(perSecond float64, asked, heard int) Limit {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	return Limit{Named: perSecond >= 0, PerSecond: max(0, perSecond), Asked: at(asked), Heard: at(heard)}
}

// Answers are heard in another order than they were made. Where it is not certain which one is
// the newer, the lower limit holds.
func TestLimitOfAnswersThatOvertakeOneAnother(t *testing.T) {
	const none = -1
	for _, tc := range []struct {
		name  string
		heard []Limit // In this order.
		want  string
	}{
		{"first", []Limit{named(1.3, 1, 2)}, "1.3"},
		{"lower, surely later", []Limit{named(1.3, 1, 2), named(0.4, 2, 3)}, "0.4"},
		{"higher, surely later", []Limit{named(1.3, 1, 2), named(5, 2, 3)}, "5"},
		{"no more, surely later", []Limit{named(1.3, 1, 2), named(none, 3, 4)}, "none"},
		{"lower, perhaps before", []Limit{named(1.3, 2, 4), named(0.4, 1, 5)}, "0.4"},
		{"higher, perhaps before", []Limit{named(1.3, 2, 4), named(5, 3, 5)}, "1.3"},
		{"no more, perhaps before", []Limit{named(1.3, 2, 4), named(none, 1, 5)}, "1.3"},
		{"lower, surely before", []Limit{named(1.3, 4, 5), named(0.4, 2, 3)}, "1.3"},
		{"no more, then an older one that names it", []Limit{named(1.3, 1, 2), named(none, 5, 6), named(1.3, 3, 4)}, "none"},
		{"no more, then one that may be older", []Limit{named(1.3, 1, 2), named(none, 5, 8), named(1.3, 3, 7)}, "1.3"},
		{"the same again, and no more of between", []Limit{named(1.3, 1, 2), named(1.3, 1, 9), named(none, 3, 10)}, "1.3"},
		{"the same again, and no more after it", []Limit{named(1.3, 1, 2), named(1.3, 1, 9), named(none, 9, 10)}, "none"},
		{"none", []Limit{named(0, 1, 2)}, "0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Limit
			for _, o := range tc.heard {
				l = l.then(o)
			}
			is.New(t).Equal(l.String(), tc.want)
		})
	}
}

// A limit holds in the life of the replica that named it, whatever the list says, and not in
// the next one.
func TestLimitEndsWithTheReplicasLife(t *testing.T) {
	const born = 1_700_000_000_000
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	life := fleet.Incarnation{ID: "e0", Born: born}
	for _, tc := range []struct {
		name string
		list func(tb *Table, ups map[string]fleet.Upstream)
		want string
	}{
		{"listed as it was", func(tb *Table, ups map[string]fleet.Upstream) { lists(tb, ups, at(1), func(*fleet.Upstream) {}) }, "1.3"},
		{"not listed for 20 s", func(tb *Table, ups map[string]fleet.Upstream) {
			for s := range 20 {
				tb.Sync(at(1+s), map[string]fleet.Upstream{"e1": ups["e1"]}, services)
			}
			lists(tb, ups, at(21), func(*fleet.Upstream) {})
		}, "1.3"},
		{"another replica at its address", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.ID = "e9" })
		}, "none"},
		{"started again under its id", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
		}, "none"},
		{"started again, and named by an answer of the life before", func(tb *Table, ups map[string]fleet.Upstream) {
			lists(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
			tb.UpdateLimit(life, at(2), named(0.2, 1, 2))
		}, "none"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tb, ups := table(2)
			u := ups["e0"]
			u.Born = born
			ups["e0"] = u
			tb.Sync(epoch, ups, services)
			tb.UpdateLimit(life, epoch, named(1.3, 0, 0))
			tc.list(tb, ups)
			is.New(t).Equal(tb.replicas[onlyAt(tb, u.Addr)].limit.String(), tc.want)
		})
	}
}

// onlyAt returns the ID of the replica at an address.
func onlyAt(tb *Table, addr string) string { return tb.byAddr[addr].ID }

// A replica without a permit is chosen by nobody until it may have one, and a request that is
// more urgent may ask sooner. Where no other is left, it is told when that is.
func TestWithoutAPermitNotChosen(t *testing.T) {
	is := is.New(t)
	tb, ups := table(1)
	tb.Sync(epoch, ups, services)
	tb.UpdateLimit(fleet.Incarnation{ID: "e0"}, epoch, named(1.3, 0, 0))
	ask := func(rank int) Criteria { return Criteria{Service: "llm", Rank: rank} }
	c, err := tb.Pick(epoch, ask(3))
	is.NoErr(err)
	is.Equal(tb.Recheck(epoch, c.Reservation), fault.UpstreamLimited) // It has no permit yet.
	until := epoch.Add(700 * time.Millisecond)
	tb.RecordNoPermit(c.Reservation, 3, until)
	for rank, chosen := range map[int]bool{0: true, 2: true, 3: false, 9: false} {
		seen, err := tb.Pick(epoch, ask(rank))
		is.Equal(err == nil, chosen)
		if !chosen {
			is.Equal(fault.CodeOf(err), fault.UpstreamLimited)
			is.Equal(seen.Availability.BackAt, until)
		}
	}
	_, err = tb.Pick(until, ask(3))
	is.NoErr(err)
	tb.RecordPermit(c.Reservation, until)
	is.Equal(tb.Recheck(epoch, c.Reservation), fault.Code(""))
	is.Equal(tb.Recheck(until, c.Reservation), fault.UpstreamLimited) // Its permit is too old.
	const beyond = 50                                                 // The operator may name any rank.
	tb.RecordNoPermit(c.Reservation, beyond, until.Add(time.Second))
	_, err = tb.Pick(until, ask(beyond))
	is.Equal(fault.CodeOf(err), fault.UpstreamLimited)
}

// When a limit ends the replica is drawn less often at first.
func TestNoRushWhenALimitEnds(t *testing.T) {
	for _, from := range []float64{0, 1.3} {
		t.Run(fmt.Sprint(from), func(t *testing.T) {
			is := is.New(t)
			tb, ups := table(1)
			tb.Sync(epoch, ups, services)
			life := fleet.Incarnation{ID: "e0"}
			tb.UpdateLimit(life, epoch, named(from, 0, 0))
			is.Equal(tb.replicas["e0"].share(epoch), 1.0)
			tb.UpdateLimit(life, epoch.Add(time.Second), named(-1, 1, 1))
			is.Equal(tb.replicas["e0"].share(epoch.Add(time.Second)), backShare)
			is.Equal(tb.replicas["e0"].share(epoch.Add(time.Second+backOver)), 1.0)
		})
	}
}
