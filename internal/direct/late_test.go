package direct_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Replicas slow down after requests were sent to them, shortly before the deadline of their version,
// and ignore that connections close. They begin some of these requests late: where the answer is
// not predicted to be complete by that deadline, the request has only its caller's deadline, and
// nothing else makes the replica drop it.
func TestSlowReplicaNearTheEndOfItsVersion(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{3, 198, 234} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulateWith(t, seed, time.Minute, 0, true, func(w *world) { w.leaveAndShed(rand.New(rand.NewPCG(seed, 5))) })
		})
	}
}
