package stager

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/mirror"
)

// An agent's gateways may report positions of two eras, and those of older builds report
// positions without one.
func TestAssignmentOfALaterEraIsNewer(t *testing.T) {
	era, noEra := mirror.NewPosition, func(rev uint64) mirror.Position { return mirror.NewPosition(0, rev) }
	cases := []struct {
		name              string
		current, received mirror.Position
		stored            bool
	}{
		{"a later era at a lower revision", era(1, 10), era(2, 5), true},
		{"an older era at a higher revision", era(2, 5), era(1, 10), false},
		{"the same era, older", era(2, 5), era(2, 4), false},
		{"from a build without eras", era(2, 5), noEra(4), true},
		{"after one without an era", noEra(9), era(1, 5), true},
		{"both without an era", noEra(9), noEra(8), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a assignments
			a.set(&peers.Assignment{At: c.current, Model: "m", Version: 2}, "one")
			a.set(&peers.Assignment{At: c.received, Model: "m", Version: 2}, "other")
			got, _, _ := a.watch()
			is.New(t).Equal(got.At == c.received, c.stored)
		})
	}
}
