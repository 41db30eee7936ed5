package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// standsStill has a gateway stand still. The answer to its watch lies in its socket then,
// and it reads that before the others, whose connections with it ended long ago, can tell
// it of anything.
func (w *world) standsStill(name string, d time.Duration) {
	w.isolate(name, true)
	w.sleep(d)
	w.net.Stall(name, storeAddr, false)
	w.sleep(50 * time.Millisecond)
	w.isolate(name, false)
}

// changes has something else change in the store, again and again.
func (w *world) changes(every time.Duration) {
	b := w.boxes[0]
	b.mu.Lock()
	e := b.engine
	b.mu.Unlock()
	for w.sleep(every) {
		w.store.Put("servers/"+e.ID, e.Record())
	}
}

// A gateway that stood still for longer than Follower.MaxAssumedAge, from before a naming, dates
// what it then reads Doubt ago, which is later than it was made. The others know better,
// and must not take its word: they were in touch all the time.
func TestNamingReadLaterThanDoubt(t *testing.T) {
	for _, stands := range []time.Duration{6500 * time.Millisecond, 7500 * time.Millisecond, 9 * time.Second} {
		t.Run(stands.String(), func(t *testing.T) {
			staysOld(t, 22*time.Second, func(is *is.I, w *world) {
				w.sleep(6 * time.Second)
				stood := 0
				for _, g := range w.gateways {
					if g.relay.Status().Watching && stood == 0 {
						stood++
						go func() {
							defer w.judge.disturbMachine(g.addr)()
							w.standsStill(g.addr, stands)
						}()
					}
				}
				is.Equal(stood, 1)
				w.sleep(100 * time.Millisecond)
				w.name(2)
				w.sleep(stands) // Something else changes soon after the return, as it often does.
				go w.changes(100 * time.Millisecond)
			})
		})
	}
}

// A gateway that starts later than Follower.MaxAssumedAge after a naming may use the older version
// for a while. What it takes the naming to be of must not reach the others, which pull all
// records from it where they are behind by anything.
func TestStartLaterThanDoubt(t *testing.T) {
	for _, after := range []time.Duration{6300 * time.Millisecond, 7 * time.Second, 8500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			staysOld(t, 22*time.Second, func(_ *is.I, w *world) {
				go w.changes(20 * time.Millisecond)
				w.sleep(6 * time.Second)
				w.name(2)
				w.sleep(after - 500*time.Millisecond)
				g := w.gateways[2]
				over := w.judge.disturbMachine(g.addr)
				w.endGateway(g)
				w.sleep(500 * time.Millisecond)
				w.startGateway(g)
				over()
			})
		})
	}
}
