package feed_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/standin"
	"github.com/poststand/poststand/rendezvous"
)

func TestChangeReachesEveryProcess(t *testing.T) {
	settled(t, 6, 16, func(is *is.I, c *cluster) {
		time.Sleep(30 * time.Second)
		is.True(c.await(c.platform.Publish(docs(2)), 2*time.Second, all) != nil)
	})
}

func TestHallCutFromThePlatformIsFedByOthers(t *testing.T) {
	settled(t, 6, 16, func(is *is.I, c *cluster) {
		c.cutHall("h1", true, false)
		time.Sleep(time.Minute)
		is.True(c.await(c.platform.Publish(docs(2)), 5*time.Second, all) != nil)
	})
}

func TestHallCutFromAllKeepsWhatItHasAndCatchesUp(t *testing.T) {
	settled(t, 6, 16, func(is *is.I, c *cluster) {
		c.cutHall("h1", true, true)
		rev := c.platform.Publish(docs(2))
		time.Sleep(5 * time.Minute)
		for name, p := range c.procs {
			want := rev
			if p.Hall == "h1" {
				want = 1
			}
			is.Equal(fmt.Sprint(name, p.holder.Get().Revision()), fmt.Sprint(name, want))
			is.Equal(time.Now().Before(p.holder.Get().FreshUntil), p.Hall != "h1") // A cut hall knows that it is.
		}
		c.cutHall("h1", false, true)
		is.True(c.await(rev, 10*time.Second, all) != nil)
	})
}

// A process that starts while the platform is stale, or answers with an older
// revision, learns the newest from its peers before it counts as ready.
func TestRestartedProcessLearnsTheNewestFromPeers(t *testing.T) {
	for _, name := range []string{"gw-003", "box-003"} {
		t.Run(name, func(t *testing.T) {
			settled(t, 6, 6, func(is *is.I, c *cluster) {
				c.platform.SetMode(standin.Mode{Stale: true}) // Shows revision 1 from now on.
				c.platform.SetMode(standin.Mode{Stale: true})
				c.deliver(docs(2))
				is.True(c.await(2, 30*time.Second, all) != nil)
				p := c.restart(name)
				<-p.feed.Learnt()
				is.Equal(p.holder.Get().Revision(), uint64(2))
				time.Sleep(time.Minute)
				is.Equal(p.holder.Get().Revision(), uint64(2)) // And it stays.
			})
		})
	}
}

// deliver publishes while only one hall sees the platform as it is.
func (c *cluster) deliver(d map[string][]byte) {
	c.cutHall("h1", true, false)
	c.cutHall("h2", true, false)
	c.platform.SetMode(standin.Mode{})
	c.platform.Publish(d)
	time.Sleep(100 * time.Millisecond)
	c.platform.SetMode(standin.Mode{Stale: true})
	c.platform.SetStale(1, docs(1))
	c.cutHall("h1", false, false)
	c.cutHall("h2", false, false)
}

func TestBadRevisionIsRefusedWhole(t *testing.T) {
	settled(t, 6, 6, func(is *is.I, c *cluster) {
		c.platform.Publish(badDocs())
		time.Sleep(20 * time.Second)
		for _, p := range c.procs {
			is.Equal(p.holder.Get().Revision(), uint64(1))
			is.True(time.Now().Before(p.holder.Get().FreshUntil)) // Still current: the bad one is known and refused.
		}
		is.True(c.events["refused_revision/"+string(fault.BadConfig)] > 0)
		is.True(c.events["refused_revision/"+string(fault.BadConfig)] <= 12) // Read once by each watcher, not again and again.
		is.True(c.await(c.platform.Publish(docs(3)), 2*time.Second, all) != nil)
	})
}

// TestRandomFaults publishes, cuts, restarts and breaks the platform in any
// order. That no revision falls is asserted by view.Holder itself; here, each
// process's revisions are watched from outside too, and after all is healed
// every process must come to the newest.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			settled(t, 6, 9, func(is *is.I, c *cluster) { randomFaults(t, is, c, seed) })
		})
	}
}

func randomFaults(t *testing.T, is *is.I, c *cluster, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	names := rendezvous.Sorted(c.boxes)
	seen := map[*proc]uint64{}
	for step := range 60 {
		hall := fmt.Sprintf("h%d", rnd.IntN(3))
		switch rnd.IntN(8) {
		case 0, 1:
			c.platform.Publish(docs(step + 2))
		case 2:
			c.platform.Publish(badDocs())
		case 3:
			c.platform.SetMode(standin.Mode{Down: rnd.IntN(2) == 0, Stale: rnd.IntN(2) == 0})
		case 4:
			c.cutHall(hall, rnd.IntN(2) == 0, false)
		case 5:
			c.cutHall(hall, rnd.IntN(2) == 0, true)
		case 6, 7:
			c.restart(names[rnd.IntN(len(names))])
		}
		for range 20 {
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			for name, p := range c.procs {
				r := p.holder.Get().Revision()
				if r < seen[p] {
					t.Fatalf("%s fell from %d to %d", name, seen[p], r)
				}
				seen[p] = r
			}
		}
	}
	c.platform.SetMode(standin.Mode{})
	for i := range 3 {
		c.cutHall(fmt.Sprintf("h%d", i), false, true)
	}
	// A good revision that a bad one replaced before anybody saw it is gone; the
	// newest that anybody accepted must reach all, and so must the next.
	newest := uint64(1)
	for _, p := range c.procs {
		newest = max(newest, p.holder.Get().Revision())
	}
	is.True(c.await(newest, 20*time.Second, all) != nil)
	is.True(c.await(c.platform.Publish(docs(99)), 20*time.Second, all) != nil)
}

var measure = flag.Bool("measure", false, "print how changes spread, in virtual time")

// TestMeasure prints what docs/design/configuration.md quotes; scripts/measure
// runs it.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	for _, n := range []int{20, 100, 300} {
		synctest.Test(t, func(t *testing.T) { measureConfig(t, n) })
	}
}

func measureConfig(t *testing.T, n int) {
	gateways := max(6, n/30)
	c := newCluster(t, gateways, n-gateways)
	defer c.stop()
	line := func(what string, took []time.Duration, calls int64, over time.Duration, bytes int) {
		p50, most := time.Duration(-1), time.Duration(-1)
		if len(took) > 0 {
			p50, most = took[len(took)/2], took[len(took)-1]
		}
		fmt.Printf("processes=%d gateways=%d case=%s p50_ms=%d max_ms=%d platform_calls_s=%.1f bytes_per_process_s=%.0f\n",
			n, gateways, what, p50.Milliseconds(), most.Milliseconds(), float64(calls)/over.Seconds(), float64(bytes)/float64(n)/over.Seconds())
	}
	c.await(1, time.Minute, all)
	time.Sleep(time.Minute)
	over := 2 * time.Minute
	calls, bytes := c.platform.Calls.Load(), c.bytes()
	time.Sleep(over)
	line("rest", nil, c.platform.Calls.Load()-calls, over, c.bytes()-bytes)
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	took := c.await(c.platform.Publish(docs(2)), time.Minute, all)
	time.Sleep(10*time.Second - took[len(took)-1])
	line("one_change", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	var last uint64
	for i := range 100 {
		last = c.platform.Publish(docs(100 + i))
		time.Sleep(20 * time.Millisecond)
	}
	took = c.await(last, time.Minute, all)
	time.Sleep(8*time.Second - took[len(took)-1])
	line("burst_of_100", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
	c.platform.SetMode(standin.Mode{Down: true})
	time.Sleep(5 * time.Minute)
	c.platform.SetMode(standin.Mode{})
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	took = c.await(c.platform.Publish(docs(1000)), time.Minute, all)
	time.Sleep(10*time.Second - took[len(took)-1])
	line("outage_ends", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
	c.cutHall("h1", true, false)
	time.Sleep(time.Minute)
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	took = c.await(c.platform.Publish(docs(1001)), time.Minute, all)
	time.Sleep(10*time.Second - took[len(took)-1])
	line("hall_cut", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
}

func (c *cluster) bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.procs {
		n += p.bytes
	}
	return n
}

// A gateway that starts while the platform is down and its peers are out of reach
// asks those of its settings again, and not only once.
func TestGatewayKeepsAskingItsPeers(t *testing.T) {
	settled(t, 6, 3, func(is *is.I, c *cluster) {
		c.platform.SetMode(standin.Mode{Down: true})
		c.cutHall("h0", true, true)
		p := c.restart("gw-000") // Whose own address is the first in its settings.
		time.Sleep(time.Minute)
		is.Equal(p.holder.Get().Revision(), uint64(0))
		c.cutHall("h0", false, true)
		is.True(c.await(1, 10*time.Second, all) != nil)
	})
}

// Two operators publish at the same moment: one of the two wholes is in force
// everywhere, the one that the platform numbered last.
func TestTwoOperatorsAtOnce(t *testing.T) {
	settled(t, 6, 9, func(is *is.I, c *cluster) {
		for i := range 10 {
			go c.platform.Publish(docs(100 + i))
			last := c.platform.Publish(docs(200 + i))
			synctest.Wait()
			is.True(c.await(last, 5*time.Second, all) != nil)
			time.Sleep(2 * time.Second)
			whole := map[string]int{}
			for _, p := range c.procs {
				whole[p.holder.Get().Digest]++
			}
			is.Equal(len(whole), 1)
		}
	})
}

// A document of the largest size reaches every process; one that is larger is
// refused as a whole.
func TestDocumentAtTheSizeLimit(t *testing.T) {
	settled(t, 6, 6, func(is *is.I, c *cluster) {
		padded := func(size int) map[string][]byte {
			d := docs(2)
			text := append(d["all.yaml"], "# "...)
			for len(text) < size {
				text = append(text, 'x')
			}
			return map[string][]byte{"all.yaml": text}
		}
		rev := c.platform.Publish(padded(config.MaxDocument))
		is.True(c.await(rev, 10*time.Second, all) != nil)
		c.platform.Publish(padded(config.MaxDocument + 1))
		time.Sleep(20 * time.Second)
		for _, p := range c.procs {
			is.Equal(p.holder.Get().Revision(), rev)
		}
	})
}

// A process that is paused for minutes and woken knows that its view is not
// vouched for any more, and comes to the newest.
func TestPausedProcessKnowsItsViewIsOld(t *testing.T) {
	for _, name := range []string{"gw-001", "box-001"} {
		t.Run(name, func(t *testing.T) {
			settled(t, 6, 6, func(is *is.I, c *cluster) {
				pause := func(paused bool) {
					for other := range c.boxes {
						if other != name {
							c.net.Stall(name, other, paused)
						}
					}
					c.mu.Lock()
					c.cutOff[c.boxes[name].Hall] = paused
					c.mu.Unlock()
				}
				pause(true)
				rev := c.platform.Publish(docs(2))
				time.Sleep(3 * time.Minute)
				v := c.procs[name].holder.Get()
				is.Equal(v.Revision(), uint64(1))
				is.True(time.Now().After(v.FreshUntil))
				pause(false)
				is.True(c.await(rev, 20*time.Second, all) != nil)
			})
		})
	}
}
