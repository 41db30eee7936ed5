package direct_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// drawTargetChanges draws the times at which the operator sets a new target version. Some come
// before all replicas have loaded the version before.
func drawTargetChanges(r *rand.Rand, before time.Duration) []time.Duration {
	var out []time.Duration
	for at := 6*time.Second + randomDuration(r, 3*time.Second); at < before; {
		out = append(out, at)
		if r.IntN(2) == 0 {
			at += between(r, 300*time.Millisecond, 5*time.Second)
		} else {
			at += between(r, 8*time.Second, 14*time.Second)
		}
	}
	return out
}

// simulate runs a world for the given duration, with faults drawn from the seed if withFaults
// is set. If stopAfter is not zero, it stops the run at that time; the draws are still those of
// the whole duration.
func simulate(t *testing.T, seed uint64, duration, stopAfter time.Duration, withFaults bool) {
	t.Helper()
	simulateWith(t, seed, duration, stopAfter, withFaults, func(*world) {})
}

// simulateWith is simulate with a background function that starts together with the load.
func simulateWith(t *testing.T, seed uint64, duration, stopAfter time.Duration, withFaults bool, background func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(t, r)
		const settleTime = 14 * time.Second // Before the end of the run, without target changes.
		load := 0.9 + 0.9*r.Float64()
		targetChanges := drawTargetChanges(r, duration-settleTime)
		var faults []fault
		if withFaults {
			faults = drawFaults(r, targetChanges, duration-settleTime)
		}
		for i, at := range targetChanges {
			time.AfterFunc(at, func() { w.setTarget(uint64(i + 2)) })
		}
		for _, f := range faults {
			time.AfterFunc(f.at, func() { f.inject(w) })
		}
		var counts answerCounts
		var queued, samples int
		time.AfterFunc(2*time.Second, func() { w.generateLoad(load, &counts) })
		time.AfterFunc(2*time.Second, func() { background(w) })
		start := time.Now()
		if stopAfter == 0 {
			stopAfter = duration
		}
		for time.Since(start) < stopAfter {
			time.Sleep(100 * time.Millisecond)
			q := w.queuedRequests()
			queued, samples = queued+q, samples+1
		}
		loaded, ignoring := w.loadedVersions(), w.ignoringDisconnect()
		w.close()
		c := w.checker
		t.Logf("seed %d load %.2f: begun %d complete %d refused %d failed %d truncated %d; queues %.2f full; stalest %v (%s); replicas by version %v, ignoring disconnects %v; target changes at %v",
			seed, load, c.totalRuns, counts.complete.Load(), counts.refused.Load(), counts.failed.Load(), counts.truncated.Load(),
			float64(queued)/float64(samples*halls*boxesPerHall*queueLimit), c.stalest, c.stalestRun, loaded, ignoring, targetChanges)
		for target, crashes := range c.fatal.crashes {
			t.Logf("  %d replicas crashed on %s", len(crashes), target)
		}
		for _, f := range faults {
			t.Logf("  %v %s", f.at, f.description)
		}
		for _, v := range c.violations {
			t.Errorf("  %s", v)
		}
		if counts.complete.Load() == 0 {
			t.Error("no request was answered in full")
		}
		if newest := uint64(len(targetChanges) + 1); !withFaults && loaded[newest] != len(w.boxes) {
			t.Errorf("not all replicas have loaded version %d: %v", newest, loaded)
		}
	})
}

func TestNoFaults(t *testing.T) {
	t.Parallel()
	simulate(t, 1, 22*time.Second, 0, false)
}

// simulateSeeds runs the simulation for 28 s with each seed in a range.
// POSTSTAND_SEEDS=FROM-TO selects another range, for a minute each.
func simulateSeeds(t *testing.T, from, to uint64, run func(t *testing.T, seed uint64, duration time.Duration)) {
	t.Helper()
	duration := 28 * time.Second
	if s := os.Getenv("POSTSTAND_SEEDS"); s != "" {
		if _, err := fmt.Sscanf(s, "%d-%d", &from, &to); err != nil {
			t.Fatal(err)
		}
		duration = time.Minute
	}
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			run(t, seed, duration)
		})
	}
}

func TestFaults(t *testing.T) {
	t.Parallel()
	simulateSeeds(t, 1, 2, func(t *testing.T, seed uint64, duration time.Duration) { simulate(t, seed, duration, 0, true) })
}
