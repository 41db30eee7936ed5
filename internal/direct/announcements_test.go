package direct_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// leaveAndShed makes random replicas leave, which they announce in their answers, or shed all
// load with a Retry-After. Several replicas may do so at once.
func (w *world) leaveAndShed(r *rand.Rand) {
	for w.sleep(between(r, 200*time.Millisecond, 3*time.Second)) {
		b := w.boxes[r.IntN(len(w.boxes))]
		b.mu.Lock()
		e := b.engine
		b.mu.Unlock()
		if e == nil {
			continue
		}
		draws := rand.New(rand.NewPCG(r.Uint64(), 0))
		if r.IntN(3) == 0 {
			go w.leave(draws, b, e)
		} else {
			go w.shed(draws, e)
		}
	}
}

// leave makes a replica leave. Its record in the store reports that at once, late or never; the
// record may expire meanwhile and be written again as ready. Another incarnation follows at the
// same address.
func (w *world) leave(r *rand.Rand, b *box, e *platformtest.Engine) {
	e.Leave()
	key := "servers/" + e.ID
	downAfter := between(r, platformtest.DrainWithin+500*time.Millisecond, 9*time.Second)
	notice, expires := r.IntN(3), r.IntN(3) == 0
	if notice > 0 {
		delay := time.Duration(notice-1) * between(r, time.Second, downAfter)
		time.AfterFunc(delay, func() {
			if b.isRunning(e) {
				record := e.Record()
				record["state"] = "draining"
				w.store.Put(key, record)
			}
		})
	}
	if expires && w.sleep(between(r, 0, downAfter/2)) && b.isRunning(e) {
		w.store.Delete(key)
		if w.sleep(between(r, 100*time.Millisecond, time.Second)) && b.isRunning(e) {
			w.store.Put(key, e.Record())
		}
	}
	if !w.sleep(downAfter) || !b.isRunning(e) {
		return
	}
	next := w.crash(b)
	if next != nil && w.sleep(between(r, 200*time.Millisecond, 3*time.Second)) {
		w.addEngine(b, next)
	}
}

// shed makes a replica refuse all requests for a while.
func (w *world) shed(r *rand.Rand, e *platformtest.Engine) {
	retryAfters := []string{"3", "3", "0.7", "2.5", "1", "10"}
	e.Shed(retryAfters[r.IntN(len(retryAfters))])
	w.sleep(between(r, 500*time.Millisecond, 9*time.Second))
	e.Shed("")
}

// recordForwarded records with a replica that a gateway has forwarded an answer that announces
// its leaving or its limit. From then on the replica counts what that gateway sends against the
// announcement.
func (w *world) recordForwarded(g *gateway, h http.Header) {
	isLeaving, isLimited := h.Get("Server-Leaving") == "1", h.Get("Server-Limit") != ""
	if !isLeaving && !isLimited {
		return
	}
	for _, b := range w.boxes {
		b.mu.Lock()
		if e := b.engine; e != nil && h.Get("X-Replica-Signature") == "sig-"+e.ID {
			if isLeaving {
				e.RecordLeaving(g.addr)
			}
			if isLimited {
				e.RecordLimit(g.addr)
			}
		}
		b.mu.Unlock()
	}
}

// checkReplica checks the requests that a replica received against its announcements, at the end
// of its run. Processes that were killed or isolated in between are excused.
func (c *checker) checkReplica(e *platformtest.Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range e.Violations() {
		if !c.wasDownBetween(v.Sender, v.NotifiedAt, v.At) {
			c.addViolation("%s: %s", e.ID, v)
		}
	}
	for _, o := range e.LimitViolations(c.wasDownBetween) {
		c.addViolation("LIMIT %s: %s", e.ID, o)
	}
}

// wasDownBetween reports whether a process was killed or isolated at some time between two.
func (c *checker) wasDownBetween(process string, from, to time.Time) bool {
	for _, d := range c.processOutages[process] {
		if d.from.Before(to) && d.end(to).After(from) {
			return true
		}
	}
	return false
}

// beginOutage records that a process is killed or isolated, and returns a function that records
// the end of that.
func (c *checker) beginOutage(process string) (end func()) {
	return c.beginDisturbanceOf(c.processOutages, process)
}

// Replicas leave and shed load while faults of all kinds occur. Gateways and agents must obey
// what the replicas announce in their answers.
func TestWordsAmongFaults(t *testing.T) {
	t.Parallel()
	simulateSeeds(t, 1, 3, func(t *testing.T, seed uint64, duration time.Duration) {
		simulateWith(t, seed, duration, 0, true, func(w *world) { w.leaveAndShed(rand.New(rand.NewPCG(seed, 5))) })
	})
}
