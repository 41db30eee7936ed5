package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// startStream sends a stream of 30 events, 100 ms apart, through a gateway, calls disturb after
// its first second, and returns what the caller received.
func startStream(g *gateway, disturb func()) *reply {
	t := time.AfterFunc(time.Second, disturb)
	defer t.Stop()
	c := &caller{addr: g.callers()}
	return c.send("a1", "/s/", 6*time.Second)
}

// streamWorld starts a gateway and a replica for startStream.
func streamWorld(t *testing.T) (*world, *gateway) {
	w := newWorld(t, 1, testConfig(1))
	const eventCount, interval = 30, 100 * time.Millisecond
	w.addReplica(&platformtest.Replica{ID: "e0", Service: "llm", Hall: "h1", Version: 1, Events: eventCount, EventInterval: interval})
	w.awaitReady()
	return w, w.gateways[0]
}

// requireWhole fails the test unless the stream of startStream is complete.
func requireWhole(t *testing.T, g *gateway, got *reply) {
	t.Helper()
	is := is.New(t)
	t.Log(got, g.lines("request_cut"), g.lines("gateway_stopped"))
	is.Equal(got.status, http.StatusOK)
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 30))
}

func TestSignalsInSeriesCutNoAnswer(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"reload":               {syscall.SIGHUP, syscall.SIGHUP},
		"stop":                 {syscall.SIGTERM},
		"stop twice":           {syscall.SIGTERM, syscall.SIGTERM},
		"reload, stop, reload": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, g := streamWorld(t)
			got := startStream(g, func() {
				for _, s := range signals {
					g.signal(s)
					time.Sleep(200 * time.Millisecond)
				}
			})
			requireWhole(t, g, got)
		})
	}
}

// Callers take all descriptors, so that connections of other processes can't be accepted.
func TestGatewayWithoutDescriptorsCutsNoAnswer(t *testing.T) {
	t.Parallel()
	w, g := streamWorld(t)
	g.kill()
	const descriptors, idleCallers, peers = 60, 120, 20
	g.descriptors = descriptors
	g.start()
	w.awaitReady()
	got := startStream(g, func() {
		var conns []net.Conn
		for range idleCallers {
			conns = append(conns, dial(g.callers()))
		}
		for range peers {
			time.Sleep(20 * time.Millisecond)
			conns = append(conns, dial(g.peers()))
		}
		time.Sleep(time.Second)
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	requireWhole(t, g, got)
	is.New(t).True(!g.ended())
}

func dial(addr string) net.Conn {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil
	}
	return c
}

func TestGatewayOutlivesTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	w, g := streamWorld(t)
	got := startStream(g, func() {
		g.closeLog()
		w.store.Put("op/config", testConfig(2)) // It logs the new configuration.
	})
	requireWhole(t, g, got)
	is.New(t).True(!g.ended())
}

// A replica that reads nothing for longer than the kernel waits for acknowledgements is sound.
// The request is larger than the buffers of the sockets.
func TestReplicaThatReadsLateAnswersAllTheSame(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const silence, size = 2 * time.Second, 1 << 19
	w := newWorld(t, 1, testConfig(1))
	r := &platformtest.Replica{ID: "p0", Service: "api", Hall: "h1"}
	w.addLateReplica(r, silence)
	w.awaitReady()
	for _, target := range []string{"/safe/", "/unsafe/"} {
		c := &caller{addr: w.gateways[0].callers(), body: strings.Repeat("x", size)}
		got := c.send("a1", target, 6*time.Second)
		t.Log(target, got, w.gateways[0].lines("answer_broken"))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "answer of p0")
		c.close()
		time.Sleep(3 * time.Second) // Connections to the replica expire.
	}
}

// Gateways and agents of the product's own interface read their settings only when they start.
func TestHangupEndsNoProcess(t *testing.T) {
	common := func(ip string) string {
		return fmt.Sprintf("cluster: c\nbox: b\nhall: h1\nlisten: %s:%d\nadmin: %s:%d\njoin: [%q]\n",
			ip, listenPort, ip, adminPort, fmt.Sprintf("%s:%d", ip, listenPort))
	}
	for _, tc := range []struct{ command, settings string }{
		{"gateway", "http: %[1]s:%[2]d\nplatform: http://%[1]s:%[3]d\nlinger_for: 300ms\n"},
		{"agent", "engine: http://%[1]s:%[2]d\nsource: %[1]s:%[3]d\norigin: http://%[1]s:%[2]d\n"},
	} {
		t.Run(tc.command, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ip := loopback()
			p := newProcess(t, t.TempDir(), tc.command, tc.command, common(ip)+fmt.Sprintf(tc.settings, ip, httpPort, readyPort))
			p.start()
			t.Cleanup(p.kill)
			p.awaitLine(`_started"`)
			p.signal(syscall.SIGHUP)
			p.awaitLine("settings_kept")
			p.signal(syscall.SIGTERM)
			p.awaitLine("drain_started")
			p.signal(syscall.SIGHUP)
			is.NoErr(p.wait())
			is.Equal(len(p.lines("drain_ended")), 1)
		})
	}
}

// A replica ends within an unframed stream while its gateway stands still, and is back when that wakes: the
// stream counted as whole.
func TestStreamGoesOnIfItsReplicaWasReplacedDuringAFreeze(t *testing.T) {
	t.Parallel()
	const eventCount, interval, frozen = 30, 100 * time.Millisecond, 1500 * time.Millisecond
	const earnsRetries = 6 * time.Second // A process that knows nothing of its box earns its retries.
	// The gateway that wakes may try a second replica before it sees that the first one's stream has ended.
	w := newWorld(t, 1, platformtest.Config(1, platformtest.Route("s", "/s/", "stream", "llm", platformtest.Body{"attempts": 3})))
	g := w.gateways[0]
	first := make(chan bool, 1)
	first <- true
	for _, id := range []string{"e0", "e1", "e2"} {
		r := &platformtest.Replica{ID: id, Service: "llm", Hall: "h1", Version: 1, Events: eventCount, EventInterval: interval}
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			select {
			case <-first:
			default:
				return false
			}
			x.Printf("%s", x.Head(http.StatusOK, "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"))
			x.Printf("%s", events(1, 5))
			time.Sleep(interval)
			g.signal(syscall.SIGSTOP)
			time.Sleep(interval)
			x.Printf("%s", events(6, 8))
			_ = x.Conn.Close()
			time.Sleep(frozen)
			g.signal(syscall.SIGCONT)
			return true
		}
		w.addReplica(r)
	}
	w.awaitReady()
	c := &caller{addr: g.callers()}
	time.Sleep(earnsRetries)
	requireWhole(t, g, c.send("a1", "/s/", 6*time.Second))
}
