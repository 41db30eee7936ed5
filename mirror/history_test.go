package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A gateway that was cut off while two versions were named read the newest alone, and knew
// that what it had missed may have been named 3.6 s before. It let requests begin on an older
// version until 9.3 s after the first of the two was named, of 8 s: another gateway, which had
// seen the first, had told it how old anything that it itself had missed may be, and it took
// that for what it had missed.
func TestGapOfAnotherIsNotTaken(t *testing.T) {
	is := is.New(t)
	const key = "version"
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	read := func(m *Mirror, rev Position, complete time.Time) {
		m.Apply(Delta{At: rev, Whole: true, Records: []Record{{Key: key, Rev: rev}}, NotBefore: complete})
	}
	var cut, other Mirror
	read(&cut, 3, at(0))
	read(&other, 3, at(0))
	read(&other, 5, at(10)) // Made at 11.
	read(&other, 6, at(12)) // Made at 13.
	read(&cut, 6, at(10))   // It knew all until 10, and missed 5.
	told := other.WithHistory(at(0))[0]
	cut.UpdateNotBefore(key, 6, told.NotBefore)
	rs, _ := cut.Records()
	got := rs[key]
	is.Equal(got.NotBefore, at(12))    // When 6 was made is the same for both,
	is.Equal(got.GapNotBefore, at(10)) // what came before it is not.
}

// change is one change of a key, and when it was made.
type change struct {
	rev  Position
	made time.Time
}

// Mirrors read a key now and then, and tell each other its history, whole or the date of the
// newest change. What a mirror believes of when a change that it knows was made is never later
// than it was, and neither is what it believes of those that it does not know.
func TestTimesAreNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const key, mirrors = "k", 3
		var made []change
		now := epoch
		all := make([]Mirror, mirrors)
		complete := [mirrors]time.Time{epoch, epoch, epoch} // When each last knew all.
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, mirrors-1).Draw(t, "mirror")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				made = append(made, change{Position(len(made) + 1), now})
			case 1:
				if len(made) > 0 {
					newest := made[len(made)-1]
					all[i].Apply(Delta{At: newest.rev, Whole: true, Records: []Record{{Key: key, Rev: newest.rev}}, NotBefore: complete[i]})
					complete[i] = now
				}
			case 2:
				from := rapid.IntRange(0, mirrors-1).Draw(t, "from")
				all[i].Apply(all[from].Since(0))
				if all[from].At() > 0 && complete[from].After(complete[i]) {
					complete[i] = complete[from]
				}
			default:
				for _, r := range all[rapid.IntRange(0, mirrors-1).Draw(t, "from")].WithHistory(epoch.Add(-time.Hour)) {
					all[i].UpdateNotBefore(key, r.Rev, r.NotBefore)
				}
			}
			rs, _ := all[i].Records()
			r := rs[key]
			neverTooLate(t, r.history(), made)
		}
	})
}

func neverTooLate(t *rapid.T, known []Record, made []change) {
	before := Position(0)
	for _, r := range known {
		for _, c := range made {
			if c.rev == r.Rev && r.NotBefore.After(c.made) {
				t.Fatalf("%d was made at %v, and is taken to have been made at %v or later", c.rev, c.made.Sub(epoch), r.NotBefore.Sub(epoch))
			}
			if c.rev > before && c.rev < r.Rev && r.GapNotBefore.After(c.made) {
				t.Fatalf("%d, which is not known, was made at %v; what came before %d is taken to have come at %v or later",
					c.rev, c.made.Sub(epoch), r.Rev, r.GapNotBefore.Sub(epoch))
			}
		}
		before = r.Rev
	}
}
