package direct_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// lastRunOn records when the last request of each gateway began on a version.
func (w *world) lastRunOn(version uint64) func(gateway string) time.Time {
	var mu sync.Mutex
	last := map[string]time.Time{}
	for _, b := range w.boxes {
		onRun := b.engine.OnRun
		b.engine.OnRun = func(run platformtest.EngineRun) {
			onRun(run)
			mu.Lock()
			defer mu.Unlock()
			if run.Version == version {
				last[run.Sender] = run.FirstTokenAt
			}
		}
	}
	return func(gateway string) time.Time {
		mu.Lock()
		defer mu.Unlock()
		return last[gateway]
	}
}

// sendUntil sends small requests to each gateway until it is done or the end time is reached.
func (w *world) sendUntil(end time.Time, done func(gateway string) bool) {
	const every, prompt = 100 * time.Millisecond, 20
	var wg sync.WaitGroup
	for _, g := range w.gateways {
		wg.Go(func() {
			for n := 0; !done(g.addr) && time.Now().Before(end); n++ {
				var counts answerCounts
				go w.sendRequest(g, fmt.Sprintf("little%d at %s", n, g.addr), "/s/", prompt, &counts)
				w.sleep(every)
			}
		})
	}
	wg.Wait()
}

// Without disturbances, a gateway that receives a target change soon learns when it was made: its
// requests may begin on the version before until shortly before its deadline. How often other
// records change in the store makes no difference.
func TestUsualNamingTakesNoTime(t *testing.T) {
	const minUse = 5500 * time.Millisecond // Of 7.2 s; checks are 0.33 s apart, and a gateway gets some five requests a second.
	for _, every := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			withoutOrigin(t, 16*time.Second, func(is *is.I, w *world) {
				last := w.lastRunOn(1)
				go w.changeStore(every)
				w.sleep(6 * time.Second)
				changed := time.Now()
				w.setTarget(2)
				w.sleep(minUse)
				w.sendUntil(changed.Add(versionWithin), func(gateway string) bool { return last(gateway).Sub(changed) >= minUse })
				w.sleep(time.Until(changed.Add(9 * time.Second)))
				for _, g := range w.gateways {
					if usedFor := last(g.addr).Sub(changed); usedFor < minUse {
						t.Errorf("requests of %s began on version 1 only until %v after the target became 2", g.addr, usedFor)
					}
				}
			})
		})
	}
}
