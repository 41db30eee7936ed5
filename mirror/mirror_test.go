package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// drawHistory draws the history of a store: each change has the next revision.
func drawHistory(t *rapid.T) []Record {
	n := rapid.IntRange(1, 30).Draw(t, "changes")
	var out []Record
	for rev := range n {
		key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
		gone := rapid.IntRange(0, 3).Draw(t, "gone") == 0
		out = append(out, Record{Key: key, Value: []byte{byte(rev)}, Rev: Position(rev + 1), Gone: gone})
	}
	return out
}

func drawPosition(t *rapid.T, lo, hi Position, label string) Position {
	return Position(rapid.Uint64Range(uint64(lo), uint64(hi)).Draw(t, label))
}

// existingAt returns the revisions of the keys that exist after the first n changes.
func existingAt(history []Record, n Position) map[string]Position {
	out := map[string]Position{}
	for _, r := range history[:n] {
		out[r.Key] = r.Rev
		if r.Gone {
			delete(out, r.Key)
		}
	}
	return out
}

func revisions(m *Mirror) map[string]Position {
	rs, _ := m.Records()
	out := map[string]Position{}
	for k, r := range rs {
		out[k] = r.Rev
	}
	return out
}

func snapshotAt(history []Record, n Position) Delta {
	d := Delta{At: n, Whole: true}
	exists := existingAt(history, n)
	for _, r := range history[:n] {
		if exists[r.Key] == r.Rev {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Mirrors that apply parts of a history, snapshots and the deltas of other mirrors, in
// any order and repeatedly, never move backwards, and hold exactly the records that
// exist at their position.
func TestMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		last := Position(len(history))
		ms := []*Mirror{{}, {}, {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := ms[rapid.IntRange(0, 2).Draw(t, "mirror")]
			before := m.At()
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				from := drawPosition(t, 0, last, "from")
				to := drawPosition(t, from, last, "to")
				m.Apply(Delta{Base: from, At: to, Records: slices.Clone(history[from:to])})
			case 1:
				m.Apply(snapshotAt(history, drawPosition(t, 0, last, "of")))
			case 2:
				m.Apply(ms[rapid.IntRange(0, 2).Draw(t, "other")].Since(before))
			}
			if m.At() < before {
				t.Fatalf("position fell from %d to %d", before, m.At())
			}
			if got, want := revisions(m), existingAt(history, m.At()); !maps.Equal(got, want) {
				t.Fatalf("at %d: holds %v, want %v", m.At(), got, want)
			}
		}
	})
}
