package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// Size of the deployment of a soak.
const (
	soakGateways  = 3
	soakEngines   = 4
	engineSlots   = 8
	engineQueue   = 12
	soakCallers   = 24
	callerTimeout = 6 * time.Second
	tokensPerStep = 5
	redialDelay   = 100 * time.Millisecond
	// lossSlack is how long after a request was sent its connection may be closed without an
	// answer because the gateway had closed it before.
	lossSlack = 200 * time.Millisecond
	// maxRolling is how many gateways may be stopped at once.
	maxRolling = 2
)

// soak is a run of a deployment under load while planned work and silences are drawn.
type soak struct {
	*world
	// withFaults also draws kills and pauses of gateways, resets of links and refusals of the
	// store. Answers may be broken off then, but nothing that is told to callers may be false.
	withFaults bool
	rand       *rand.Rand // Used by the goroutine that draws disturbances only.
	balancer   balancer
	links      []*proxy
	agents     []*process

	configVersion int
	target        uint64
	origin        *platformtest.Origin
	originAddr    string

	mu         sync.Mutex
	runs       map[string]int // Runs of each attempt ID.
	rolling    []*gateway
	violations []string

	sent, whole, refused, failed, unread atomic.Int64
	disturbances                         []string
}

// balancer directs new connections to gateways as a load balancer does: it leaves out those that
// failed two checks in a row, unless fewer than half are left.
type balancer struct {
	mu     sync.Mutex
	missed map[*gateway]int
}

func (b *balancer) run(gateways []*gateway, done <-chan struct{}) {
	const interval = time.Second
	for {
		for _, g := range gateways {
			ready := g.isReady()
			b.mu.Lock()
			b.missed[g]++
			if ready {
				b.missed[g] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-time.After(interval):
		case <-done:
			return
		}
	}
}

func (b *balancer) pick(gateways []*gateway) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gateway
	for _, g := range gateways {
		if b.missed[g] < 2 {
			in = append(in, g)
		}
	}
	if 2*len(in) < len(gateways) {
		in = gateways
	}
	return in[rand.IntN(len(in))]
}

func soakConfig(version int) platformtest.Body {
	plain := func(name, kind string) platformtest.Body {
		return platformtest.Route(name, "/plain/"+name+"/", kind, "llm", nil)
	}
	return platformtest.Config(
		version,
		platformtest.Route("s", "/s/", "stream", "llm", nil),
		platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false}),
		plain("safe", "safe"), plain("unsafe", "unsafe"),
		platformtest.Route(fmt.Sprint("added", version), fmt.Sprintf("/added/%d/", version), "stream", "llm", nil),
	)
}

func newSoak(t *testing.T, seed uint64, withFaults bool) *soak {
	s := &soak{
		withFaults: withFaults,
		rand:       rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}, balancer: balancer{missed: map[*gateway]int{}},
		configVersion: 1, target: 1,
	}
	s.world = newWorld(t, soakGateways, soakConfig(1))
	weights := platformtest.Weights{Pieces: 8, PieceBytes: 256 << 10}
	s.origin = &platformtest.Origin{Weights: weights}
	s.origin.Newest.Store(1)
	s.originAddr = s.serveHTTP(loopback(), s.origin)
	s.store.Put("op/config", s.config())
	s.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 1})
	const mbit, delay = 1e6 / 8, 1400 * time.Microsecond
	between := &rate{bytesPerSecond: 22 * mbit}
	for i := range soakEngines {
		s.addEngine(i, weights, between, delay)
	}
	s.awaitReady()
	return s
}

// config returns the newest configuration.
func (s *soak) config() platformtest.Body {
	cfg := soakConfig(s.configVersion)
	for _, svc := range cfg["services"].([]platformtest.Body) {
		if svc["origin"] != nil {
			svc["origin"] = s.originAddr
		}
		if e, ok := svc["engine"].(platformtest.Body); ok {
			e["chunks"], e["chunk_bytes"], e["slots"] = s.origin.Weights.Pieces, s.origin.Weights.PieceBytes, engineSlots
		}
	}
	return cfg
}

// addEngine starts an engine and its agent. Gateways reach it over a link that is limited together
// with all others.
func (s *soak) addEngine(i int, weights platformtest.Weights, between *rate, delay time.Duration) {
	e := &platformtest.Engine{
		ID: fmt.Sprintf("e%d", i), Hall: fmt.Sprintf("h%d", 1+i%3), Slots: engineSlots, QueueLimit: engineQueue, Weights: weights,
		LoadTime: 300 * time.Millisecond, OnRun: s.recordRun,
	}
	e.Start(1)
	direct := s.serveHTTP(loopback(), e)
	e.Addr = fmt.Sprintf("%s:%d", loopback(), servicePort)
	p, err := newProxy(e.Addr, direct)
	if err != nil {
		s.t.Fatal(err)
	}
	p.delay, p.rate = delay, between
	s.links = append(s.links, p)
	s.stops = append(s.stops, p.close)
	s.replicas = append(s.replicas, e.ID)
	record := func() { s.store.Put("servers/"+e.ID, e.Record()) }
	record()
	stop := make(chan struct{})
	s.stops = append(s.stops, func() { close(stop) })
	go func() { // The platform lists the version that the engine has loaded.
		const heartbeat = 500 * time.Millisecond
		for listed := e.LoadedVersion(); ; {
			select {
			case <-time.After(heartbeat):
			case <-stop:
				return
			}
			if v := e.LoadedVersion(); v != listed {
				listed = v
				record()
			}
		}
	}()
	ip := loopback()
	a := newProcess(s.t, s.dir, fmt.Sprintf("a%d", i), "stager", fmt.Sprintf(`cluster: c
box: a%d
hall: %s
listen: %s:%d
store: %s
join: ["%s"]
replica: %s
service: llm
link: 22
version_within: 8s
`, i, e.Hall, ip, listenPort, s.storeAddr, s.gateways[0].peers(), direct))
	a.start()
	s.agents = append(s.agents, a)
	s.stops = append(s.stops, a.kill)
}

func (s *soak) recordRun(r platformtest.EngineRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.ID]++
}

func (s *soak) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// runCaller sends requests one after the other until done is closed. It keeps its connection until
// the gateway closes it.
func (s *soak) runCaller(n int, r *rand.Rand, done <-chan struct{}) {
	c := &caller{}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(r.IntN(400)) * time.Millisecond):
		}
		if c.conn == nil {
			c.addr = s.balancer.pick(s.gateways).callers()
		}
		s.sendOne(c, fmt.Sprintf("a%d-%d", n, i), r)
	}
}

// sendOne sends a request and checks its answer.
func (s *soak) sendOne(c *caller, id string, r *rand.Rand) {
	target := []string{"/s/", "/s/", "/s/", "/once/", "/plain/safe/", "/plain/unsafe/"}[r.IntN(6)]
	eventCount := 4 + r.IntN(40)
	prompt := 100 + r.IntN(1500)
	s.sent.Add(1)
	got := c.send(id, target, callerTimeout, fmt.Sprintf("X-Token-Count: %d,%d", prompt, eventCount*tokensPerStep))
	switch {
	case got.whole() && got.status == 200:
		s.whole.Add(1)
		if !oneVersion(got.body, eventCount) {
			s.violate("%s %s: not the whole answer of one version: %q", id, target, got.body)
		}
	case got.whole() && got.status == 503:
		s.refused.Add(1)
		if s.runsOf(id) > 0 {
			s.violate("%s %s: refused as not run, but it ran", id, target)
		}
		time.Sleep(retryAfter(got))
	case got.whole():
		s.failed.Add(1)
		if got.status != 504 && !s.withFaults {
			s.violate("%s %s by %s: %v", id, target, c.addr, got)
		}
	case errors.Is(got.err, errNotConnected):
		s.unread.Add(1)
		time.Sleep(redialDelay)
	case got.status == 0 && s.runsOf(id) == 0 && got.took < lossSlack:
		s.unread.Add(1) // It crossed the close of the connection.
	case got.took < callerTimeout && !s.withFaults:
		s.violate("%s %s by %s: broken off: %v, %d runs", id, target, c.addr, got, s.runsOf(id))
	}
	if n := s.runsOf(id); n > 1 && (target == "/once/" || target == "/plain/unsafe/") {
		s.violate("%s %s ran %d times", id, target, n)
	}
}

func retryAfter(r *reply) time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Second, time.Duration(seconds*float64(time.Second)))
}

// oneVersion reports whether body has n events in order, all of one version.
func oneVersion(body string, n int) bool {
	var first, version int
	if _, err := fmt.Sscanf(body, "id: %d\ndata: e1 of %d\n\n", &first, &version); err != nil {
		return false
	}
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: e%d of %d\n\n", i, i, version)
	}
	return body == want.String()
}

// disturb does one piece of planned work, or silences a link, drawn at random.
func (s *soak) disturb(wg *sync.WaitGroup) {
	r := s.rand
	g := s.gateways[r.IntN(len(s.gateways))]
	pause := time.Duration(r.IntN(600)) * time.Millisecond
	begin := func(name string, do func()) {
		s.disturbances = append(s.disturbances, name)
		wg.Go(do)
	}
	const faultShare = 0.3
	if s.withFaults && r.Float64() < faultShare {
		s.drawFault(g, pause, begin)
		return
	}
	switch r.IntN(16) {
	case 0, 1:
		s.configVersion++
		cfg := s.config()
		begin("config", func() { s.store.Put("op/config", cfg) })
	case 2:
		s.target++
		v := s.target
		begin("version", func() {
			s.origin.Newest.Store(v)
			s.store.Put("op/version/m", platformtest.Body{"model": "m", "version": v})
		})
	case 3, 4:
		begin("reload all", func() {
			for _, g := range s.gateways {
				g.signal(syscall.SIGHUP)
			}
		})
	case 5, 6, 7, 8:
		repeated, reload := r.IntN(2) == 0, r.IntN(2) == 0
		begin(fmt.Sprintf("roll %s repeated=%v reload=%v", g.name, repeated, reload), func() { s.roll(g, pause, repeated, reload) })
	case 9:
		a := s.agents[r.IntN(len(s.agents))]
		begin("restart "+a.name, func() {
			if err := a.stop(grace); err != nil && !a.neverRan() {
				s.violate("%s ended: %v: %s", a.name, err, a.log.String())
			}
			a.start()
		})
	default:
		const minStall = 300 * time.Millisecond
		p := s.links[r.IntN(len(s.links))]
		begin("silence", func() {
			p.stall()
			time.Sleep(minStall + 2*pause)
			p.resume()
		})
	}
}

// drawFault begins one fault, drawn at random.
func (s *soak) drawFault(g *gateway, pause time.Duration, begin func(name string, do func())) {
	switch s.rand.IntN(4) {
	case 0:
		begin("kill "+g.name, func() {
			if !s.beginRoll(g) {
				return
			}
			defer s.endRoll(g)
			g.kill()
			time.Sleep(pause)
			g.start()
		})
	case 1:
		begin("pause "+g.name, func() {
			g.signal(syscall.SIGSTOP)
			time.Sleep(4 * pause)
			g.signal(syscall.SIGCONT)
		})
	case 2:
		p := s.links[s.rand.IntN(len(s.links))]
		begin("reset", p.cut)
	default:
		begin("store refuses", func() {
			s.store.Refuse(503)
			time.Sleep(4 * pause)
			s.store.Refuse(0)
		})
	}
}

// roll stops a gateway as the platform does, possibly with further signals, and starts it again.
func (s *soak) roll(g *gateway, pause time.Duration, repeated, reload bool) {
	if !s.beginRoll(g) {
		return
	}
	defer s.endRoll(g)
	time.AfterFunc(pause, func() {
		if repeated {
			g.signal(syscall.SIGTERM)
		}
		if reload {
			g.signal(syscall.SIGHUP)
		}
	})
	err := g.stop(grace)
	if !s.withFaults {
		if err != nil && !g.neverRan() {
			s.violate("%s ended: %v: %s", g.name, err, g.log.String())
		}
		for _, line := range g.lines("request_cut") {
			s.violate("%s", line)
		}
	}
	g.start()
}

// beginRoll reports whether the gateway may be rolled: not too many are being rolled, and it is
// not one of them.
func (s *soak) beginRoll(g *gateway) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rolling) >= maxRolling || slices.Contains(s.rolling, g) {
		return false
	}
	s.rolling = append(s.rolling, g)
	return true
}

func (s *soak) endRoll(g *gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolling = slices.DeleteFunc(s.rolling, func(o *gateway) bool { return o == g })
}

// play runs the soak for a time, and reports what was broken.
func (s *soak) play(duration time.Duration) {
	done := make(chan struct{})
	var callers, work sync.WaitGroup
	go s.balancer.run(s.gateways, done)
	for n := range soakCallers {
		r := rand.New(rand.NewPCG(uint64(n), s.rand.Uint64()))
		callers.Go(func() { s.runCaller(n, r, done) })
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.disturb(&work)
		const minPause, spread = 100, 1200 // Milliseconds.
		time.Sleep(time.Duration(minPause+s.rand.IntN(spread)) * time.Millisecond)
	}
	work.Wait()
	close(done)
	callers.Wait()
	for _, g := range s.gateways {
		if g.ended() {
			s.violate("%s ended by itself: %v: %s", g.name, g.wait(), g.log.String())
		}
		for _, line := range g.lines("panic") {
			s.violate("%s: %s", g.name, line)
		}
	}
	s.t.Logf("sent %d, whole %d, refused %d, failed %d, unread %d; configuration %d, version %d; %d disturbances: %s",
		s.sent.Load(), s.whole.Load(), s.refused.Load(), s.failed.Load(), s.unread.Load(), s.configVersion, s.target,
		len(s.disturbances), strings.Join(s.disturbances, ", "))
	for _, v := range s.violations {
		s.t.Error(v)
	}
	if s.whole.Load() == 0 {
		s.t.Error("no request was answered in full")
	}
}

// Planned work and silences, in series and overlapping, cut off no answer.
func TestPlannedWorkCutsNoAnswer(t *testing.T) { playSeeds(t, false) }

// Unplanned faults beside planned work may cost answers, and break no promise.
func TestFaultsMakeNoAnswerFalse(t *testing.T) { playSeeds(t, true) }

// playSeeds plays a seed for a short time. POSTSTAND_SEEDS=FROM-TO plays others, each for a minute.
func playSeeds(t *testing.T, withFaults bool) {
	from, to, duration := uint64(1), uint64(1), 20*time.Second
	if seeds := os.Getenv("POSTSTAND_SEEDS"); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatal(err)
		}
		duration = time.Minute
	}
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newSoak(t, seed, withFaults).play(duration) })
	}
}
