package relay_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// What a queue and an overtaken version are tested with.
const (
	versionWithin = 8 * time.Second // As in the settings of the tests' gateways.
	queuedBefore  = 1700 * time.Millisecond
	waitsIn       = 200 * time.Millisecond
)

// oneSlot returns a replica that works on one stream at a time, for a good while.
func oneSlot() *platformtest.Replica {
	r := engines(1, 40)[0] // Two seconds.
	r.Slots = 1
	return r
}

// agents has agents tell all gateways how the replicas stand: as they do, and with the
// version that told returns.
func (w *world) agents(told func(r *platformtest.Replica) uint64) {
	for i := range w.gateways {
		w.tell(i, func() (all []peers.Status) {
			for _, r := range w.replicas {
				all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: told(r), Reached: true})
			}
			return all
		})
	}
	time.Sleep(500 * time.Millisecond)
}

func held(r *platformtest.Replica) uint64 { return r.Version }

// queueBeforeTheEnd names version 2, and lets a stream take the replica's slot and
// another one wait behind it, both sent while version 1 has time left. It returns when 2
// was named.
func (w *world) queueBeforeTheEnd(target string) time.Time {
	named := time.Now()
	w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
	time.Sleep(versionWithin - queuedBefore - waitsIn)
	for _, id := range []string{"first", "second"} {
		go w.askWith(context.Background(), 0, "POST", target, map[string]string{"X-Attempt-Id": id})
		time.Sleep(waitsIn)
	}
	return named
}

// beganLate returns the requests that began on version 1 after its time.
func beganLate(rs []*platformtest.Replica, named time.Time) (ids []string) {
	for _, r := range rs {
		for _, run := range r.Runs() {
			if run.Version == 1 && run.StartedAt.Sub(named) > versionWithin {
				ids = append(ids, run.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// afterTheEnd plays two streams at a replica with one slot, with then after they were
// sent, and returns the requests that came to it and those that began late.
func afterTheEnd(t *testing.T, r *platformtest.Replica, told func(r *platformtest.Replica) uint64, target string, then func(w *world)) (asked int, late []string) {
	rs := []*platformtest.Replica{r}
	run(t, 1, rs, func(_ *is.I, w *world) {
		w.agents(told)
		named := w.queueBeforeTheEnd(target)
		then(w)
		time.Sleep(versionWithin)
		asked, late = r.RequestCount(), beganLate(rs, named)
	})
	return asked, late
}

func nothing(*world) {}

// A request that still waits at its replica when the time of the version there ends is
// given up, and does not begin, where the replica sees that.
func TestQueuedRequestIsDroppedAtTheEnd(t *testing.T) {
	is := is.New(t)
	r := oneSlot()
	asked, late := afterTheEnd(t, r, held, "/s/", nothing)
	is.Equal(asked, 2)
	is.Equal(len(r.Runs()), 1)
	is.Equal(len(late), 0)
}

// The same, and the replica does not see that the request was given up, or does not care.
func TestQueuedRequestThatIsNotDroppedDoesNotBeginLate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		keeps bool
		then  func(w *world)
	}{
		{"connection goes silent", false, func(w *world) { w.net.Silence(nil) }},
		{"replica keeps it", true, nothing}, // Most drop it, not all.
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := oneSlot()
			r.IgnoresDisconnect = tc.keeps
			asked, late := afterTheEnd(t, r, held, "/s/", tc.then)
			is.Equal(asked, 2)
			is.Equal(late, nil)
		})
	}
}

// A stream that may not be resumed waits at its replica until its deadline, whatever
// becomes of the version there meanwhile.
func TestQueuedStreamThatCannotBeRepeatedDoesNotBeginLate(t *testing.T) {
	check := is.New(t)
	rs := []*platformtest.Replica{oneSlot()}
	asked, late := 0, []string(nil)
	once := platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false})
	run(t, 1, rs, func(_ *is.I, w *world) {
		w.store.Put("op/config", platformtest.Config(2, once))
		w.agents(held)
		named := w.queueBeforeTheEnd("/once/")
		time.Sleep(versionWithin)
		asked, late = rs[0].RequestCount(), beganLate(rs, named)
	})
	check.Equal(asked, 2)
	check.Equal(late, nil)
}
