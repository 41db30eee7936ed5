package direct_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// lastOn notes until when each gateway's requests begin on a version.
func (w *world) lastOn(version uint64) func(gateway string) time.Time {
	var mu sync.Mutex
	last := map[string]time.Time{}
	for _, b := range w.boxes {
		began := b.engine.OnRun
		b.engine.OnRun = func(x platformtest.EngineRun) {
			began(x)
			mu.Lock()
			defer mu.Unlock()
			if x.Version == version {
				last[x.Sender] = x.FirstTokenAt
			}
		}
	}
	return func(gateway string) time.Time {
		mu.Lock()
		defer mu.Unlock()
		return last[gateway]
	}
}

// askUntil has each gateway asked for little, again and again, until it is done or a time
// has come.
func (w *world) askUntil(end time.Time, done func(gateway string) bool) {
	const every, prompt = 100 * time.Millisecond, 20
	var all sync.WaitGroup
	for _, g := range w.gateways {
		all.Go(func() {
			for n := 0; !done(g.addr) && time.Now().Before(end); n++ {
				var t tally
				go w.ask(g, fmt.Sprintf("little%d at %s", n, g.addr), "/s/", prompt, &t)
				w.sleep(every)
			}
		})
	}
	all.Wait()
}

// With nothing disturbed, a gateway that is told of a naming learns within moments when it
// was made: its requests may begin on the version before until shortly before the bound.
// How often something else changes in the store makes no difference.
func TestUsualNamingTakesNoTime(t *testing.T) {
	const least = 5500 * time.Millisecond // Of 7.2 s; checks are 0.33 s apart, and a gateway is asked some five times a second.
	for _, every := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			staysOld(t, 16*time.Second, func(is *is.I, w *world) {
				last := w.lastOn(1)
				go w.changes(every)
				w.sleep(6 * time.Second)
				named := time.Now()
				w.name(2)
				w.sleep(least)
				w.askUntil(named.Add(versionWithin), func(gateway string) bool { return last(gateway).Sub(named) >= least })
				w.sleep(time.Until(named.Add(9 * time.Second)))
				for _, g := range w.gateways {
					if used := last(g.addr).Sub(named); used < least {
						t.Errorf("requests of %s began on 1 until %v after 2 was named", g.addr, used)
					}
				}
			})
		})
	}
}
