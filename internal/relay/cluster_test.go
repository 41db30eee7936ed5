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

// testCluster is a set of real gateways with fake replicas and a fake store, on a simulated
// network.
type testCluster struct {
	t               *testing.T
	net             *simnet.Network
	store           *platformtest.Store
	replicas        []*platformtest.Replica
	gateways        []*relay.Relay
	stops           []context.CancelFunc
	mu              sync.Mutex      // Guards replicas in tests that start some of them later.
	hallCount       int             // Gateways are assigned to this number of halls in turn; one by default.
	onDial          func(to string) // If set, called before a gateway connects.
	agentPort       int             // Port of the agents that gateways query for load; none if 0.
	join            []string        // Addresses through which gateways join; the first gateway by default.
	soleStoreClient atomic.Int64    // If positive, only gateway soleStoreClient-1 can reach the store of storeFor.
}

// runCluster runs a test on a new cluster in virtual time. The configuration has a stream
// route, a safe route, an unsafe route and a public safe route.
func runCluster(t *testing.T, gateways int, replicas []*platformtest.Replica, test func(is *is.I, cl *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &testCluster{
			t: t, store: &platformtest.Store{}, replicas: replicas,
			net: &simnet.Network{Latency: func(string, string) time.Duration { return time.Millisecond }},
		}
		cl.store.Put("op/config", config(1))
		for _, r := range replicas {
			cl.net.Add(&simnet.End{Name: r.Addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: r.Serve})
			cl.store.Put("servers/"+r.ID, r.Record("ready"))
		}
		for i := range gateways {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(3 * time.Second)
		test(is.New(t), cl)
		for _, stop := range cl.stops {
			stop()
		}
		for _, r := range replicas {
			cl.net.Remove(r.Addr)
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

func (cl *testCluster) hallOf(gateway int) string {
	return fmt.Sprintf("h%d", 1+gateway%max(1, cl.hallCount))
}

func (cl *testCluster) addGateway(i int, store http.Handler) {
	g, stop := cl.startGateway(i, store, true)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.gateways, cl.stops = append(cl.gateways, g), append(cl.stops, stop)
}

// startGateway starts a gateway, on the first start of the whole system or later, and returns it with
// the function that ends it.
func (cl *testCluster) startGateway(i int, store http.Handler, first bool) (*relay.Relay, context.CancelFunc) {
	addr := gatewayAddr(i)
	transport := &simnet.Transport{Find: func(string) http.Handler { return store }}
	s := &platform.Store{Addr: "store:1", HTTP: &http.Client{Transport: transport}}
	t := &platform.Translator{}
	join := cl.join
	if join == nil {
		join = []string{gatewayAddr(0)}
	}
	g, err := relay.New(&settings.Relay{
		DirectCommon: settings.DirectCommon{
			Cluster: "c", Box: addr, Hall: cl.hallOf(i), Listen: addr, Store: "store:1", Join: join,
		},
		AgentPort: cl.agentPort, FirstStart: first,
		RelayReloadable: settings.RelayReloadable{
			GracePeriod: 8 * time.Second, VersionWithin: 8 * time.Second, ApplyWithin: 2 * time.Second,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 30,
			Regions: map[string]string{"h1": "r1", "h2": "r2", "h3": "r3"},
		},
	}, relay.Options{
		Headers: platform.HeaderNames, BuildCatalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.HoldPolicy,
		Follower: &peers.Follower{ReadAll: s.ReadAll, Watch: s.Watch, Newest: s.NewestPosition},
		Dial: func(ctx context.Context, to string) (net.Conn, error) {
			if cl.onDial != nil {
				cl.onDial(to)
			}
			return cl.net.Dial(ctx, addr, to)
		},
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	srv := g.Server()
	cl.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: srv.ServeConn})
	ctx, cancel := context.WithCancel(context.Background())
	var k kernel.Kernel
	g.AddTasks(&k)
	done := make(chan struct{})
	go func() {
		_ = k.Run(ctx)
		close(done)
	}()
	return g, func() {
		cancel()
		g.Close()
		cl.net.Remove(addr)
		<-done
	}
}

// interruptibleStore returns a handler that serves the store, or answers 503 while unavailable
// is set.
func (cl *testCluster) interruptibleStore(unavailable *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if unavailable.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		cl.store.ServeHTTP(rw, r)
	})
}

// reply is the response that a caller received.
type reply struct {
	status    int
	header    http.Header
	body      string
	truncated bool // The response was aborted before its end.
}

// send sends a caller's request to a gateway, with additional headers.
func (cl *testCluster) send(gateway int, method, target string, header map[string]string) reply {
	return cl.sendContext(context.Background(), gateway, method, target, header)
}

// gateway returns a gateway, which may be restarted meanwhile.
func (cl *testCluster) gateway(i int) *relay.Relay {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.gateways[i]
}

func (cl *testCluster) sendContext(ctx context.Context, gateway int, method, target string, header map[string]string) (out reply) {
	r := httptest.NewRequestWithContext(ctx, method, "http://h.example"+target, strings.NewReader("body"))
	r.RequestURI = target
	r.Header.Set("X-Attempt-Id", "a1")
	r.Header.Set("X-Deadline-Ms", "6000")
	r.Header.Set("Authorization", "Bearer k")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	rec := httptest.NewRecorder()
	defer func() {
		out = reply{rec.Code, rec.Header(), rec.Body.String(), out.truncated}
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			out.truncated = true
		}
	}()
	cl.gateway(gateway).ServeHTTP(rec, r)
	return out
}

func countRuns(rs []*platformtest.Replica) int {
	n := 0
	for _, r := range rs {
		n += len(r.Runs())
	}
	return n
}

func plainReplicas(n int) []*platformtest.Replica {
	var out []*platformtest.Replica
	for i := range n {
		out = append(out, &platformtest.Replica{ID: fmt.Sprintf("p%d", i), Service: "api", Addr: fmt.Sprintf("10.1.0.%d:80", i+1), Hall: "h1"})
	}
	return out
}

func engines(n, events int) []*platformtest.Replica {
	out := plainReplicas(n)
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
