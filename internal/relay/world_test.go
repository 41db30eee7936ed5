package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/platform"
	"github.com/poststand/poststand/platform/platformtest"
)

func TestMain(m *testing.M) {
	if os.Getenv("POSTSTAND_LOG") == "" {
		telemetry.Discard()
	}
	os.Exit(m.Run())
}

// world is a small deployment: gateways of real code before stand-ins.
type world struct {
	t        *testing.T
	net      *simnet.Network
	store    *platformtest.Store
	replicas []*platformtest.Replica
	gateways []*relay.Relay
	stops    []context.CancelFunc
	mu       sync.Mutex      // Guards replicas where some start while the test plays.
	halls    int             // Gateways stand in so many halls in turn; one by default.
	dials    func(to string) // If set, called before a gateway connects.
	join     []string        // Whom gateways ask first; the first one by default.
	only     atomic.Int64    // If positive, the number, from 1, of the one gateway that storeOf answers.
}

// run plays a test in virtual time, with a configuration of one stream, one safe
// and one unsafe route.
func run(t *testing.T, gateways int, replicas []*platformtest.Replica, play func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, store: &platformtest.Store{}, replicas: replicas,
			net: &simnet.Network{Latency: func(string, string) time.Duration { return time.Millisecond }},
		}
		w.store.Put("op/config", config(1))
		for _, r := range replicas {
			w.net.Add(&simnet.End{Name: r.Addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: r.Serve})
			w.store.Put("servers/"+r.ID, r.Record("ready"))
		}
		for i := range gateways {
			w.addGateway(i, w.store)
		}
		time.Sleep(3 * time.Second)
		play(is.New(t), w)
		for _, stop := range w.stops {
			stop()
		}
		for _, r := range replicas {
			w.net.Remove(r.Addr)
		}
		time.Sleep(time.Minute)
	})
}

func config(version int) platformtest.Body {
	return platformtest.Config(
		version,
		platformtest.Route("s", "/s/", "stream", "llm", nil),
		platformtest.Route("safe", "/safe/", "safe", "api", nil),
		platformtest.Route("unsafe", "/unsafe/", "unsafe", "api", nil),
		platformtest.Route("public", "/safe/public/", "safe", "api", platformtest.Body{"public": true}),
	)
}

func gatewayAddr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (w *world) hallOf(gateway int) string { return fmt.Sprintf("h%d", 1+gateway%max(1, w.halls)) }

func (w *world) addGateway(i int, store http.Handler) {
	addr := gatewayAddr(i)
	transport := &simnet.Transport{Find: func(string) http.Handler { return store }}
	s := &platform.Store{Addr: "store:1", HTTP: &http.Client{Transport: transport}}
	t := &platform.Translator{}
	join := w.join
	if join == nil {
		join = []string{gatewayAddr(0)}
	}
	g, err := relay.New(&settings.Relay{
		Own: settings.Own{
			Cluster: "c", Box: addr, Hall: w.hallOf(i), Listen: addr, Store: "store:1", Join: join,
		},
		RelayBounds: settings.RelayBounds{
			GraceFor: 8 * time.Second, VersionWithin: 8 * time.Second, ApplyWithin: 2 * time.Second,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 30,
		},
	}, relay.Options{
		Headers: platform.Dialect, BuildCatalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.Precedence,
		Follower: &peers.Follower{ReadAll: s.Whole, Watch: s.Watch, Newest: s.Newest},
		Dial: func(ctx context.Context, to string) (net.Conn, error) {
			if w.dials != nil {
				w.dials(to)
			}
			return w.net.Dial(ctx, addr, to)
		},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	srv := g.Server()
	w.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: srv.ServeConn})
	ctx, cancel := context.WithCancel(context.Background())
	var k kernel.Kernel
	g.AddTasks(&k)
	done := make(chan struct{})
	go func() {
		_ = k.Run(ctx)
		close(done)
	}()
	w.gateways = append(w.gateways, g)
	w.stops = append(w.stops, func() {
		cancel()
		g.Close()
		w.net.Remove(addr)
		<-done
	})
}

// storeUnless is the store, which turns away while away is set.
func (w *world) storeUnless(away *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if away.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	})
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	cut    bool // The answer was cut, visibly.
}

// ask sends a caller's request to a gateway.
func (w *world) ask(gateway int, method, target string, more map[string]string) reply {
	return w.askWith(context.Background(), gateway, method, target, more)
}

func (w *world) askWith(ctx context.Context, gateway int, method, target string, more map[string]string) (out reply) {
	r := httptest.NewRequestWithContext(ctx, method, "http://h.example"+target, strings.NewReader("body"))
	r.RequestURI = target
	r.Header.Set("X-Attempt-Id", "a1")
	r.Header.Set("X-Deadline-Ms", "6000")
	r.Header.Set("Authorization", "Bearer k")
	for k, v := range more {
		r.Header.Set(k, v)
	}
	rec := httptest.NewRecorder()
	defer func() {
		out = reply{rec.Code, rec.Header(), rec.Body.String(), out.cut}
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			out.cut = true
		}
	}()
	w.gateways[gateway].ServeHTTP(rec, r)
	return out
}

func runs(rs []*platformtest.Replica) int {
	n := 0
	for _, r := range rs {
		n += len(r.Runs())
	}
	return n
}

func plain(n int) []*platformtest.Replica {
	var out []*platformtest.Replica
	for i := range n {
		out = append(out, &platformtest.Replica{ID: fmt.Sprintf("p%d", i), Service: "api", Addr: fmt.Sprintf("10.1.0.%d:80", i+1), Hall: "h1"})
	}
	return out
}

func engines(n, events int) []*platformtest.Replica {
	out := plain(n)
	for i, r := range out {
		r.ID, r.Service, r.Version, r.Events, r.EventInterval = fmt.Sprintf("e%d", i), "llm", 1, events, 50*time.Millisecond
	}
	return out
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}
