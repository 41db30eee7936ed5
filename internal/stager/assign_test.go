package stager

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/mirror"
)

// Two gateways may report different ages of a version. An age is an upper bound, so the later
// time of publication is kept.
func TestLaterPublicationTimeIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a assignments
		assignment := func(at mirror.Position, age time.Duration) *peers.Assignment {
			return &peers.Assignment{At: at, Model: "m", Version: 2, Steps: []peers.Step{{Version: 2, Age: age}}}
		}
		a.set(assignment(7, 5500*time.Millisecond), "notified")
		a.set(assignment(8, 200*time.Millisecond), "watching")
		_, target, _ := a.watch()
		is.Equal(time.Since(target.SupersededAt(1)), 200*time.Millisecond)
	})
}
