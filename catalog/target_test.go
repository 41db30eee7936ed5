package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Target versions may be set in quick succession, each before the previous one is loaded anywhere.
// The deadline of a replica's version counts from the first newer version and must not move with
// later ones. When a Target kept too few changes, 22 versions set half a second apart let 4,121
// requests start on version 1 more than 8 s after version 2 was acknowledged, the first of them
// 8,027 ms after it. With up to eight versions no request did.
func TestManyNamingsGiveAVersionNoMoreTime(t *testing.T) {
	const interval = 500 * time.Millisecond
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, n := range []int{1, 2, MaxChanges, MaxChanges + 1, 2 * MaxChanges, 4 * MaxChanges} {
		is := is.New(t)
		var target Target
		for i := range n {
			target = target.With(TargetChange{Version: uint64(2 + i), SetAt: start.Add(time.Duration(i) * interval)})
		}
		is.Equal(target.Version, uint64(1+n))
		is.Equal(target.SupersededAt(1), start) // The time of the first change, however many follow.
		is.Equal(target.SupersededAt(target.Version), time.Time{})
	}
}

// A gateway that was partitioned while target versions were set may receive an earlier change late and
// without a proven time. That change counts as made no later than the changes after it.
func TestNamingIsNoYoungerThanThoseAfterIt(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	var target Target
	for _, c := range []TargetChange{{1, at(0)}, {2, at(30)}, {3, at(24)}, {4, at(31)}} {
		target = target.With(c)
	}
	is.Equal(target.SupersededAt(0), at(0))
	is.Equal(target.SupersededAt(1), at(24))
	is.Equal(target.SupersededAt(2), at(24))
	is.Equal(target.SupersededAt(3), at(31))
}
