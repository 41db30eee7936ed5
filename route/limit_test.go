package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// statedLimit returns the limit stated by an answer that was requested and received at these
// seconds of the test; a negative rate states none.
func statedLimit(perSecond float64, asked, heard int) Limit {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	return Limit{Named: perSecond >= 0, PerSecond: max(0, perSecond), Asked: at(asked), Heard: at(heard)}
}

// Answers can be received in another order than they were made. Where it is not certain which
// of two is newer, the lower limit holds.
func TestLimitOfAnswersThatOvertakeOneAnother(t *testing.T) {
	const none = -1
	for _, tc := range []struct {
		name  string
		heard []Limit // In this order.
		want  string
	}{
		{"first", []Limit{statedLimit(1.3, 1, 2)}, "1.3"},
		{"lower, certainly later", []Limit{statedLimit(1.3, 1, 2), statedLimit(0.4, 2, 3)}, "0.4"},
		{"higher, certainly later", []Limit{statedLimit(1.3, 1, 2), statedLimit(5, 2, 3)}, "5"},
		{"removed, certainly later", []Limit{statedLimit(1.3, 1, 2), statedLimit(none, 3, 4)}, "none"},
		{"lower, possibly earlier", []Limit{statedLimit(1.3, 2, 4), statedLimit(0.4, 1, 5)}, "0.4"},
		{"higher, possibly earlier", []Limit{statedLimit(1.3, 2, 4), statedLimit(5, 3, 5)}, "1.3"},
		{"removed, possibly earlier", []Limit{statedLimit(1.3, 2, 4), statedLimit(none, 1, 5)}, "1.3"},
		{"lower, certainly earlier", []Limit{statedLimit(1.3, 4, 5), statedLimit(0.4, 2, 3)}, "1.3"},
		{"removed, then an older answer that states it", []Limit{statedLimit(1.3, 1, 2), statedLimit(none, 5, 6), statedLimit(1.3, 3, 4)}, "none"},
		{"removed, then an answer that may be older", []Limit{statedLimit(1.3, 1, 2), statedLimit(none, 5, 8), statedLimit(1.3, 3, 7)}, "1.3"},
		{"repeated, and removed by an answer made in between", []Limit{statedLimit(1.3, 1, 2), statedLimit(1.3, 1, 9), statedLimit(none, 3, 10)}, "1.3"},
		{"repeated, and removed by a later answer", []Limit{statedLimit(1.3, 1, 2), statedLimit(1.3, 1, 9), statedLimit(none, 9, 10)}, "none"},
		{"zero", []Limit{statedLimit(0, 1, 2)}, "0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Limit
			for _, o := range tc.heard {
				l = l.merge(o)
			}
			is.New(t).Equal(l.String(), tc.want)
		})
	}
}

// A limit holds for the incarnation that stated it, whatever the list contains, and not for the
// next one.
func TestLimitEndsWithTheReplicasLife(t *testing.T) {
	const born = 1_700_000_000_000
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	inc := fleet.Incarnation{ID: "e0", Born: born}
	for _, tc := range []struct {
		name string
		list func(tb *Table, ups map[string]fleet.Upstream)
		want string
	}{
		{"listed unchanged", func(tb *Table, ups map[string]fleet.Upstream) { relist(tb, ups, at(1), func(*fleet.Upstream) {}) }, "1.3"},
		{"delisted for 20 s", func(tb *Table, ups map[string]fleet.Upstream) {
			for s := range 20 {
				tb.Sync(at(1+s), map[string]fleet.Upstream{"e1": ups["e1"]}, services)
			}
			relist(tb, ups, at(21), func(*fleet.Upstream) {})
		}, "1.3"},
		{"another replica at its address", func(tb *Table, ups map[string]fleet.Upstream) {
			relist(tb, ups, at(1), func(u *fleet.Upstream) { u.ID = "e9" })
		}, "none"},
		{"restarted with the same id", func(tb *Table, ups map[string]fleet.Upstream) {
			relist(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
		}, "none"},
		{"restarted, and stated by an answer of the earlier incarnation", func(tb *Table, ups map[string]fleet.Upstream) {
			relist(tb, ups, at(1), func(u *fleet.Upstream) { u.Born++ })
			tb.UpdateLimit(inc, at(2), statedLimit(0.2, 1, 2))
		}, "none"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tb, ups := newTable(2)
			u := ups["e0"]
			u.Born = born
			ups["e0"] = u
			tb.Sync(epoch, ups, services)
			tb.UpdateLimit(inc, epoch, statedLimit(1.3, 0, 0))
			tc.list(tb, ups)
			is.New(t).Equal(tb.replicas[idAt(tb, u.Addr)].limit.String(), tc.want)
		})
	}
}

// idAt returns the ID of the replica at an address.
func idAt(tb *Table, addr string) string { return tb.byAddr[addr].ID }

// A replica for which no permit is available is not chosen until one may be, except for a more
// urgent request, which may request one sooner. If there is no other replica, the caller learns
// when that is.
func TestWithoutAPermitNotChosen(t *testing.T) {
	is := is.New(t)
	tb, ups := newTable(1)
	tb.Sync(epoch, ups, services)
	tb.UpdateLimit(fleet.Incarnation{ID: "e0"}, epoch, statedLimit(1.3, 0, 0))
	crit := func(rank int) Criteria { return Criteria{Service: "llm", Rank: rank} }
	c, err := tb.Pick(epoch, crit(3))
	is.NoErr(err)
	is.Equal(tb.Recheck(epoch, c.Reservation), fault.UpstreamLimited) // No permit yet.
	until := epoch.Add(700 * time.Millisecond)
	tb.RecordNoPermit(c.Reservation, 3, until)
	for rank, chosen := range map[int]bool{0: true, 2: true, 3: false, 9: false} {
		seen, err := tb.Pick(epoch, crit(rank))
		is.Equal(err == nil, chosen)
		if !chosen {
			is.Equal(fault.CodeOf(err), fault.UpstreamLimited)
			is.Equal(seen.Availability.BackAt, until)
		}
	}
	_, err = tb.Pick(until, crit(3))
	is.NoErr(err)
	tb.RecordPermit(c.Reservation, until)
	is.Equal(tb.Recheck(epoch, c.Reservation), fault.Code(""))
	is.Equal(tb.Recheck(until, c.Reservation), fault.UpstreamLimited) // The permit has expired.
	const beyond = 50                                                 // Operators may configure any rank.
	tb.RecordNoPermit(c.Reservation, beyond, until.Add(time.Second))
	_, err = tb.Pick(until, crit(beyond))
	is.Equal(fault.CodeOf(err), fault.UpstreamLimited)
}

// A replica whose limit was removed is drawn less often at first.
func TestNoRushWhenALimitEnds(t *testing.T) {
	for _, from := range []float64{0, 1.3} {
		t.Run(fmt.Sprint(from), func(t *testing.T) {
			is := is.New(t)
			tb, ups := newTable(1)
			tb.Sync(epoch, ups, services)
			inc := fleet.Incarnation{ID: "e0"}
			tb.UpdateLimit(inc, epoch, statedLimit(from, 0, 0))
			is.Equal(tb.replicas["e0"].rampUp(epoch), 1.0)
			tb.UpdateLimit(inc, epoch.Add(time.Second), statedLimit(-1, 1, 1))
			is.Equal(tb.replicas["e0"].rampUp(epoch.Add(time.Second)), rampUpStart)
			is.Equal(tb.replicas["e0"].rampUp(epoch.Add(time.Second+rampUpTime)), 1.0)
		})
	}
}
