package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// Bounds of the users' rules on parts of prompts that crash replicas: requests with such a part
// may reach replicas maxLateArrivals times later than propagationBound after its fifth crash, and
// from twice that time on, sound requests that share other parts with them begin at their first
// attempt minSoundShare times as often as before.
const (
	partCrashes     = 5
	maxLateArrivals = 3
	minSoundShare   = 0.95
)

// fatalParts makes replicas crash that start to run a request with a fatal part in its prompt.
type fatalParts struct {
	crasher *crashInjector

	mu       sync.Mutex
	begin    string // What is sent of an answer to a fatal request before the crash; empty for nothing.
	fatal    map[string]bool
	crashed  map[*platformtest.Replica]bool
	crashes  map[string][]time.Time // By part.
	arrivals map[string][]time.Time // Of requests at replicas, by part.
}

func (cl *testCluster) injectFatalParts() *fatalParts {
	f := &fatalParts{
		crasher: &crashInjector{cl: cl}, fatal: map[string]bool{}, crashed: map[*platformtest.Replica]bool{},
		crashes: map[string][]time.Time{}, arrivals: map[string][]time.Time{},
	}
	for _, r := range cl.replicas {
		r.Handle, r.CrashOn = f.recordArrival, f.crashOnFatal
	}
	return f
}

// fatalPart returns the fatal part of a request; empty if it has none.
func (f *fatalParts) fatalPart(r *http.Request) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		if id, _, _ := strings.Cut(part, ":"); f.fatal[id] {
			return id
		}
	}
	return ""
}

func (f *fatalParts) recordArrival(_ int, x *platformtest.Exchange) bool {
	if part := f.fatalPart(x.Request); part != "" {
		f.mu.Lock()
		f.arrivals[part] = append(f.arrivals[part], time.Now())
		f.mu.Unlock()
	}
	return false
}

func (f *fatalParts) crashOnFatal(x *platformtest.Exchange) bool {
	part := f.fatalPart(x.Request)
	if part == "" {
		return false
	}
	if f.begin != "" {
		x.Printf("%s", x.Head(http.StatusOK, f.begin))
	}
	time.Sleep(crashAfter)
	if f.begin != "" {
		f.crasher.cl.net.Refuse(x.Replica.Addr)
		_ = x.Conn.Close()
		time.Sleep(2 * endArrives)
	}
	f.mu.Lock()
	crashed := f.crashed[x.Replica]
	f.crashed[x.Replica] = true
	if !crashed {
		f.crashes[part] = append(f.crashes[part], time.Now())
	}
	f.mu.Unlock()
	if !crashed {
		f.crasher.crash(x.Replica)
	}
	return true
}

// fifthCrash returns when a part had crashed partCrashes replicas, or its last crash if there are
// fewer; zero if there is none.
func (f *fatalParts) fifthCrash(part string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.crashes[part]
	if len(at) == 0 {
		return time.Time{}
	}
	return at[min(partCrashes, len(at))-1]
}

func (f *fatalParts) lateArrivals(part string) int {
	bound := f.fifthCrash(part).Add(propagationBound)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes[part]) < partCrashes {
		return 0
	}
	n := 0
	for _, at := range f.arrivals[part] {
		if at.After(bound) {
			n++
		}
	}
	return n
}

// partLoad is the load of a test with fatal parts. Sound requests share their first part with all
// others, and a middle part with some others.
type partLoad struct {
	Seed           uint64
	SoundPerSecond float64
	FatalPerSecond float64
	Fatal          []string                     // Fatal parts; each fatal request has one of them.
	Prompt         func(fatal, n string) string // Parts of the n-th fatal request; by default the fatal one is between a common one and a random one.
	Warm           bool                         // Sound requests have the fatal parts before they turn fatal.
	Before, During time.Duration                // Time without and with fatal requests.
	Meanwhile      func()                       // If set, called while fatal requests are sent.
	Begin          string                       // What replicas send of an answer to a fatal request before they crash: headers and events.
}

const middleParts = 12

func middlePart(r *rand.Rand) string { return fmt.Sprintf("d%x:400", r.IntN(middleParts)) }

// outcome is what became of a sound request at its first attempt.
type soundOutcome struct {
	at          time.Time
	begun       bool
	quarantined bool
}

// run sends the load and checks the users' bounds.
func (l *partLoad) run(cl *testCluster) {
	cl.t.Helper()
	f := cl.injectFatalParts()
	f.begin = l.Begin
	r := rand.New(rand.NewPCG(l.Seed, 1))
	start, stop, gateways := time.Now(), make(chan struct{}), len(cl.gateways)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sound []soundOutcome
	pause := func(perSecond float64) {
		time.Sleep(time.Duration(float64(time.Second) * r.ExpFloat64() / perSecond))
	}
	wg.Go(func() {
		for n := 0; time.Since(start) < l.Before+l.During; n++ {
			pause(l.SoundPerSecond)
			prompt := fmt.Sprintf("a0:40,%s,5%x:7", middlePart(r), n)
			if l.Warm && time.Since(start) < l.Before && n%4 == 0 {
				prompt = fmt.Sprintf("a0:40,%s:400,5%x:7", l.Fatal[r.IntN(len(l.Fatal))], n)
			}
			gateway, at := r.IntN(gateways), time.Now()
			wg.Go(func() {
				got := cl.sendPrompt(gateway, fmt.Sprintf("/s/sound/%d", n), prompt)
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, soundOutcome{at, got.status == http.StatusOK, got.quarantined()})
			})
		}
		close(stop)
	})
	time.Sleep(l.Before)
	f.mu.Lock()
	for _, p := range l.Fatal {
		f.fatal[p] = true
	}
	f.mu.Unlock()
	if l.Meanwhile != nil {
		wg.Go(l.Meanwhile)
	}
	draws := rand.New(rand.NewPCG(l.Seed, 2))
	for n := 0; len(l.Fatal) > 0 && time.Since(start) < l.Before+l.During; n++ {
		time.Sleep(time.Duration(float64(time.Second) * draws.ExpFloat64() / l.FatalPerSecond))
		part := l.Fatal[draws.IntN(len(l.Fatal))]
		prompt := fmt.Sprintf("a0:40,%s:300,%s,7%x:9", part, middlePart(draws), n)
		if l.Prompt != nil {
			prompt = l.Prompt(part, fmt.Sprintf("7%x", n))
		}
		gateway := draws.IntN(gateways)
		wg.Go(func() {
			const tries = 2 // One retry, as callers do.
			for try := range tries {
				target := fmt.Sprintf("/s/other/%d", n)
				if got := cl.sendPrompt((gateway+try)%gateways, target, prompt); got.status == http.StatusServiceUnavailable {
					return
				}
			}
		})
	}
	<-stop
	wg.Wait()
	l.check(cl, f, start.Add(l.Before), sound)
}

func (l *partLoad) check(cl *testCluster, f *fatalParts, fatalFrom time.Time, sound []soundOutcome) {
	cl.t.Helper()
	settled := fatalFrom
	if len(l.Fatal) == 0 {
		for _, s := range sound {
			if s.quarantined {
				cl.t.Errorf("a sound request was refused %v after replicas began to crash without a fatal part", s.at.Sub(fatalFrom))
			}
		}
		return
	}
	for _, p := range l.Fatal {
		late, fifth := f.lateArrivals(p), f.fifthCrash(p)
		cl.t.Logf("part %s: %d crashes, %d arrivals, %d late; fifth crash after %v", p, len(f.crashes[p]), len(f.arrivals[p]), late, fifth.Sub(fatalFrom))
		if late > maxLateArrivals {
			cl.t.Errorf("BUDGET: requests with part %s reached replicas %d times later than %v after its fifth crash; %d replicas crashed in all", p, late, propagationBound, len(f.crashes[p]))
		}
		if at := fifth.Add(2 * propagationBound); at.After(settled) {
			settled = at
		}
	}
	before, after := begunShare(sound, time.Time{}, fatalFrom), begunShare(sound, settled, time.Now())
	cl.t.Logf("sound requests that began at the first attempt: %.3f before, %.3f meanwhile, %.3f after", before, begunShare(sound, fatalFrom, settled), after)
	if after < minSoundShare*before {
		cl.t.Errorf("LOST: %.3f of the sound requests began at their first attempt, %.3f did before", after, before)
	}
}

// begunShare returns the share of the requests sent from a time until another that began.
func begunShare(sound []soundOutcome, from, until time.Time) float64 {
	n, begun := 0, 0
	for _, s := range sound {
		if s.at.Before(from) || !s.at.Before(until) {
			continue
		}
		n++
		if s.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n))
}

func (cl *testCluster) sendPrompt(gateway int, target, parts string) reply {
	return cl.send(gateway, "POST", target, map[string]string{"X-Attempt-Id": fmt.Sprintf("%s@%d", target, gateway), "X-Prefix-Hash": parts})
}

// partCase is a case of TestPartsThatCrashReplicas.
type partCase struct {
	name               string
	gateways, replicas int
	slots              int // Of each replica; 0 is no limit.
	load               partLoad
	meanwhile          func(cl *testCluster) // If set, called while fatal requests are sent.
	begin              string                // What replicas send of an answer to a fatal request before they crash.
}

const unframedHead = "Content-Type: text/event-stream\r\n\r\n"

func partCases() []partCase {
	load := func(perSecond float64, during time.Duration, fatal ...string) partLoad {
		return partLoad{SoundPerSecond: 50, FatalPerSecond: perSecond, Fatal: fatal, Before: 5 * time.Second, During: during}
	}
	with := func(l partLoad, change func(l *partLoad)) partLoad {
		change(&l)
		return l
	}
	sound := partLoad{SoundPerSecond: 50, Before: 5 * time.Second, During: 20 * time.Second}
	return []partCase{
		{name: "in the middle", gateways: 6, replicas: 32, load: load(5, 15*time.Second, "f1")},
		{name: "first", gateways: 6, replicas: 32, load: with(load(5, 15*time.Second, "f1"), func(l *partLoad) {
			l.Prompt = func(fatal, own string) string { return fatal + ":40,d3:400," + own + ":9" }
		})},
		{name: "sound until just now", gateways: 6, replicas: 32, load: with(load(5, 15*time.Second, "f1"), func(l *partLoad) { l.Warm = true })},
		{name: "always with another rare part", gateways: 6, replicas: 32, load: with(load(5, 15*time.Second, "f1"), func(l *partLoad) {
			l.Prompt = func(fatal, own string) string { return "a0:40," + fatal + ":300,e1:200," + own + ":9" }
		})},
		{name: "two at once", gateways: 6, replicas: 32, load: load(8, 15*time.Second, "f1", "f2")},
		{name: "two at once that share their other part", gateways: 6, replicas: 32, load: with(load(8, 15*time.Second, "f1", "f2"), func(l *partLoad) {
			l.Prompt = func(fatal, own string) string { return "a0:40," + fatal + ":300,d3:400," + own + ":9" }
		})},
		{name: "seldom", gateways: 6, replicas: 16, load: with(load(0.15, 100*time.Second, "f1"), func(l *partLoad) { l.SoundPerSecond = 20 })},
		{name: "few replicas with few slots, often", gateways: 6, replicas: 16, slots: 8, load: load(10, 15*time.Second, "f1")},
		{name: "many gateways, often", gateways: 20, replicas: 32, load: load(10, 15*time.Second, "f1")},
		{name: "gateways restart", gateways: 6, replicas: 32, load: load(5, 15*time.Second, "f1"), meanwhile: func(cl *testCluster) {
			for i := range len(cl.gateways) {
				time.Sleep(3 * time.Second)
				cl.restart(i)
			}
		}},
		{name: "halves that are cut off from each other", gateways: 6, replicas: 32, load: load(5, 15*time.Second, "f1"), meanwhile: func(cl *testCluster) {
			for i := range 3 {
				for j := 3; j < 6; j++ {
					cl.net.Stall(gatewayAddr(i), gatewayAddr(j), true)
				}
			}
		}},
		{name: "no fatal part, half of the replicas at one moment", gateways: 6, replicas: 32, load: sound, meanwhile: func(cl *testCluster) {
			c := &crashInjector{cl: cl}
			for range 3 {
				for _, r := range cl.running()[:16] {
					c.crash(r)
				}
				time.Sleep(4 * time.Second)
			}
		}},
		{name: "no fatal part, one replica after the other", gateways: 6, replicas: 32, load: sound, meanwhile: func(cl *testCluster) {
			c := &crashInjector{cl: cl}
			for _, r := range cl.running() {
				c.crash(r)
				time.Sleep(250 * time.Millisecond)
			}
		}},
		{name: "answers begin without length", gateways: 6, replicas: 32, load: load(5, 15*time.Second, "f1"), begin: unframedHead},
		{name: "answers begin with an event", gateways: 6, replicas: 32, load: load(5, 15*time.Second, "f1"), begin: unframedHead + events(1, 1)},
	}
}

func (tc *partCase) run(t *testing.T, seed uint64) {
	if n, err := strconv.Atoi(os.Getenv("POSTSTAND_GATEWAYS")); err == nil {
		tc.gateways = max(tc.gateways, n)
	}
	replicas := engines(tc.replicas, 20)
	for _, r := range replicas {
		r.Slots = tc.slots
	}
	runCluster(t, tc.gateways, replicas, func(_ *is.I, cl *testCluster) {
		l := tc.load
		l.Seed, l.Begin = seed, tc.begin
		if tc.meanwhile != nil {
			l.Meanwhile = func() { tc.meanwhile(cl) }
		}
		l.run(cl)
	})
}

// Requests of which no two are alike share a part of their prompts that crashes each replica which
// starts to run it.
func TestRequestsThatShareAFatalPartAreNotSentOnAndOn(t *testing.T) {
	for _, gateways := range []int{4, 6} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d gateways/%d", gateways, seed), func(t *testing.T) {
				tc := partCases()[0]
				tc.gateways = gateways
				tc.run(t, seed)
			})
		}
	}
}

// Whichever part crashes replicas, and whatever else goes on: it is stopped, and the requests that
// share all other parts with it are served. POSTSTAND_SEEDS plays other seeds, POSTSTAND_GATEWAYS
// more gateways.
func TestPartsThatCrashReplicas(t *testing.T) {
	first, last := uint64(1), uint64(1)
	if v := os.Getenv("POSTSTAND_SEEDS"); v != "" {
		if _, err := fmt.Sscanf(v, "%d-%d", &first, &last); err != nil {
			t.Fatalf("POSTSTAND_SEEDS: %v", err)
		}
	}
	for _, tc := range partCases() {
		for seed := first; seed <= last; seed++ {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) { tc.run(t, seed) })
		}
	}
}
