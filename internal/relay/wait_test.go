package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
)

// Waits of the routes of config: a request is sent if the predicted wait is within 0.55 of the
// latency target of 500 ms, and waits at the gateway for a quarter of it.
const (
	waitAtMost = 125 * time.Millisecond
	slack      = 25 * time.Millisecond // A try every 20 ms, and the way to the replica.
)

// reportLoad starts agents that report to a gateway how many requests are queued at each replica.
func (cl *testCluster) reportLoad(gateway int, queued *atomic.Int64) {
	cl.sendReports(gateway, func() (all []peers.Status) {
		for _, r := range cl.replicas {
			n := int(queued.Load())
			all = append(all, peers.Status{Addr: r.Addr, Hall: r.Hall, Model: "m", Version: 1, Reached: true, Queued: n, Running: min(16, n)})
		}
		return all
	})
	time.Sleep(500 * time.Millisecond)
}

const busy = 20 // Queued requests with which the predicted wait is far too long, but the answer before the deadline.

// metric returns the value of a gateway's metric, by a prefix of its line.
func (cl *testCluster) metric(gateway int, prefix string) (total float64) {
	rec := httptest.NewRecorder()
	cl.gateways[gateway].Metrics.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for line := range strings.Lines(rec.Body.String()) {
		if strings.HasPrefix(line, prefix) {
			var v float64
			if _, err := fmt.Sscanf(line[strings.LastIndex(line, " "):], "%g", &v); err != nil {
				cl.t.Fatal(err)
			}
			total += v
		}
	}
	return total
}

// A request that finds no room is not refused at once: it is sent as soon as there is room, and
// refused as not run after a quarter of the latency target. With room, none waits.
func TestRequestWaitsForRoom(t *testing.T) {
	cases := []struct {
		name      string
		roomAfter time.Duration // When the replicas report that they are idle.
		status    int
		took      time.Duration
		waited    float64
	}{
		{"room at once", 0, http.StatusOK, 0, 0},
		{"room after a while", 40 * time.Millisecond, http.StatusOK, 40 * time.Millisecond, 1},
		{"room too late", 2 * time.Second, http.StatusServiceUnavailable, waitAtMost, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			replicas := engines(2, 2)
			runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t)
				var queued atomic.Int64
				if tc.roomAfter > 0 {
					queued.Store(busy)
				}
				cl.reportLoad(0, &queued)
				time.AfterFunc(tc.roomAfter, func() { queued.Store(0) })
				began := time.Now()
				got := cl.send(0, "POST", "/s/", nil)
				is.Equal(got.status, tc.status)
				const answer, report = 60 * time.Millisecond, 100 * time.Millisecond // Two events; reports are sent in this interval.
				took := time.Since(began)
				is.True(took >= tc.took)
				if tc.status == http.StatusOK {
					is.True(took <= tc.took+report+answer+slack)
				} else {
					is.Equal(took, tc.took)
					is.True(got.header.Get("Retry-After") != "")
				}
				is.Equal(countRuns(replicas), map[int]int{http.StatusOK: 1}[tc.status])
				is.Equal(cl.metric(0, `poststand_events_total{event="request_waited"`), tc.waited)
				is.Equal(cl.metric(0, `poststand_waiting`), 0.0)
				is.Equal(cl.metric(0, `poststand_not_admitted_total{cause="long_wait"`), map[int]float64{http.StatusServiceUnavailable: 1}[tc.status])
			})
		})
	}
}

// A plain service has no admission: none of its requests waits or is refused.
func TestPlainRequestsDoNotWait(t *testing.T) {
	replicas := plainReplicas(1)
	replicas[0].Slots = 1
	runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		var wg sync.WaitGroup
		var served atomic.Int64
		for i := range 20 {
			wg.Go(func() {
				if cl.send(0, "GET", "/safe/", map[string]string{"X-Attempt-Id": fmt.Sprint(i)}).status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		is.Equal(served.Load(), int64(20))
		is.Equal(cl.metric(0, `poststand_events_total{event="request_waited"`), 0.0)
	})
}

// A gateway that begins to drain refuses the requests that wait there at once, as not run: their
// callers have time to ask another gateway.
func TestStoppingGatewayRefusesWaitingRequests(t *testing.T) {
	replicas := engines(1, 2)
	runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		var queued atomic.Int64
		queued.Store(busy)
		cl.reportLoad(0, &queued)
		ln := simnet.NewListener()
		stop, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- cl.gateways[0].ServeCallers(stop, context.Background(), ln) }()
		caller, server := net.Pipe()
		defer func() { _ = caller.Close() }()
		ln.Offer(server)
		_, err := fmt.Fprint(caller, "POST /s/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer k\r\nContent-Length: 4\r\n\r\nbody")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
		is.Equal(cl.metric(0, `poststand_waiting`), 1.0)
		stoppedAt := time.Now()
		cancel()
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(time.Since(stoppedAt), time.Duration(0))
		retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		is.NoErr(err)
		is.True(retryAfter <= 100*time.Millisecond)
		queued.Store(0)
		is.NoErr(<-done)
		is.Equal(countRuns(replicas), 0)
	})
}

// A request whose caller leaves while it waits must not be sent when there is room later.
func TestCallerLeavesWhileItsRequestWaits(t *testing.T) {
	replicas := engines(1, 2)
	runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		var queued atomic.Int64
		queued.Store(busy)
		cl.reportLoad(0, &queued)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		cl.sendContext(ctx, 0, "POST", "/s/", nil)
		is.Equal(time.Since(began), 50*time.Millisecond)
		is.Equal(cl.metric(0, `poststand_waiting`), 0.0)
		queued.Store(0)
		time.Sleep(time.Second)
		is.Equal(countRuns(replicas), 0)
		is.Equal(cl.metric(0, `poststand_not_admitted_total`), 0.0) // It was not refused.
	})
}

// Room that becomes free goes to the most urgent requests that wait, whenever they came.
func TestWaitingRequestsGetRoomInOrder(t *testing.T) {
	replicas := engines(1, 1)
	replicas[0].EventInterval = 200 * time.Millisecond // A sent request is in progress to the end of the test.
	runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		cl.store.Put("op/config", platformtest.Config(2,
			platformtest.Route("urgent", "/s/", "stream", "llm", nil),
			platformtest.Route("other", "/o/", "stream", "llm", platformtest.Body{"priority": 2, "slo_ms": 2000})))
		var queued atomic.Int64
		queued.Store(busy)
		cl.reportLoad(0, &queued)
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		const each = 6
		for i := range 2 * each {
			path := "/o/"
			if i >= each {
				path = "/s/"
			}
			wg.Go(func() { cl.send(0, "POST", path, map[string]string{"X-Attempt-Id": fmt.Sprint(path, i)}) })
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		is.Equal(cl.metric(0, `poststand_waiting`), float64(2*each))
		queued.Store(0)
		wg.Wait()
		urgent := 0
		for _, r := range replicas[0].Runs() {
			if urgent++; r.Target != "/s/" {
				break
			}
		}
		is.True(urgent >= each) // All urgent ones before any other, if there was room for another.
		is.Equal(cl.metric(0, `poststand_waiting`), 0.0)
	})
}
