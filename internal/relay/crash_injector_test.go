package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
)

// fatalTarget is the target of requests that crash each replica which starts to run them.
const fatalTarget = "/s/fatal"

// Times of replicas that crash, and of callers that retry.
const (
	crashAfter          = 80 * time.Millisecond   // Run time of a fatal request before its replica crashes.
	restartAfter        = 2 * time.Second         // Time from a crash to the start of the next incarnation.
	delistAfter         = 3600 * time.Millisecond // Time from a crash to the deletion of the crashed incarnation's entry.
	callerRetryInterval = 500 * time.Millisecond  // Interval between two requests of a caller, each to another gateway.
	callerRetrySpan     = 20 * time.Second        // Time for which a caller retries.
)

// The required bounds: once a request has crashed maxTerminations replicas, all connected gateways
// must quarantine it within propagationBound, and send it at most maxTerminations times after
// that.
const (
	maxTerminations  = 3
	propagationBound = 3 * time.Second
)

// crashInjector crashes and restarts replicas, and records the runs of fatal requests.
type crashInjector struct {
	cl    *testCluster
	after time.Duration // Run time of a fatal request before its replica crashes.

	mu         sync.Mutex
	crashTimes []time.Time // When replicas crashed under a fatal request.
	runTimes   []time.Time // When fatal requests started to run.
	crashCount int         // Number of crashes, also without a fatal request.
}

// injectCrashes makes all replicas crash under fatal requests.
func (cl *testCluster) injectCrashes() *crashInjector {
	c := &crashInjector{cl: cl, after: crashAfter}
	for _, r := range cl.replicas {
		r.CrashOn = c.crashIfFatal
	}
	return c
}

// crashIfFatal crashes the replica if the request is fatal.
func (c *crashInjector) crashIfFatal(x *platformtest.Exchange) bool {
	if !strings.HasPrefix(x.Request.RequestURI, fatalTarget) {
		return false
	}
	c.mu.Lock()
	c.runTimes = append(c.runTimes, time.Now())
	c.mu.Unlock()
	time.Sleep(c.after)
	c.mu.Lock()
	c.crashTimes = append(c.crashTimes, time.Now())
	c.mu.Unlock()
	c.crash(x.Replica)
	return true
}

// crash crashes a replica, which starts again later as another incarnation.
func (c *crashInjector) crash(r *platformtest.Replica) {
	cl := c.cl
	cl.net.Remove(r.Addr)
	c.mu.Lock()
	c.crashCount++
	next := &platformtest.Replica{
		ID: fmt.Sprintf("%s-%d", r.Addr, c.crashCount), Service: r.Service, Addr: r.Addr, Hall: r.Hall, Version: r.Version,
		Events: r.Events, EventInterval: r.EventInterval, Slots: r.Slots, CrashOn: r.CrashOn, Handle: r.Handle,
	}
	c.mu.Unlock()
	cl.addReplica(next)
	time.AfterFunc(delistAfter, func() { cl.store.Delete("servers/" + r.ID) })
	time.AfterFunc(restartAfter, func() {
		cl.net.Add(&simnet.End{Name: next.Addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: next.Serve})
		cl.store.Put("servers/"+next.ID, next.Record("ready"))
	})
}

// checkLateRuns fails the test if fatal requests ran more than maxTerminations times after the
// propagation bound.
func (c *crashInjector) checkLateRuns() {
	if n := c.lateRuns(); n > maxTerminations {
		c.cl.t.Errorf("a request that had crashed three replicas ran %d more times; %d replicas crashed in all", n, len(c.crashTimes))
	}
}

// addReplica adds a replica that starts during the test.
func (cl *testCluster) addReplica(r *platformtest.Replica) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.replicas = append(cl.replicas, r)
}

func (cl *testCluster) allReplicas() []*platformtest.Replica {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.replicas)
}

// running returns the current incarnation of each replica.
func (cl *testCluster) running() (out []*platformtest.Replica) {
	newest := map[string]*platformtest.Replica{}
	for _, r := range cl.allReplicas() {
		newest[r.Addr] = r
	}
	for _, r := range newest {
		out = append(out, r)
	}
	return out
}

// lateRuns returns the number of runs of fatal requests that started after the propagation bound.
func (c *crashInjector) lateRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashTimes) < maxTerminations {
		return 0
	}
	n := 0
	for _, at := range c.runTimes {
		if at.Sub(c.crashTimes[maxTerminations-1]) > propagationBound {
			n++
		}
	}
	return n
}

// sendRepeatedly sends a request again and again for the span, each time with a new ID and to the
// next of the gateways, and returns the last reply. It fails the test if a request ran that was
// refused as not run.
func (cl *testCluster) sendRepeatedly(target string, span time.Duration, gateways ...int) (last reply) {
	cl.t.Helper()
	refused := map[string]bool{}
	for i := 0; i < int(span/callerRetryInterval); i++ {
		at := time.Now()
		id := fmt.Sprintf("%s#%d@%v", target, i, gateways)
		last = cl.send(gateways[i%len(gateways)], "POST", target, map[string]string{"X-Attempt-Id": id})
		refused[id] = last.status == http.StatusServiceUnavailable
		time.Sleep(time.Until(at.Add(callerRetryInterval)))
	}
	for _, r := range cl.allReplicas() {
		for _, run := range r.Runs() {
			if refused[run.ID] {
				cl.t.Errorf("%s was refused as not run, but ran on %s", run.ID, r.ID)
			}
		}
	}
	return last
}

// isQuarantined reports whether a gateway refuses a request for as long as only a quarantine lasts.
func (cl *testCluster) isQuarantined(gateway int, target string) bool {
	got := cl.send(gateway, "POST", target, map[string]string{"X-Attempt-Id": "asked"})
	return got.quarantined()
}

// quarantined reports whether a request was refused for as long as only a quarantine lasts.
func (r *reply) quarantined() bool {
	const minSeconds = 60 // The retry delay of other refusals is shorter.
	seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	return r.status == http.StatusServiceUnavailable && seconds > minSeconds
}

// restart kills a gateway and starts it again.
func (cl *testCluster) restart(i int) {
	cl.endGateway(i)
	cl.replaceGateway(i)
}

// endGateway ends a gateway.
func (cl *testCluster) endGateway(i int) {
	cl.mu.Lock()
	stop := cl.stops[i]
	cl.mu.Unlock()
	stop()
}

// replaceGateway starts a gateway in place of one that has ended.
func (cl *testCluster) replaceGateway(i int) {
	g, stop := cl.startGateway(i, cl.store, false)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.gateways[i], cl.stops[i] = g, stop
}

// sendHarmless sends harmless requests to all gateways: one target that many callers share, and
// many with a target of their own. Each is retried until it is served. It fails the test if any
// of them is quarantined afterwards.
func (cl *testCluster) sendHarmless(span time.Duration) {
	const interval, maxTries = 20 * time.Millisecond, 8
	var wg sync.WaitGroup
	for i := range int(span / interval) {
		target := "/s/alike"
		if i%2 == 0 {
			target = fmt.Sprintf("/s/own/%d", i)
		}
		wg.Go(func() {
			for try := range maxTries {
				g := (i + try) % len(cl.gateways)
				if got := cl.send(g, "POST", target, map[string]string{"X-Attempt-Id": fmt.Sprintf("%d.%d", i, try)}); got.status == http.StatusOK && !got.truncated {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	quarantined := 0
	for g := range cl.gateways {
		if cl.isQuarantined(g, "/s/alike") {
			quarantined++
		}
	}
	for i := 0; i < int(span/interval); i += 2 { // All gateways have the same records by now, so one gateway per target is enough.
		if cl.isQuarantined(i/2%len(cl.gateways), fmt.Sprintf("/s/own/%d", i)) {
			quarantined++
		}
	}
	if quarantined > 0 {
		cl.t.Errorf("%d harmless requests were quarantined", quarantined)
	}
}
