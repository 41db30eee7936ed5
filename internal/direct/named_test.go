package direct_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// staysOld plays a world whose replicas cannot have anything newer, since the origin is
// away. The rule must hold until the end.
func staysOld(t *testing.T, ends time.Duration, test func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		w.net.Remove(originAddr)
		var got tally
		began := time.Now()
		time.AfterFunc(time.Second, func() { w.call(0.8, &got) })
		test(is, w)
		w.sleep(ends - time.Since(began))
		w.close()
		for _, b := range w.judge.broken {
			t.Error(b)
		}
		t.Logf("begun %d, refused %d, oldest %v (%s)", w.judge.total, got.refused.Load(), w.judge.old, w.judge.oldAt)
		is.True(got.whole.Load() > 0)
	})
}

// A gateway that starts after two versions were named counts the time of the version
// before both from the first of the two.
func TestStartAfterTwoNamings(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		staysOld(t, 22*time.Second, func(_ *is.I, w *world) {
			w.sleep(6 * time.Second)
			w.name(2)
			w.sleep(4 * time.Second)
			w.name(3)
			w.sleep(time.Second)
			g := w.gateways[5]
			over := w.judge.disturbMachine(g.addr)
			w.endGateway(g)
			w.sleep(500 * time.Millisecond)
			w.startGateway(g)
			over()
		})
	})
	t.Run("drawn", func(t *testing.T) { play(t, 146, time.Minute, 37*time.Second, true) })
}

// A gateway that stood still while a version was named, and reads of it later, counts
// from when it may have been named.
func TestNamingReadLate(t *testing.T) {
	for stands := 1600 * time.Millisecond; stands <= 4*time.Second; stands += 600 * time.Millisecond {
		t.Run(stands.String(), func(t *testing.T) {
			staysOld(t, 20*time.Second, func(is *is.I, w *world) {
				w.sleep(6 * time.Second)
				stood := 0
				for _, g := range w.gateways {
					if g.relay.Status().Watching {
						stood++
						go func() {
							defer w.judge.disturbMachine(g.addr)()
							w.isolateFor(g.addr, stands)
						}()
					}
				}
				is.True(stood > 0)
				w.sleep(100 * time.Millisecond)
				w.name(2)
			})
		})
	}
	t.Run("drawn", func(t *testing.T) { play(t, 114, time.Minute, 37*time.Second, true) })
}
