package stager

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/mirror"
)

// An agent's gateways may be of two eras, and of builds of which some name none.
func TestAssignmentOfALaterEraIsNewer(t *testing.T) {
	era, plain := mirror.NewPosition, func(rev uint64) mirror.Position { return mirror.NewPosition(0, rev) }
	cases := []struct {
		name      string
		had, told mirror.Position
		taken     bool
	}{
		{"a later era at a lower revision", era(1, 10), era(2, 5), true},
		{"an older era at a higher revision", era(2, 5), era(1, 10), false},
		{"the same era, older", era(2, 5), era(2, 4), false},
		{"from a build that names none", era(2, 5), plain(4), true},
		{"after one that names none", plain(9), era(1, 5), true},
		{"both name none", plain(9), plain(8), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a assignments
			a.set(&peers.Assignment{At: c.had, Model: "m", Version: 2}, "one")
			a.set(&peers.Assignment{At: c.told, Model: "m", Version: 2}, "other")
			now, _, _ := a.watch()
			is.New(t).Equal(now.At == c.told, c.taken)
		})
	}
}
