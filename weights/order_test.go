package weights

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Each chunk has exactly one first box, the positions of the boxes are consistent with one
// another, and no box is first for more than its share.
func TestOrderIsAgreedAndBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		boxes, chunks := rapid.IntRange(1, 30).Draw(t, "boxes"), rapid.IntRange(1, 100).Draw(t, "chunks")
		var names []string
		for i := range boxes {
			names = append(names, fmt.Sprintf("10.0.0.%d", i))
		}
		at := make([]map[int]bool, chunks)
		for _, self := range names {
			o := computeOrder(Swarm.OrderKey, chunks, self, names, true)
			mine := 0
			for i, p := range o.position {
				if at[i] == nil {
					at[i] = map[int]bool{}
				}
				at[i][p] = true
				is.Equal(p == 0, o.first[i] == self)
				if p == 0 {
					mine++
				}
			}
			is.True(mine <= (chunks+boxes-1)/boxes)
		}
		for i := range chunks {
			is.Equal(len(at[i]), boxes) // Each position is taken by one box.
		}
	})
}

// A box that joins or leaves changes the first box of few chunks of the others.
func TestOrderChangesLittle(t *testing.T) {
	is := is.New(t)
	const chunks, boxes = 96, 24
	var names []string
	for i := range boxes {
		names = append(names, fmt.Sprintf("10.0.0.%d", i))
	}
	full := computeOrder(Swarm.OrderKey, chunks, names[0], names, true)
	reduced := computeOrder(Swarm.OrderKey, chunks, names[0], names[:boxes-1], true)
	moved := 0
	for i := range chunks {
		if full.first[i] != names[boxes-1] && full.first[i] != reduced.first[i] {
			moved++
		}
	}
	is.True(moved < chunks/4)
}
