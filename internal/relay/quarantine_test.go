package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A request that crashes every replica which runs it must not be sent on. Without quarantine, a
// gateway sends it to a second replica, which crashes too, and answers 502; the caller retries
// with a new ID at another gateway, which has no record of the crashes. One such stream was sent
// eight times in 4.3 s by four gateways, twelve times to replicas, each without a first event.
// 40 replicas stopped responding within 14 s, and the streams of other callers were lost with them.
func TestRequestThatEndsReplicasIsNotSentOnAndOn(t *testing.T) {
	runCluster(t, 4, engines(8, 3), func(is *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		last := cl.sendRepeatedly(fatalTarget, callerRetrySpan, 0, 1, 2, 3)
		c.checkLateRuns()
		is.Equal(last.status, http.StatusServiceUnavailable) // It was not run.
		for i := range cl.gateways {
			is.True(cl.isQuarantined(i, fatalTarget))
			is.Equal(cl.send(i, "POST", "/s/sound", nil).status, http.StatusOK)
		}
	})
}

// A request that crashes replicas as soon as it begins to run breaks a reused connection at once, like
// one whose replica had terminated before.
func TestRequestThatCrashesReplicasAtOnceIsQuarantined(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runCluster(t, 2, engines(8, 3), func(is *is.I, cl *testCluster) {
				c := cl.injectCrashes()
				c.after = after
				stop := make(chan struct{})
				var sound sync.WaitGroup
				sound.Go(func() { // Keeps connections in use.
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
						sound.Go(func() {
							cl.send(n%2, "POST", fmt.Sprint("/s/sound", n), map[string]string{"X-Attempt-Id": fmt.Sprint("s", n)})
						})
					}
				})
				time.Sleep(time.Second)
				cl.sendRepeatedly(fatalTarget, callerRetrySpan, 0, 1)
				close(stop)
				sound.Wait()
				c.checkLateRuns()
				is.True(cl.isQuarantined(0, fatalTarget))
				is.True(cl.isQuarantined(1, fatalTarget))
			})
		})
	}
}

// On a route with one attempt per request, a fatal request crashes one replica each time that its
// caller sends it. Each of the first three may do so.
func TestFatalRequestOnARouteWithOneAttempt(t *testing.T) {
	runCluster(t, 4, engines(8, 3), func(is *is.I, cl *testCluster) {
		cl.store.Put("op/config", platformtest.Config(2, platformtest.Route("s", "/s/", "stream", "llm", platformtest.Body{"attempts": 1})))
		time.Sleep(time.Second)
		c := cl.injectCrashes()
		cl.sendRepeatedly(fatalTarget, callerRetrySpan, 0, 1, 2, 3)
		c.checkLateRuns()
		is.True(cl.isQuarantined(0, fatalTarget))
	})
}

// All gateways are restarted one after the other. Each must receive the quarantined requests from
// the others.
func TestStartedGatewaysKnowOfQuarantine(t *testing.T) {
	runCluster(t, 3, engines(8, 3), func(is *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		cl.sendRepeatedly(fatalTarget, 3*time.Second, 0, 1, 2)
		for i := range 3 {
			cl.restart(i)
			time.Sleep(1500 * time.Millisecond)
			cl.sendRepeatedly(fatalTarget, 2*time.Second, i)
			is.True(cl.isQuarantined(i, fatalTarget))
		}
		c.checkLateRuns()
	})
}

// A request is quarantined while a gateway is cut off from the others. The gateway must quarantine
// it within propagationBound after it is connected again.
func TestGatewayThatWasAwayLearnsOfQuarantine(t *testing.T) {
	runCluster(t, 4, engines(8, 3), func(is *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		stall := func(stalled bool) {
			for i := range 3 {
				cl.net.Stall(gatewayAddr(3), gatewayAddr(i), stalled)
			}
		}
		stall(true)
		cl.sendRepeatedly(fatalTarget, 6*time.Second, 0, 1, 2)
		stall(false)
		time.Sleep(propagationBound)
		is.True(cl.isQuarantined(3, fatalTarget))
		c.checkLateRuns()
	})
}

// A gateway that is cut off from the others, but not from replicas, must quarantine the request by
// its own records.
func TestIsolatedGatewayQuarantines(t *testing.T) {
	runCluster(t, 4, engines(12, 3), func(is *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		for i := range 3 {
			cl.net.Stall(gatewayAddr(3), gatewayAddr(i), true)
		}
		cl.sendRepeatedly(fatalTarget, 6*time.Second, 3)
		is.True(cl.isQuarantined(3, fatalTarget))
		is.True(len(c.crashTimes) <= 5) // Two crashes in one request, within 0.15 s, count as one.
	})
}

// runHarmless runs sendHarmless on a cluster of 16 replicas while crash terminates some of them.
func runHarmless(t *testing.T, crash func(c *crashInjector)) {
	t.Helper()
	runCluster(t, 4, engines(16, 8), func(_ *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		go crash(c)
		cl.sendHarmless(12 * time.Second)
	})
}

// Replicas terminate for other reasons too: many at one moment, repeatedly, or under a fatal
// request while they run others. Harmless requests must not be quarantined for that.
func TestHarmlessRequestsAreNotQuarantined(t *testing.T) {
	cases := []struct {
		name  string
		crash func(c *crashInjector)
	}{
		{"half at one moment", func(c *crashInjector) {
			for range 3 {
				for _, r := range c.cl.running()[:8] {
					c.crash(r)
				}
				time.Sleep(4 * time.Second)
			}
		}},
		{"all at one moment", func(c *crashInjector) {
			for range 3 {
				for _, r := range c.cl.running() {
					c.crash(r)
				}
				time.Sleep(4 * time.Second)
			}
		}},
		{"under a fatal request", func(c *crashInjector) { c.cl.sendRepeatedly(fatalTarget, 8*time.Second, 0, 1, 2, 3) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { runHarmless(t, tc.crash) })
	}
}

// Harmless requests must not be quarantined either when replicas terminate one after the other,
// four a second, without notice. One that had run on three of them was quarantined because its
// gateway had records of at most six of the ten replicas that terminated around those times:
// terminations under requests whose answers had been in progress for long were not sent to other
// gateways.
func TestSoundRequestsInARollAreNotQuarantined(t *testing.T) {
	runHarmless(t, func(c *crashInjector) {
		for _, r := range c.cl.running() {
			c.crash(r)
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// Connections that break while the replica keeps running are no evidence against the request.
func TestResetsQuarantineNothing(t *testing.T) {
	runCluster(t, 2, engines(4, 3), func(is *is.I, cl *testCluster) {
		for _, r := range cl.replicas {
			r.Handle = func(_ int, x *platformtest.Exchange) bool {
				x.RecordRun()
				_ = x.Conn.Close()
				return true
			}
		}
		cl.sendRepeatedly("/s/lost", 5*time.Second, 0, 1)
		is.True(!cl.isQuarantined(0, "/s/lost"))
	})
}

// A replica terminates under a request of one gateway whose answer has been in progress for long,
// so that the request is no suspect. All gateways must record the termination, also those that
// sent the replica nothing.
func TestEachEndIsTold(t *testing.T) {
	rs, recorded := engines(2, 60), 0
	runCluster(t, 3, rs, func(_ *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		go cl.send(0, "POST", "/s/long", nil)
		time.Sleep(2 * time.Second)
		for _, r := range rs {
			if len(r.Runs()) > 0 {
				c.crash(r)
			}
		}
		time.Sleep(500 * time.Millisecond)
		for i := range cl.gateways {
			recorded += cl.gateways[i].KnownTerminations()
		}
	})
	is.New(t).Equal(recorded, 3)
}

// A replica that runs nothing when it terminates was not known to have, and the others of the same
// rolling restart counted for more against a request that was lost with them.
func TestEndOfAnIdleReplicaIsKnown(t *testing.T) {
	recorded := 0
	runCluster(t, 3, engines(1, 3), func(_ *is.I, cl *testCluster) {
		c := cl.injectCrashes()
		c.crash(cl.replicas[0])
		cl.send(0, "POST", "/s/any", nil)
		time.Sleep(500 * time.Millisecond)
		for i := range cl.gateways {
			recorded += cl.gateways[i].KnownTerminations()
		}
	})
	is.New(t).Equal(recorded, 3)
}
