package stager

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/mirror"
)

// Of two gateways the one knows better when a version was named. Ages are at most what
// they say, so the later time holds.
func TestLaterTimeOfANamingIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a assignments
		assignment := func(at mirror.Position, age time.Duration) *peers.Assignment {
			return &peers.Assignment{At: at, Model: "m", Version: 2, Steps: []peers.Step{{Version: 2, Age: age}}}
		}
		a.set(assignment(7, 5500*time.Millisecond), "told of it")
		a.set(assignment(8, 200*time.Millisecond), "watches")
		_, wanted, _ := a.watch()
		is.Equal(time.Since(wanted.SupersededAt(1)), 200*time.Millisecond)
	})
}
