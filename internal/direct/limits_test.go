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

// announceLimits makes random replicas announce limits on the rate of all gateways together. The
// announcements of several replicas overlap.
func (w *world) announceLimits(r *rand.Rand) {
	for w.sleep(between(r, 200*time.Millisecond, 4*time.Second)) {
		b := w.boxes[r.IntN(len(w.boxes))]
		b.mu.Lock()
		e := b.engine
		b.mu.Unlock()
		if e != nil {
			go w.changeLimits(rand.New(rand.NewPCG(r.Uint64(), 0)), e)
		}
	}
}

// changeLimits makes a replica announce some limits one after the other, and lift the last one.
func (w *world) changeLimits(r *rand.Rand, e *platformtest.Engine) {
	for range 1 + r.IntN(3) {
		limit := []float64{0, 0.3, 1.3, 1.7, 3, 6}[r.IntN(6)]
		e.AnnounceLimit(fmt.Sprint(limit))
		if !w.sleep(between(r, 500*time.Millisecond, 12*time.Second)) {
			return
		}
	}
	e.AnnounceLimit()
}

// Replicas announce limits while faults of all kinds occur. The gateways that received a limit
// keep to it together while some of them are killed, started or isolated, or receive nothing
// from each other since connections went silent.
func TestLimitsAmongFaults(t *testing.T) {
	t.Parallel()
	simulateSeeds(t, 1, 3, func(t *testing.T, seed uint64, duration time.Duration) {
		simulateWith(t, seed, duration, 0, true, func(w *world) { w.announceLimits(rand.New(rand.NewPCG(seed, 6))) })
	})
}

// A replica that announces a limit of 0 still gets its next version: its agent's status reads,
// pieces and orders do not count as requests.
func TestLimitedReplicaGetsItsNextVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		e := w.boxes[0].engine
		e.AnnounceLimit("0")
		var counts answerCounts
		time.AfterFunc(time.Second, func() { w.generateLoad(0.5, &counts) })
		w.sleep(6 * time.Second)
		w.setTarget(2)
		w.sleep(14 * time.Second)
		loaded, overLimit := e.LoadedVersion(), e.LimitViolations(nil)
		w.close()
		check.Equal(loaded, uint64(2))
		check.Equal(overLimit, nil)
		check.Equal(w.checker.violations, nil)
	})
}
