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
	runSettled(t, 6, 16, func(is *is.I, c *cluster) {
		time.Sleep(30 * time.Second)
		is.True(c.await(c.platform.Publish(docs(2)), 2*time.Second, everyProc) != nil)
	})
}

func TestHallCutFromThePlatformIsFedByOthers(t *testing.T) {
	runSettled(t, 6, 16, func(is *is.I, c *cluster) {
		c.cutHall("h1", true, false)
		time.Sleep(time.Minute)
		is.True(c.await(c.platform.Publish(docs(2)), 5*time.Second, everyProc) != nil)
	})
}

func TestHallCutFromAllKeepsWhatItHasAndCatchesUp(t *testing.T) {
	runSettled(t, 6, 16, func(is *is.I, c *cluster) {
		c.cutHall("h1", true, true)
		rev := c.platform.Publish(docs(2))
		time.Sleep(5 * time.Minute)
		for name, p := range c.procs {
			want := rev
			if p.Hall == "h1" {
				want = 1
			}
			is.Equal(fmt.Sprint(name, p.holder.Get().Revision()), fmt.Sprint(name, want))
			is.Equal(time.Now().Before(p.holder.Get().FreshUntil), p.Hall != "h1") // The view of a disconnected hall has expired.
		}
		c.cutHall("h1", false, true)
		is.True(c.await(rev, 10*time.Second, everyProc) != nil)
	})
}

// A process that starts while the platform answers with an older revision must receive
// the newest revision from its peers before it counts as ready.
func TestRestartedProcessLearnsTheNewestFromPeers(t *testing.T) {
	for _, name := range []string{"gw-003", "box-003"} {
		t.Run(name, func(t *testing.T) {
			runSettled(t, 6, 6, func(is *is.I, c *cluster) {
				c.platform.SetMode(standin.Mode{Stale: true}) // Answers with revision 1 from now on.
				c.platform.SetMode(standin.Mode{Stale: true})
				c.publishToOneHall(docs(2))
				is.True(c.await(2, 30*time.Second, everyProc) != nil)
				p := c.restart(name)
				<-p.feed.Synced()
				is.Equal(p.holder.Get().Revision(), uint64(2))
				time.Sleep(time.Minute)
				is.Equal(p.holder.Get().Revision(), uint64(2)) // It does not go back.
			})
		})
	}
}

// publishToOneHall publishes documents while the platform answers with the new revision
// only to h0, and with the old one to the other halls.
func (c *cluster) publishToOneHall(d map[string][]byte) {
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
	runSettled(t, 6, 6, func(is *is.I, c *cluster) {
		c.platform.Publish(invalidDocs())
		time.Sleep(20 * time.Second)
		for _, p := range c.procs {
			is.Equal(p.holder.Get().Revision(), uint64(1))
			is.True(time.Now().Before(p.holder.Get().FreshUntil)) // The view stays current although a revision was refused.
		}
		is.True(c.events["refused_revision/"+string(fault.BadConfig)] > 0)
		is.True(c.events["refused_revision/"+string(fault.BadConfig)] <= 12) // Each watcher reads it once only.
		is.True(c.await(c.platform.Publish(docs(3)), 2*time.Second, everyProc) != nil)
	})
}

// TestRandomFaults publishes, disconnects halls, restarts processes and makes the
// platform fail in random order. It checks that the revision of a process never
// decreases, which view.Holder also asserts, and that every process holds the newest
// revision after all faults have ended.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSettled(t, 6, 9, func(is *is.I, c *cluster) { randomFaults(t, is, c, seed) })
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
			c.platform.Publish(invalidDocs())
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
					t.Fatalf("revision of %s decreased from %d to %d", name, seen[p], r)
				}
				seen[p] = r
			}
		}
	}
	c.platform.SetMode(standin.Mode{})
	for i := range 3 {
		c.cutHall(fmt.Sprintf("h%d", i), false, true)
	}
	// A valid revision that an invalid one replaced before any process read it is lost.
	// The newest revision that a process accepted must reach all, and so must the next.
	newest := uint64(1)
	for _, p := range c.procs {
		newest = max(newest, p.holder.Get().Revision())
	}
	is.True(c.await(newest, 20*time.Second, everyProc) != nil)
	is.True(c.await(c.platform.Publish(docs(99)), 20*time.Second, everyProc) != nil)
}

var measure = flag.Bool("measure", false, "print how changes spread, in virtual time")

// TestMeasure prints the figures quoted in docs/design/configuration.md. Run it with
// scripts/measure.
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
	printLine := func(what string, took []time.Duration, calls int64, period time.Duration, bytes int) {
		p50, longest := time.Duration(-1), time.Duration(-1)
		if len(took) > 0 {
			p50, longest = took[len(took)/2], took[len(took)-1]
		}
		fmt.Printf("processes=%d gateways=%d case=%s p50_ms=%d max_ms=%d platform_calls_s=%.1f bytes_per_process_s=%.0f\n",
			n, gateways, what, p50.Milliseconds(), longest.Milliseconds(), float64(calls)/period.Seconds(), float64(bytes)/float64(n)/period.Seconds())
	}
	c.await(1, time.Minute, everyProc)
	time.Sleep(time.Minute)
	period := 2 * time.Minute
	calls, bytes := c.platform.Calls.Load(), c.bytes()
	time.Sleep(period)
	printLine("rest", nil, c.platform.Calls.Load()-calls, period, c.bytes()-bytes)
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	took := c.await(c.platform.Publish(docs(2)), time.Minute, everyProc)
	time.Sleep(10*time.Second - took[len(took)-1])
	printLine("one_change", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	var last uint64
	for i := range 100 {
		last = c.platform.Publish(docs(100 + i))
		time.Sleep(20 * time.Millisecond)
	}
	took = c.await(last, time.Minute, everyProc)
	time.Sleep(8*time.Second - took[len(took)-1])
	printLine("burst_of_100", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
	c.platform.SetMode(standin.Mode{Down: true})
	time.Sleep(5 * time.Minute)
	c.platform.SetMode(standin.Mode{})
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	took = c.await(c.platform.Publish(docs(1000)), time.Minute, everyProc)
	time.Sleep(10*time.Second - took[len(took)-1])
	printLine("outage_ends", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
	c.cutHall("h1", true, false)
	time.Sleep(time.Minute)
	calls, bytes = c.platform.Calls.Load(), c.bytes()
	took = c.await(c.platform.Publish(docs(1001)), time.Minute, everyProc)
	time.Sleep(10*time.Second - took[len(took)-1])
	printLine("hall_cut", took, c.platform.Calls.Load()-calls, 10*time.Second, c.bytes()-bytes)
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

// A gateway that starts while the platform is down and its peers are unreachable must
// retry the Join addresses of its settings.
func TestGatewayKeepsRetryingJoinAddresses(t *testing.T) {
	runSettled(t, 6, 3, func(is *is.I, c *cluster) {
		c.platform.SetMode(standin.Mode{Down: true})
		c.cutHall("h0", true, true)
		p := c.restart("gw-000") // Its own address is the first in Join.
		time.Sleep(time.Minute)
		is.Equal(p.holder.Get().Revision(), uint64(0))
		c.cutHall("h0", false, true)
		is.True(c.await(1, 10*time.Second, everyProc) != nil)
	})
}

// When two operators publish at the same time, every process must hold the complete
// revision that the platform numbered last.
func TestConcurrentPublishes(t *testing.T) {
	runSettled(t, 6, 9, func(is *is.I, c *cluster) {
		for i := range 10 {
			go c.platform.Publish(docs(100 + i))
			last := c.platform.Publish(docs(200 + i))
			synctest.Wait()
			is.True(c.await(last, 5*time.Second, everyProc) != nil)
			time.Sleep(2 * time.Second)
			digests := map[string]int{}
			for _, p := range c.procs {
				digests[p.holder.Get().Digest]++
			}
			is.Equal(len(digests), 1)
		}
	})
}

// A document of the maximum size must reach every process, and a revision with a larger
// one must be refused.
func TestDocumentAtTheSizeLimit(t *testing.T) {
	runSettled(t, 6, 6, func(is *is.I, c *cluster) {
		padded := func(size int) map[string][]byte {
			d := docs(2)
			text := append(d["all.yaml"], "# "...)
			for len(text) < size {
				text = append(text, 'x')
			}
			return map[string][]byte{"all.yaml": text}
		}
		rev := c.platform.Publish(padded(config.MaxDocument))
		is.True(c.await(rev, 10*time.Second, everyProc) != nil)
		c.platform.Publish(padded(config.MaxDocument + 1))
		time.Sleep(20 * time.Second)
		for _, p := range c.procs {
			is.Equal(p.holder.Get().Revision(), rev)
		}
	})
}

// A process that resumes after minutes without a connection must detect that its view
// has expired, and must then receive the newest revision.
func TestPausedProcessDetectsStaleView(t *testing.T) {
	for _, name := range []string{"gw-001", "box-001"} {
		t.Run(name, func(t *testing.T) {
			runSettled(t, 6, 6, func(is *is.I, c *cluster) {
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
				is.True(c.await(rev, 20*time.Second, everyProc) != nil)
			})
		})
	}
}
