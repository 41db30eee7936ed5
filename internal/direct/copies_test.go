package direct_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// fallsBack has the store come back from copies that are up to some seconds old, in drawn
// distances and in a row. What was lost is written again soon or late, in another order.
func (w *world) fallsBack(r *rand.Rand) {
	for w.sleep(between(r, 4*time.Second, 12*time.Second)) {
		w.drill(r)
		if r.IntN(3) == 0 && w.sleep(between(r, 0, 2*time.Second)) {
			w.drill(r)
		}
	}
}

func (w *world) drill(r *rand.Rand) {
	lasts, age := between(r, 50*time.Millisecond, 2*time.Second), between(r, 500*time.Millisecond, 5*time.Second)
	defer w.judge.disturb(&w.judge.store)()
	w.store.Refuse(http.StatusServiceUnavailable)
	if !w.sleep(lasts) {
		return
	}
	lost := w.store.RestoreFromBackup(min(w.store.ChangesSince(time.Now().Add(-age)), int(w.store.Revision())-1))
	w.store.Refuse(0)
	slices.Sort(lost)
	lost = slices.Compact(lost)
	r.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	most := between(r, 50*time.Millisecond, 3*time.Second)
	for _, key := range lost {
		in := between(r, 0, most)
		time.AfterFunc(in, func() { w.writeAgain(key) })
	}
}

// writeAgain has the one whose key it is write what now holds.
func (w *world) writeAgain(key string) {
	if w.ctx.Err() != nil {
		return
	}
	id, isReplica := strings.CutPrefix(key, "servers/")
	switch {
	case isReplica:
		w.entryAgain(key, id)
	case strings.HasPrefix(key, "op/version/"):
		w.store.Put(key, map[string]any{"model": "m", "version": w.origin.Newest.Load()})
	default:
		w.store.Put(key, config())
	}
}

// entryAgain has a replica that runs write its entry again, and one that ended be dropped.
func (w *world) entryAgain(key, id string) {
	for _, b := range w.boxes {
		b.mu.Lock()
		e := b.engine
		b.mu.Unlock()
		if e == nil || e.ID != id {
			continue
		}
		entry := e.Record()
		if e.IsLeaving() {
			entry["state"] = "draining"
		}
		w.store.Put(key, entry)
		return
	}
	w.store.Delete(key)
}

// The store comes back from copies among faults of all kinds, while replicas leave and shed.
func TestCopiesAmongFaults(t *testing.T) {
	t.Parallel()
	playSeeds(t, 1, 2, func(t *testing.T, seed uint64, lasts time.Duration) {
		playWith(t, seed, lasts, 0, true, func(w *world) {
			go w.speaks(rand.New(rand.NewPCG(seed, 5)))
			w.fallsBack(rand.New(rand.NewPCG(seed, 7)))
		})
	})
}

// Nothing else goes wrong: all is served, and all replicas get the newest version.
func TestCopiesAlone(t *testing.T) {
	t.Parallel()
	playWith(t, 1, 28*time.Second, 0, false, func(w *world) { w.fallsBack(rand.New(rand.NewPCG(1, 7))) })
}
