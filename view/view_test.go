package view

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func newRevision(version uint64, queue int) (*config.Head, map[string][]byte) {
	data := []byte(fmt.Sprintf("halls: {h: {}}\nlimits: {queue: %d}\n", queue))
	d := config.DocumentDigest(data)
	head := &config.Head{}
	_ = head.Replace(version, map[string]string{"a.yaml": d})
	return head, map[string][]byte{d: data}
}

// When revisions and fleet lists arrive out of order, more than once or invalid, their
// versions in force must never decrease, and the configuration in force must be the
// complete one that was offered with its revision.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &Holder{}
		best, bestFleet := uint64(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				v := rapid.Uint64Range(1, 9).Draw(t, "revision")
				queue := int(v)
				if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
					queue = -1
				}
				err := h.Accept(newRevision(v, queue))
				if (err == nil) != (v > best && queue > 0) {
					t.Fatalf("revision %d after %d, queue %d: %v", v, best, queue, err)
				}
				if err == nil {
					best = v
				}
			},
			"fleet": func(t *rapid.T) {
				v := rapid.Uint64Range(1, 9).Draw(t, "version")
				err := h.SetFleet(config.Delta[fleet.Box]{Version: v, Whole: true, Set: map[string]fleet.Box{"b": {Name: "b"}}})
				if (err == nil) != (v > bestFleet) {
					t.Fatalf("fleet version %d after %d: %v", v, bestFleet, err)
				}
				bestFleet = max(bestFleet, v)
			},
			"": func(t *rapid.T) {
				v := h.Get()
				if v.Revision() != best || v.Fleet.Version != bestFleet {
					t.Fatalf("versions %d and %d are in force, want %d and %d", v.Revision(), v.Fleet.Version, best, bestFleet)
				}
				if best > 0 && v.Config.Limits.Queue != int(best) {
					t.Fatalf("revision %d has queue %d", best, v.Config.Limits.Queue)
				}
			},
		})
	})
}

// When deltas are lost, applied twice or reordered, two tables of the same version must
// never have different contents.
func TestTablesOfOneVersionAreAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &config.Table[string]{}
		var copies [3]config.Table[string]
		valuesByVersion := map[uint64]string{}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				values := rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"1", "2"})).Draw(t, "values")
				_ = src.Replace(src.Version+1, values)
				valuesByVersion[src.Version] = fmt.Sprint(src.Values())
			},
			"pass": func(t *rapid.T) {
				to := rapid.IntRange(0, 2).Draw(t, "to")
				from := rapid.IntRange(-1, 2).Draw(t, "from")
				s := src
				if from >= 0 {
					s = &copies[from]
				}
				d := s.Since(copies[to].Version)
				if rapid.Bool().Draw(t, "lost") {
					return
				}
				_ = copies[to].Apply(d)
				_ = copies[to].Apply(d)
			},
			"": func(t *rapid.T) {
				for i := range copies {
					if c := &copies[i]; c.Version > 0 && fmt.Sprint(c.Values()) != valuesByVersion[c.Version] {
						t.Fatalf("version %d holds %v, want %v", c.Version, c.Values(), valuesByVersion[c.Version])
					}
				}
			},
		})
	})
}

func TestWatchWakes(t *testing.T) {
	is := is.New(t)
	h := &Holder{}
	_, changed := h.Watch()
	is.NoErr(h.Accept(newRevision(1, 1)))
	<-changed
	is.Equal(h.Get().Revision(), uint64(1))
}
