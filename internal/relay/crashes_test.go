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

// fatal is the target of requests that end each replica which begins to run them.
const fatal = "/s/fatal"

// Times of replicas that crash, and of callers that try again.
const (
	crashAfter = 80 * time.Millisecond   // A fatal request has run for so long by then.
	backAfter  = 2 * time.Second         // The next incarnation starts.
	lapseAfter = 3600 * time.Millisecond // The entry of the last one goes.
	tryEvery   = 500 * time.Millisecond  // Between two tries of a caller, each at another gateway.
	crashSpan  = 20 * time.Second        // Of tries.
)

// The users' rule: when a request has ended so many replicas, all gateways that are in touch
// must know of it within a time, and send it no more often than that afterwards.
const (
	allowed = 3
	knownIn = 3 * time.Second
)

// crashes is what replicas that end under requests have seen.
type crashes struct {
	w *world

	mu   sync.Mutex
	ends []time.Time // Of replicas under a fatal request.
	runs []time.Time // A fatal request began to run.
	next int
}

// crashOn has all replicas end under fatal requests.
func (w *world) crashOn() *crashes {
	c := &crashes{w: w}
	for _, r := range w.replicas {
		r.CrashOn = c.under
	}
	return c
}

// under ends the replica if the request is fatal.
func (c *crashes) under(x *platformtest.Exchange) bool {
	if !strings.HasPrefix(x.Request.RequestURI, fatal) {
		return false
	}
	c.mu.Lock()
	c.runs = append(c.runs, time.Now())
	c.mu.Unlock()
	time.Sleep(crashAfter)
	c.mu.Lock()
	c.ends = append(c.ends, time.Now())
	c.mu.Unlock()
	c.end(x.Replica)
	return true
}

// end crashes a replica; it is back a while later as another incarnation.
func (c *crashes) end(r *platformtest.Replica) {
	w := c.w
	w.net.Remove(r.Addr)
	c.mu.Lock()
	c.next++
	next := &platformtest.Replica{
		ID: fmt.Sprintf("%s-%d", r.Addr, c.next), Service: r.Service, Addr: r.Addr, Hall: r.Hall, Version: r.Version,
		Events: r.Events, EventInterval: r.EventInterval, Slots: r.Slots, CrashOn: r.CrashOn,
	}
	c.mu.Unlock()
	w.addReplica(next)
	time.AfterFunc(lapseAfter, func() { w.store.Delete("servers/" + r.ID) })
	time.AfterFunc(backAfter, func() {
		w.net.Add(&simnet.End{Name: next.Addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: next.Serve})
		w.store.Put("servers/"+next.ID, next.Record("ready"))
	})
}

// judge fails the test if a fatal request was sent on and on.
func (c *crashes) judge() {
	if n := c.late(); n > allowed {
		c.w.t.Errorf("a request under which three replicas had ended ran %d times more; %d ended in all", n, len(c.ends))
	}
}

// addReplica adds one that starts while the test plays.
func (w *world) addReplica(r *platformtest.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = append(w.replicas, r)
}

func (w *world) allReplicas() []*platformtest.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.replicas)
}

// living returns the replicas that run.
func (w *world) living() (out []*platformtest.Replica) {
	newest := map[string]*platformtest.Replica{}
	for _, r := range w.allReplicas() {
		newest[r.Addr] = r
	}
	for _, r := range newest {
		out = append(out, r)
	}
	return out
}

// late counts the runs of fatal requests that began after all had to know of three ends.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ends) < allowed {
		return 0
	}
	n := 0
	for _, at := range c.runs {
		if at.Sub(c.ends[allowed-1]) > knownIn {
			n++
		}
	}
	return n
}

// tries has a caller ask for the same again and again, each time with a new id and at
// another of some gateways, and returns the last answer. What was refused as not run must
// not have run.
func (w *world) tries(target string, span time.Duration, gateways ...int) (last reply) {
	w.t.Helper()
	refused := map[string]bool{}
	for i := 0; i < int(span/tryEvery); i++ {
		at := time.Now()
		id := fmt.Sprintf("%s#%d@%v", target, i, gateways)
		last = w.ask(gateways[i%len(gateways)], "POST", target, map[string]string{"X-Attempt-Id": id})
		refused[id] = last.status == http.StatusServiceUnavailable
		time.Sleep(time.Until(at.Add(tryEvery)))
	}
	for _, r := range w.allReplicas() {
		for _, run := range r.Runs() {
			if refused[run.ID] {
				w.t.Errorf("%s was refused as not run and ran on %s", run.ID, r.ID)
			}
		}
	}
	return last
}

// isQuarantined reports whether a gateway refuses a request for long.
func (w *world) isQuarantined(gateway int, target string) bool {
	const long = 60 // Seconds; other refusals are for less.
	got := w.ask(gateway, "POST", target, map[string]string{"X-Attempt-Id": "asked"})
	in, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	return got.status == http.StatusServiceUnavailable && in > long
}

// restart kills a gateway and starts it anew.
func (w *world) restart(i int) {
	w.stops[i]()
	w.addGateway(i, w.store)
	last := len(w.gateways) - 1
	w.gateways[i], w.stops[i] = w.gateways[last], w.stops[last]
	w.gateways, w.stops = w.gateways[:last], w.stops[:last]
}

// soundly has callers ask for what does no harm, at all gateways: a request that many make
// alike, and others that differ, each of which is asked for again until it is served.
func (w *world) soundly(span time.Duration) {
	const every, patience = 20 * time.Millisecond, 8
	var all sync.WaitGroup
	for i := range int(span / every) {
		target := "/s/alike"
		if i%2 == 0 {
			target = fmt.Sprintf("/s/own/%d", i)
		}
		all.Go(func() {
			for try := range patience {
				g := (i + try) % len(w.gateways)
				if got := w.ask(g, "POST", target, map[string]string{"X-Attempt-Id": fmt.Sprintf("%d.%d", i, try)}); got.status == http.StatusOK && !got.cut {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(every)
	}
	all.Wait()
	quarantined := 0
	for g := range w.gateways {
		if w.isQuarantined(g, "/s/alike") {
			quarantined++
		}
	}
	for i := 0; i < int(span/every); i += 2 { // All gateways know of the same ones by now.
		if w.isQuarantined(i/2%len(w.gateways), fmt.Sprintf("/s/own/%d", i)) {
			quarantined++
		}
	}
	if quarantined > 0 {
		w.t.Errorf("%d sound requests were quarantined", quarantined)
	}
}
