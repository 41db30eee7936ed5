package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// isolateWithPendingAnswer isolates a gateway, and reconnects it to the store 50 ms before it
// reconnects it to the others. The gateway thus reads the pending answer to its watch before any
// other gateway can send it anything, since its connections with them have long been closed.
func (w *world) isolateWithPendingAnswer(name string, d time.Duration) {
	w.isolate(name, true)
	w.sleep(d)
	w.net.Stall(name, storeAddr, false)
	w.sleep(50 * time.Millisecond)
	w.isolate(name, false)
}

// changeStore rewrites a replica's record in the store at an interval.
func (w *world) changeStore(every time.Duration) {
	b := w.boxes[0]
	b.mu.Lock()
	e := b.engine
	b.mu.Unlock()
	for w.sleep(every) {
		w.store.Put("servers/"+e.ID, e.Record())
	}
}

// A gateway that was isolated for longer than Follower.MaxAssumedAge, from before a target
// change, assumes that the change it then reads is MaxAssumedAge old, which is later than it was
// made. The others were in contact all the time and must not adopt that time.
func TestTargetChangeReadAfterMaxAssumedAge(t *testing.T) {
	for _, outage := range []time.Duration{6500 * time.Millisecond, 7500 * time.Millisecond, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			withoutOrigin(t, 22*time.Second, func(is *is.I, w *world) {
				w.sleep(6 * time.Second)
				isolated := 0
				for _, g := range w.gateways {
					if g.relay.Status().Watching && isolated == 0 {
						isolated++
						go func() {
							defer w.checker.disturbMachine(g.addr)()
							w.isolateWithPendingAnswer(g.addr, outage)
						}()
					}
				}
				is.Equal(isolated, 1)
				w.sleep(100 * time.Millisecond)
				w.setTarget(2)
				w.sleep(outage) // Another record changes soon after the return, as is usual.
				go w.changeStore(100 * time.Millisecond)
			})
		})
	}
}

// A gateway that starts later than Follower.MaxAssumedAge after a target change may use the older
// version for a while. The time that it assumes for the change must not reach the others, which
// pull all records from it whenever they miss any.
func TestStartAfterMaxAssumedAge(t *testing.T) {
	for _, delay := range []time.Duration{6300 * time.Millisecond, 7 * time.Second, 8500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			withoutOrigin(t, 22*time.Second, func(_ *is.I, w *world) {
				go w.changeStore(20 * time.Millisecond)
				w.sleep(6 * time.Second)
				w.setTarget(2)
				w.sleep(delay - 500*time.Millisecond)
				g := w.gateways[2]
				done := w.checker.disturbMachine(g.addr)
				w.killGateway(g)
				w.sleep(500 * time.Millisecond)
				w.startGateway(g)
				done()
			})
		})
	}
}
