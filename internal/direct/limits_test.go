package direct_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// needs has replicas name limits for all gateways together, at any time and beside each other.
func (w *world) needs(r *rand.Rand) {
	for w.sleep(between(r, 200*time.Millisecond, 4*time.Second)) {
		b := w.boxes[r.IntN(len(w.boxes))]
		b.mu.Lock()
		e := b.engine
		b.mu.Unlock()
		if e != nil {
			go w.limits(rand.New(rand.NewPCG(r.Uint64(), 0)), e)
		}
	}
}

// limits has a replica name some limits one after the other, and none in the end.
func (w *world) limits(r *rand.Rand, e *platformtest.Engine) {
	for range 1 + r.IntN(3) {
		v := []float64{0, 0.3, 1.3, 1.7, 3, 6}[r.IntN(6)]
		e.AnnounceLimit(fmt.Sprint(v))
		if !w.sleep(between(r, 500*time.Millisecond, 12*time.Second)) {
			return
		}
	}
	e.AnnounceLimit()
}

// Replicas name limits among faults of all kinds: the gateways that were told hold each
// together, while some of them end, start, are cut off, or hear nothing of one another on
// connections that went silent.
func TestLimitsAmongFaults(t *testing.T) {
	t.Parallel()
	playSeeds(t, 1, 3, func(t *testing.T, seed uint64, lasts time.Duration) {
		playWith(t, seed, lasts, 0, true, func(w *world) { w.needs(rand.New(rand.NewPCG(seed, 6))) })
	})
}

// A replica that takes no requests at all by its own word still gets its next version: its
// agent's looks, pieces and orders are no requests.
func TestLimitedReplicaGetsItsNextVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		e := w.boxes[0].engine
		e.AnnounceLimit("0")
		var got tally
		time.AfterFunc(time.Second, func() { w.call(0.5, &got) })
		w.sleep(6 * time.Second)
		w.name(2)
		w.sleep(14 * time.Second)
		holds, over := e.LoadedVersion(), e.OverLimit(nil)
		w.close()
		check.Equal(holds, uint64(2))
		check.Equal(over, nil)
		check.Equal(w.judge.broken, nil)
	})
}
