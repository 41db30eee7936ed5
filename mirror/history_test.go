package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The bound for unknown earlier changes must not be taken from another process. A gateway that was
// partitioned while two target versions were set read only the second, and its own bound for the
// first was 3.6 s before that. It used the later bound of another gateway, which had
// seen the first version and so missed less, and started requests on an older version up to 9.3 s
// after the first of the two was set, where 8 s are allowed.
func TestGapOfAnotherIsNotTaken(t *testing.T) {
	is := is.New(t)
	const key = "version"
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	read := func(m *Mirror, rev Position, completeAt time.Time) {
		m.Apply(Delta{At: rev, Whole: true, Records: []Record{{Key: key, Rev: rev}}, NotBefore: completeAt})
	}
	var cut, other Mirror
	read(&cut, 3, at(0))
	read(&other, 3, at(0))
	read(&other, 5, at(10)) // Changed at 11.
	read(&other, 6, at(12)) // Changed at 13.
	read(&cut, 6, at(10))   // It was up to date until 10, and missed 5.
	peerRecord := other.WithHistory(at(0))[0]
	cut.UpdateNotBefore(key, 6, peerRecord.NotBefore)
	rs, _ := cut.Records()
	got := rs[key]
	is.Equal(got.NotBefore, at(12))    // The time of change 6 is the same for both;
	is.Equal(got.GapNotBefore, at(10)) // that of the changes before it is not.
}

// madeChange is one change of a key, with its time.
type madeChange struct {
	rev  Position
	made time.Time
}

// Mirrors read a key from time to time, and send one another either its whole history or the time of
// its newest change. A mirror's lower bound of the time of a change is never after
// that time, neither for changes that it has nor for those that it missed.
func TestTimesAreNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const key, mirrors = "k", 3
		var made []madeChange
		now := epoch
		all := make([]Mirror, mirrors)
		completeAt := [mirrors]time.Time{epoch, epoch, epoch} // When each mirror was last up to date.
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, mirrors-1).Draw(t, "mirror")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				made = append(made, madeChange{Position(len(made) + 1), now})
			case 1:
				if len(made) > 0 {
					newest := made[len(made)-1]
					all[i].Apply(Delta{At: newest.rev, Whole: true, Records: []Record{{Key: key, Rev: newest.rev}}, NotBefore: completeAt[i]})
					completeAt[i] = now
				}
			case 2:
				from := rapid.IntRange(0, mirrors-1).Draw(t, "from")
				all[i].Apply(all[from].Since(0))
				if all[from].At() > 0 && completeAt[from].After(completeAt[i]) {
					completeAt[i] = completeAt[from]
				}
			default:
				for _, r := range all[rapid.IntRange(0, mirrors-1).Draw(t, "from")].WithHistory(epoch.Add(-time.Hour)) {
					all[i].UpdateNotBefore(key, r.Rev, r.NotBefore)
				}
			}
			rs, _ := all[i].Records()
			r := rs[key]
			checkLowerBounds(t, r.history(), made)
		}
	})
}

func checkLowerBounds(t *rapid.T, known []Record, made []madeChange) {
	before := Position(0)
	for _, r := range known {
		for _, c := range made {
			if c.rev == r.Rev && r.NotBefore.After(c.made) {
				t.Fatalf("change %d was made at %v, and its lower bound is %v", c.rev, c.made.Sub(epoch), r.NotBefore.Sub(epoch))
			}
			if c.rev > before && c.rev < r.Rev && r.GapNotBefore.After(c.made) {
				t.Fatalf("unknown change %d was made at %v; the lower bound for the gap before %d is %v",
					c.rev, c.made.Sub(epoch), r.Rev, r.GapNotBefore.Sub(epoch))
			}
		}
		before = r.Rev
	}
}
