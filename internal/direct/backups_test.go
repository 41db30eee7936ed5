package direct_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// restoreBackups restores the store from backups at random intervals, sometimes twice in a row.
func (w *world) restoreBackups(r *rand.Rand) {
	for w.sleep(between(r, 4*time.Second, 12*time.Second)) {
		w.restoreBackup(r)
		if r.IntN(3) == 0 && w.sleep(between(r, 0, 2*time.Second)) {
			w.restoreBackup(r)
		}
	}
}

// restoreBackup takes the store down for up to 2 s and restores it from a backup that is up to
// 5 s old. The lost records are written again within 3 s, in random order.
func (w *world) restoreBackup(r *rand.Rand) {
	outage, age := between(r, 50*time.Millisecond, 2*time.Second), between(r, 500*time.Millisecond, 5*time.Second)
	defer w.checker.beginDisturbance(&w.checker.storeDisturbances)()
	w.store.Refuse(http.StatusServiceUnavailable)
	if !w.sleep(outage) {
		return
	}
	lost := w.store.RestoreFromBackup(min(w.store.ChangesSince(time.Now().Add(-age)), int(w.store.Revision())-1))
	w.store.Refuse(0)
	slices.Sort(lost)
	lost = slices.Compact(lost)
	r.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	maxDelay := between(r, 50*time.Millisecond, 3*time.Second)
	for _, key := range lost {
		delay := between(r, 0, maxDelay)
		time.AfterFunc(delay, func() { w.rewrite(key) })
	}
}

// rewrite writes the current value of a key, as its owner does: a replica its own record, the
// operator the target version and the configuration.
func (w *world) rewrite(key string) {
	if w.ctx.Err() != nil {
		return
	}
	id, isReplica := strings.CutPrefix(key, "servers/")
	switch {
	case isReplica:
		w.rewriteReplicaRecord(key, id)
	case strings.HasPrefix(key, "op/version/"):
		w.store.Put(key, map[string]any{"model": "m", "version": w.origin.Newest.Load()})
	default:
		w.store.Put(key, initialConfig())
	}
}

// rewriteReplicaRecord writes the record of a replica that is running, and deletes that of one
// that is not.
func (w *world) rewriteReplicaRecord(key, id string) {
	for _, b := range w.boxes {
		b.mu.Lock()
		e := b.engine
		b.mu.Unlock()
		if e == nil || e.ID != id {
			continue
		}
		record := e.Record()
		if e.IsLeaving() {
			record["state"] = "draining"
		}
		w.store.Put(key, record)
		return
	}
	w.store.Delete(key)
}

// The store is restored from backups while other faults of all kinds occur, and while replicas
// leave and shed load.
func TestBackupsAmongFaults(t *testing.T) {
	t.Parallel()
	simulateSeeds(t, 1, 2, func(t *testing.T, seed uint64, duration time.Duration) {
		simulateWith(t, seed, duration, 0, true, func(w *world) {
			go w.leaveAndShed(rand.New(rand.NewPCG(seed, 5)))
			w.restoreBackups(rand.New(rand.NewPCG(seed, 7)))
		})
	})
}

// Restores are the only fault: requests are served, and all replicas load the newest version.
func TestBackupsAlone(t *testing.T) {
	t.Parallel()
	simulateWith(t, 1, 28*time.Second, 0, false, func(w *world) { w.restoreBackups(rand.New(rand.NewPCG(1, 7))) })
}
