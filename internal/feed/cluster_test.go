package feed_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/feed"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/standin"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/view"
	"github.com/poststand/poststand/wire"
)

// cluster runs many processes with the real feed over a simulated network.
type cluster struct {
	t        *testing.T
	net      *simnet.Network
	platform *standin.Platform
	boxes    map[string]fleet.Box

	mu     sync.Mutex
	procs  map[string]*proc
	cutOff map[string]bool // Halls that cannot reach the platform.
	events map[string]int
}

// proc is one process of a cluster.
type proc struct {
	fleet.Box
	holder *view.Holder
	feed   *feed.Feed
	cancel context.CancelFunc
	bytes  int
}

var clusterCodec = wire.NewCodec(feed.Messages)

func docs(version int) map[string][]byte {
	text := fmt.Sprintf(`
halls: {h0: {}, h1: {}, h2: {}}
limits: {queue: %d}
services: {s: {kind: plain, boxes: engine, replicas: {h0: 1}}}
`, version)
	return map[string][]byte{"all.yaml": []byte(text)}
}

func invalidDocs() map[string][]byte {
	return map[string][]byte{"all.yaml": []byte("halls: {h0: {}}\nlimits: {queu: 3}\n")}
}

// runSettled runs a test on a cluster whose processes all hold the first revision.
func runSettled(t *testing.T, gateways, followers int, fn func(is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, gateways, followers)
		defer c.stop()
		is.True(c.await(1, 10*time.Second, everyProc) != nil)
		fn(is, c)
	})
}

// newCluster starts gateways and followers, distributed over three halls.
func newCluster(t *testing.T, gateways, followers int) *cluster {
	c := &cluster{
		t: t, platform: &standin.Platform{}, boxes: map[string]fleet.Box{}, procs: map[string]*proc{},
		cutOff: map[string]bool{}, events: map[string]int{},
	}
	c.net = &simnet.Network{Small: 1 << 30, Latency: func(a, b string) time.Duration {
		return time.Millisecond + time.Duration(rendezvous.Score(a, b)%1_000_000)
	}}
	for i := range gateways {
		c.add(fmt.Sprintf("gw-%03d", i), fleet.ClassGateway, i)
	}
	for i := range followers {
		c.add(fmt.Sprintf("box-%03d", i), "engine", i)
	}
	c.platform.Publish(docs(1))
	c.platform.SetFleet(c.boxes)
	for _, name := range rendezvous.Sorted(c.boxes) {
		c.start(name)
	}
	return c
}

func (c *cluster) add(name, class string, i int) {
	c.boxes[name] = fleet.Box{Name: name, Hall: fmt.Sprintf("h%d", i%3), Class: class, Addr: name}
}

func (c *cluster) start(name string) {
	b := c.boxes[name]
	ctx, cancel := context.WithCancel(context.Background())
	p := &proc{Box: b, holder: &view.Holder{}, cancel: cancel}
	hs := &wire.Handlers{}
	hello := wire.Hello{Cluster: "c", Box: name, Hall: b.Hall, Incarnation: 1}
	count := func(sent, received int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.bytes += sent + received
	}
	p.feed = &feed.Feed{
		Box: name, Hall: b.Hall, Addr: name, Gateway: b.Class == fleet.ClassGateway, Holder: p.holder,
		Join:     []string{"gw-000", "gw-001", "gw-002"},
		Platform: &feed.Platform{URL: "http://platform", Client: &http.Client{Transport: &platformTransport{c: c, hall: b.Hall}}},
		Pool: &wire.Pool{
			Local: hello, Codec: clusterCodec, Handlers: hs, Lifetime: ctx, Options: wire.Options{OnTraffic: count},
			Dial: func(ctx context.Context, addr string) (net.Conn, error) { return c.net.Dial(ctx, name, addr) },
		},
		Event: func(what string, code fault.Code) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.events[what+"/"+string(code)]++
		},
	}
	feed.Serve(hs, p.holder, p.feed.FreshFor)
	srv := &wire.Server{Local: hello, Codec: clusterCodec, Handlers: hs, Options: wire.Options{OnTraffic: count}}
	c.net.Add(&simnet.End{Name: name, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: func(_ context.Context, nc net.Conn) {
		srv.ServeConn(ctx, nc)
	}})
	c.mu.Lock()
	c.procs[name] = p
	c.mu.Unlock()
	go func() {
		time.Sleep(time.Duration(rendezvous.Score("start", name) % 100_000_000))
		_ = p.feed.Run(ctx)
	}()
}

func (c *cluster) restart(name string) *proc {
	c.procs[name].cancel()
	c.net.Remove(name)
	c.start(name)
	return c.procs[name]
}

func (c *cluster) stop() {
	c.platform.SetMode(standin.Mode{Down: true})
	for name, p := range c.procs {
		p.cancel()
		c.net.Remove(name)
	}
	time.Sleep(2 * time.Minute) // Allows sleeping goroutines to end.
}

// cutHall disconnects a hall from the platform, and also from the other halls if others
// is set, or reconnects it if cut is false.
func (c *cluster) cutHall(hall string, cut, others bool) {
	c.mu.Lock()
	c.cutOff[hall] = cut
	c.mu.Unlock()
	if !others {
		return
	}
	for _, a := range c.boxes {
		for _, b := range c.boxes {
			if a.Hall == hall && b.Hall != hall {
				c.net.Cut(a.Name, b.Name, cut)
			}
		}
	}
}

// await waits until every process that keep selects holds a revision, and returns the
// time that each took in increasing order. It returns nil if that takes longer than
// limit.
func (c *cluster) await(revision uint64, limit time.Duration, keep func(*proc) bool) []time.Duration {
	start := time.Now()
	took := map[string]time.Duration{}
	for time.Since(start) < limit {
		want := 0
		for name, p := range c.procs {
			if !keep(p) {
				continue
			}
			want++
			if _, ok := took[name]; !ok && p.holder.Get().Revision() >= revision {
				took[name] = time.Since(start)
			}
		}
		if len(took) == want {
			var out []time.Duration
			for _, d := range took {
				out = append(out, d)
			}
			slices.Sort(out)
			return out
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

func everyProc(*proc) bool { return true }

// platformTransport is an http.RoundTripper that passes requests directly to the platform.
type platformTransport struct {
	c    *cluster
	hall string
}

func (pt *platformTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	pt.c.mu.Lock()
	cut := pt.c.cutOff[pt.hall]
	pt.c.mu.Unlock()
	if cut {
		return nil, fault.New(fault.Unreachable, "platform")
	}
	time.Sleep(3 * time.Millisecond)
	w := httptest.NewRecorder()
	pt.c.platform.ServeHTTP(w, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}
