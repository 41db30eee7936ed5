package direct_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// withoutOrigin runs a world whose replicas cannot load a newer version, since the origin is
// down. The rule on versions must hold until the end.
func withoutOrigin(t *testing.T, duration time.Duration, test func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		w.net.Remove(originAddr)
		var counts answerCounts
		start := time.Now()
		time.AfterFunc(time.Second, func() { w.generateLoad(0.8, &counts) })
		test(is, w)
		w.sleep(duration - time.Since(start))
		w.close()
		for _, v := range w.checker.violations {
			t.Error(v)
		}
		t.Logf("begun %d, refused %d, stalest %v (%s)", w.checker.totalRuns, counts.refused.Load(), w.checker.stalest, w.checker.stalestRun)
		is.True(counts.complete.Load() > 0)
	})
}

// A gateway that starts after two target changes counts the deadline of the version before both
// from the first of the two.
func TestStartAfterTwoTargetChanges(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		withoutOrigin(t, 22*time.Second, func(_ *is.I, w *world) {
			w.sleep(6 * time.Second)
			w.setTarget(2)
			w.sleep(4 * time.Second)
			w.setTarget(3)
			w.sleep(time.Second)
			g := w.gateways[5]
			done := w.checker.disturbMachine(g.addr)
			w.killGateway(g)
			w.sleep(500 * time.Millisecond)
			w.startGateway(g)
			done()
		})
	})
	t.Run("drawn", func(t *testing.T) { simulate(t, 146, time.Minute, 37*time.Second, true) })
}

// A gateway that was isolated during a target change, and reads it later, counts the deadline from
// the earliest time at which the change may have been made.
func TestTargetChangeReadLate(t *testing.T) {
	for outage := 1600 * time.Millisecond; outage <= 4*time.Second; outage += 600 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			withoutOrigin(t, 20*time.Second, func(is *is.I, w *world) {
				w.sleep(6 * time.Second)
				isolated := 0
				for _, g := range w.gateways {
					if g.relay.Status().Watching {
						isolated++
						go func() {
							defer w.checker.disturbMachine(g.addr)()
							w.isolateFor(g.addr, outage)
						}()
					}
				}
				is.True(isolated > 0)
				w.sleep(100 * time.Millisecond)
				w.setTarget(2)
			})
		})
	}
	t.Run("drawn", func(t *testing.T) { simulate(t, 114, time.Minute, 37*time.Second, true) })
}
