package direct_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Replicas that turn slow after requests were sent to them, near the end of their version's
// time, and do not heed that a connection closes, begin some of these late: where a request's
// whole answer is not predicted by then it has its caller's deadline, and its replica no other
// reason to drop it.
func TestSlowReplicaNearTheEndOfItsVersion(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{3, 198, 234} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playWith(t, seed, time.Minute, 0, true, func(w *world) { w.speaks(rand.New(rand.NewPCG(seed, 5))) })
		})
	}
}
