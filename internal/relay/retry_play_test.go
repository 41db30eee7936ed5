package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
)

// The bound on retries in test clusters; see addGateway.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 30
)

// retryPlay sends requests to the gateways of a cluster while its replicas shed most of them and
// gateways restart, and counts requests and retries.
type retryPlay struct {
	cl  *testCluster
	rng *rand.Rand

	mu       sync.Mutex
	rate     float64 // Requests a second.
	shedding bool    // Three in four replicas shed 0.7 of what they get,
	shedAll  bool    // or all of them everything.
	sheds    *rand.Rand
	sent     []time.Time
	arrived  map[string]bool // Attempt IDs of which an attempt has reached a replica.
	retries  []time.Time     // Arrivals past the first of each request.
	lives    []*gatewayLife  // By gateway.
	requests sync.WaitGroup
}

// gatewayLife is one process of a gateway.
type gatewayLife struct {
	ctx     context.Context // Ends when the process is killed.
	kill    context.CancelFunc
	stop    context.CancelFunc // Begins a planned stop.
	drained chan struct{}      // Closed when a planned stop has ended.
	ready   bool               // Callers use it.
}

// runRetryPlay runs test on gateways in three halls, with replicas that shed from now on.
func runRetryPlay(t *testing.T, gateways int, rate float64, seed uint64, test func(p *retryPlay)) *retryPlay {
	p := &retryPlay{rng: rand.New(rand.NewPCG(seed, 1)), sheds: rand.New(rand.NewPCG(seed, 2)), rate: rate, arrived: map[string]bool{}}
	replicas := plainReplicas(12)
	for i, r := range replicas {
		part := 0.7
		if i%4 == 3 {
			part = 0
		}
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			sheds := p.arrival(x.Request.Header.Get("X-Attempt-Id"), part)
			if sheds {
				x.Reject("")
			}
			return sheds
		}
	}
	runCluster(t, 0, replicas, func(_ *is.I, cl *testCluster) {
		p.cl, cl.hallCount = cl, 3
		cl.join = []string{gatewayAddr(0), gatewayAddr(1), gatewayAddr(2)}
		for i := range gateways {
			cl.addGateway(i, cl.store)
			p.lives = append(p.lives, nil)
			p.live(i)
		}
		time.Sleep(retryWindow + 2*time.Second)
		end := make(chan struct{})
		go p.sendAll(end)
		time.Sleep(retryWindow + 2*time.Second)
		p.setShedding(true)
		test(p)
		p.setShedding(false)
		close(end)
		p.requests.Wait()
		for _, l := range p.lives {
			l.stop()
		}
	})
	return p
}

// live begins the life of a gateway that has just been added to the cluster.
func (p *retryPlay) live(i int) {
	l := &gatewayLife{drained: make(chan struct{}), ready: true}
	l.ctx, l.kill = context.WithCancel(context.Background())
	stop, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	g := p.cl.gateway(i)
	go func() {
		_ = g.ServeCallers(stop, l.ctx, simnet.NewListener())
		close(l.drained)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lives[i] = l
}

// arrival counts a request that reached a replica which sheds some part of them, and reports whether it
// is shed.
func (p *retryPlay) arrival(id string, part float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.arrived[id] {
		p.retries = append(p.retries, time.Now())
	}
	p.arrived[id] = true
	return p.shedding && (p.shedAll || p.sheds.Float64() < part)
}

func (p *retryPlay) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

func (p *retryPlay) setShedding(shedding bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedding = shedding
}

// sendAll sends requests at random times to random gateways until end is closed.
func (p *retryPlay) sendAll(end chan struct{}) {
	rng := rand.New(rand.NewPCG(p.rng.Uint64(), 3))
	for n := 0; ; n++ {
		p.mu.Lock()
		gap := time.Duration(rng.ExpFloat64() / p.rate * float64(time.Second))
		p.mu.Unlock()
		select {
		case <-end:
			return
		case <-time.After(gap):
		}
		p.mu.Lock()
		p.sent = append(p.sent, time.Now())
		i := rng.IntN(len(p.lives))
		for tries := 0; tries < len(p.lives) && !p.lives[i].ready; tries++ {
			i = (i + 1) % len(p.lives)
		}
		l := p.lives[i]
		p.mu.Unlock()
		if l.ready {
			p.requests.Go(func() {
				p.cl.sendContext(l.ctx, i, "POST", "/safe/", map[string]string{"X-Attempt-Id": fmt.Sprint("r", n)})
			})
		}
	}
}

// takeLife returns the life of a gateway if callers use it, and ends that use.
func (p *retryPlay) takeLife(i int) *gatewayLife {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lives[i]
	if !l.ready {
		return nil
	}
	l.ready = false
	return l
}

// kill kills gateways at once, and starts them again after some time.
func (p *retryPlay) kill(down time.Duration, gateways ...int) {
	var killed []int
	for _, i := range gateways {
		if l := p.takeLife(i); l != nil {
			l.kill()
			l.stop()
			p.cl.endGateway(i)
			killed = append(killed, i)
		}
	}
	time.Sleep(down)
	for _, i := range killed {
		p.start(i)
	}
}

// stop stops a gateway as planned: callers turn away from it while it drains.
func (p *retryPlay) stop(i int, down time.Duration) {
	l := p.takeLife(i)
	if l == nil {
		return
	}
	l.stop()
	<-l.drained
	p.cl.endGateway(i)
	time.Sleep(down)
	p.start(i)
}

// start starts a gateway that has ended.
func (p *retryPlay) start(i int) {
	p.cl.replaceGateway(i)
	p.live(i)
}

// add adds a gateway.
func (p *retryPlay) add() {
	p.mu.Lock()
	i := len(p.lives)
	p.mu.Unlock()
	g, stop := p.cl.startGateway(i, p.cl.store, false)
	p.cl.mu.Lock()
	p.cl.gateways, p.cl.stops = append(p.cl.gateways, g), append(p.cl.stops, stop)
	p.cl.mu.Unlock()
	p.mu.Lock()
	p.lives = append(p.lives, &gatewayLife{})
	p.mu.Unlock()
	p.live(i)
}

// some returns the indices of about a part of the gateways.
func (p *retryPlay) some(part float64) (out []int) {
	for _, i := range p.all() {
		if p.rng.Float64() < part {
			out = append(out, i)
		}
	}
	return out
}

// all returns the indices of all gateways.
func (p *retryPlay) all() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]int, len(p.lives))
	for i := range out {
		out[i] = i
	}
	return out
}

// within returns how many of the times, in order, are at from or later, and before from plus the window.
func within(ts []time.Time, from time.Time) int {
	count := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(ts, at, time.Time.Compare)
		return i
	}
	return count(from.Add(retryWindow)) - count(from)
}

// worst returns the window that comes closest to the bound on retries, or exceeds it most.
func (p *retryPlay) worst() (retries int, allowed float64) {
	ratio := -1.0
	for _, from := range p.retries {
		requests := max(within(p.sent, from), within(p.sent, from.Add(-retryWindow/2)), within(p.sent, from.Add(-retryWindow)))
		n, bound := within(p.retries, from), retryRatio*float64(requests)+retrySlack
		if r := float64(n) / bound; r > ratio {
			retries, allowed, ratio = n, bound, r
		}
	}
	return retries, allowed
}

// checkBound reports an error if a window has more retries than the bound allows.
func (p *retryPlay) checkBound(t *testing.T) {
	retries, allowed := p.worst()
	t.Logf("%d retries in a window, %.0f allowed; %d of %d requests", retries, allowed, len(p.retries), len(p.sent))
	if float64(retries) > allowed {
		t.Errorf("%d retries in a window, allowed %.0f", retries, allowed)
	}
}
