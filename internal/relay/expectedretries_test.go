package relay_test

import (
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

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/wire"
)

// expectedRetries returns how often a gateway has counted an expected retry: one that a caller was
// told to make, or that arrived on time or early.
func (cl *testCluster) expectedRetries(gateway int, what string) int {
	rec := httptest.NewRecorder()
	cl.gateways[gateway].Metrics.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for line := range strings.Lines(rec.Body.String()) {
		if strings.HasPrefix(line, "poststand_events_total{") && strings.Contains(line, `event="expected_retry"`) && strings.Contains(line, `reason="`+what+`"`) {
			n := 0
			if _, err := fmt.Sscanf(line[strings.LastIndex(line, " "):], "%d", &n); err != nil {
				cl.t.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// reportQueues starts agents that report that this number of requests is queued at each replica.
func (cl *testCluster) reportQueues(queued *atomic.Int64) {
	for i := range cl.gateways {
		cl.sendReports(i, func() (all []peers.Status) {
			for _, r := range cl.replicas {
				all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: 1, Reached: true, Queued: int(queued.Load())})
			}
			return all
		})
	}
	time.Sleep(500 * time.Millisecond)
}

// refuse sends a request to a gateway while all replicas are full, and returns what its caller was
// told. There is room again afterwards.
func (cl *testCluster) refuse(is *is.I, gateway int, target string, queued *atomic.Int64) time.Duration {
	const full = 12
	queued.Store(full)
	time.Sleep(300 * time.Millisecond)
	got := cl.send(gateway, "POST", target, nil)
	is.Equal(got.status, http.StatusServiceUnavailable)
	queued.Store(0)
	return time.Duration(got.retryAfter(cl.t) * float64(time.Second))
}

// A caller that was refused at one gateway and retries at another one of the hall must be
// recognised there, however it was told, and count as a retry once only.
func TestRefusedCallerIsRecognisedAtAnotherGateway(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delay func(told time.Duration) time.Duration
		want  string
	}{
		{"on time", func(told time.Duration) time.Duration { return told }, "on_time"},
		{"later", func(told time.Duration) time.Duration { return told + 2*time.Second }, "on_time"},
		{"early", func(told time.Duration) time.Duration { return told - 150*time.Millisecond }, "early"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, 3, engines(2, 2), func(is *is.I, cl *testCluster) {
				var queued atomic.Int64
				cl.reportQueues(&queued)
				told := cl.refuse(is, 0, "/s/", &queued)
				is.True(told >= 340*time.Millisecond) // Callers don't retry earlier than 350 ms after a refusal.
				is.Equal(cl.expectedRetries(0, "told"), 1)
				time.Sleep(tc.delay(told))
				is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
				is.Equal(cl.expectedRetries(1, tc.want), 1)
				is.Equal(cl.send(1, "POST", "/s/other", nil).status, http.StatusOK)
				is.Equal(cl.expectedRetries(1, "on_time")+cl.expectedRetries(1, "early"), 1) // The other request was a first attempt.
				time.Sleep(told + 500*time.Millisecond)
				is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
				is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
				is.Equal(cl.expectedRetries(1, "on_time"), 1) // One refusal counts for one retry on time.
			})
		})
	}
}

// A caller whose refusal another gateway did not hear of must count as a first attempt there: its
// message was lost, its gateway ended before it was sent, or it belongs to another hall. If the
// gateway ended after it, the caller is recognised.
func TestRefusalThatOthersDoNotHearOf(t *testing.T) {
	for _, tc := range []struct {
		name   string
		refuse func(is *is.I, cl *testCluster, queued *atomic.Int64) time.Duration
		halls  int
		want   int // Retries on time.
	}{
		{"message lost", func(is *is.I, cl *testCluster, queued *atomic.Int64) time.Duration {
			cl.stallGateway(0, true)
			return cl.refuse(is, 0, "/s/", queued)
		}, 1, 0},
		{"gateway ends before the message", func(is *is.I, cl *testCluster, queued *atomic.Int64) time.Duration {
			// The message about the other request has just been sent when this one is refused.
			time.AfterFunc(270*time.Millisecond, func() { cl.send(0, "POST", "/s/other", nil) })
			told := cl.refuse(is, 0, "/s/", queued)
			cl.stops[0]()
			return told
		}, 1, 0},
		{"gateway ends after the message", func(is *is.I, cl *testCluster, queued *atomic.Int64) time.Duration {
			told := cl.refuse(is, 0, "/s/", queued)
			time.AfterFunc(150*time.Millisecond, cl.stops[0])
			return told
		}, 1, 1},
		{"another hall", func(is *is.I, cl *testCluster, queued *atomic.Int64) time.Duration {
			return cl.refuse(is, 0, "/s/", queued)
		}, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, 0, engines(2, 2), func(is *is.I, cl *testCluster) {
				cl.hallCount = tc.halls
				for i := range 3 {
					cl.addGateway(i, cl.store)
				}
				time.Sleep(3 * time.Second)
				var queued atomic.Int64
				cl.reportQueues(&queued)
				time.Sleep(tc.refuse(is, cl, &queued))
				is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
				is.Equal(cl.expectedRetries(1, "on_time"), tc.want)
				is.Equal(cl.expectedRetries(1, "early"), 0)
			})
		})
	}
}

// A first attempt whose caller has little time left must not count as a retry. Callers start with
// different timeouts: two thirds of first attempts counted as retries, and had the lower threshold,
// when a request was taken for a retry by its remaining time.
func TestFirstAttemptsWithLittleTimeAreNotRetries(t *testing.T) {
	rs := engines(2, 2)
	for _, r := range rs {
		r.Handle = func(int, *platformtest.Exchange) bool {
			time.Sleep(60 * time.Millisecond) // As predicted for an idle replica.
			return false
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		var queued atomic.Int64
		cl.reportQueues(&queued)
		send := func(ms int) int {
			return cl.send(0, "POST", "/s/", map[string]string{"X-Deadline-Ms": fmt.Sprint(ms)}).status
		}
		is.Equal(send(6000), http.StatusOK)
		queued.Store(5) // The predicted wait is longer than 0.4 of the target, and shorter than 0.55.
		time.Sleep(500 * time.Millisecond)
		for _, ms := range []int{5900, 5100, 3000, 1500} {
			is.Equal(send(ms), http.StatusOK)
			time.Sleep(500 * time.Millisecond)
		}
		is.Equal(cl.expectedRetries(0, "on_time")+cl.expectedRetries(0, "early"), 0)
	})
}

// What another process sends about retries must be within bounds: absurd times and ranks are
// dropped one by one, and a message with more of them than a gateway holds as a whole.
func TestExpectedRetriesOutOfBounds(t *testing.T) {
	key := quarantine.KeyOf([]byte("t"), []byte("/s/"), []byte("body"))
	valid := peers.ExpectedReturn{Key: key, In: 400 * time.Millisecond, Rank: 1}
	many := make([]peers.ExpectedReturn, admission.MaxExpectedRetries+1)
	for i := range many {
		many[i] = valid
	}
	for _, tc := range []struct {
		name    string
		returns []peers.ExpectedReturn
		want    int // Retries on time, of two requests.
	}{
		{"valid", []peers.ExpectedReturn{valid}, 1},
		{"negative time", []peers.ExpectedReturn{{Key: key, In: -time.Second}}, 0},
		{"absurd time", []peers.ExpectedReturn{{Key: key, In: 1 << 62}}, 0},
		{"negative rank", []peers.ExpectedReturn{{Key: key, Rank: -1}}, 0},
		{"absurd rank", []peers.ExpectedReturn{{Key: key, Rank: 1 << 40}}, 0},
		{"no key", []peers.ExpectedReturn{{Rank: 1}}, 0},
		{"valid among others", []peers.ExpectedReturn{{Key: key, In: -1}, valid, {Key: key, Rank: 99}}, 1},
		{"too many", many, 0},
		{"none", nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, 1, engines(1, 2), func(is *is.I, cl *testCluster) {
				cl.sendAsGateway(is, 0, &peers.ExpectedReturns{Returns: tc.returns})
				time.Sleep(500 * time.Millisecond)
				for range 2 {
					is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusOK)
				}
				is.Equal(cl.expectedRetries(0, "on_time"), tc.want)
				is.Equal(cl.expectedRetries(0, "early"), 0)
			})
		})
	}
}

// sendAsGateway sends a message to a gateway as another one would.
func (cl *testCluster) sendAsGateway(is *is.I, to int, m any) {
	const addr = "10.8.0.1:1"
	cl.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: func(context.Context, net.Conn) {}})
	ctx, cancel := context.WithCancel(context.Background())
	pool := &wire.Pool{
		Local: wire.Hello{Cluster: "c", Box: "other", Hall: "h1", Role: "gateway", Incarnation: 8}, Codec: relay.Codec,
		Handlers: &wire.Handlers{}, Lifetime: ctx, Options: wire.Options{PingInterval: time.Second, StallTimeout: 3 * time.Second},
		Dial: func(ctx context.Context, to string) (net.Conn, error) { return cl.net.Dial(ctx, addr, to) },
	}
	cl.stops = append(cl.stops, func() {
		cancel()
		cl.net.Remove(addr)
	})
	c, err := pool.Get(ctx, gatewayAddr(to))
	is.NoErr(err)
	_, err = c.Open(ctx, m)
	is.NoErr(err)
}

// Callers that are refused together must not come back together, and no more of them than there
// will be room for: half of what their gateway completed lately. All others are told a time past
// their deadline, since a caller that is refused again is lost.
func TestRefusedCallersAreToldWhenThereIsRoom(t *testing.T) {
	const (
		callers  = 60
		interval = 50 * time.Millisecond // Between two requests, so that 20 a second are completed.
		seconds  = 2.0 - 0.35            // From the shortest wait to a third of the callers' time.
	)
	runCluster(t, 2, engines(2, 2), func(is *is.I, cl *testCluster) {
		var queued atomic.Int64
		cl.reportQueues(&queued)
		is.Equal(cl.sendPeriodically("/s/", interval, 3*time.Second), map[int]int{http.StatusOK: 60})
		queued.Store(8) // The predicted wait is longer than the target, and shorter than a second.
		time.Sleep(300 * time.Millisecond)
		byTime, returning, first, firstReturn := map[time.Duration]int{}, 0, 0, time.Duration(0)
		for i, told := range cl.refuseAll(is, callers) {
			if told > 6*time.Second {
				continue
			}
			is.True(told >= 350*time.Millisecond && told <= 2*time.Second)
			byTime[told.Truncate(interval)]++
			returning++
			if firstReturn == 0 || told < firstReturn {
				first, firstReturn = i, told
			}
		}
		// Two gateways completed 20 a second together, and the one that refuses a half of that.
		is.True(returning >= 4 && float64(returning) <= seconds*20/2/2+3)
		for _, n := range byTime {
			is.True(n <= 1)
		}
		is.Equal(cl.expectedRetries(0, "told"), returning)
		is.Equal(cl.expectedRetries(0, "no_room"), callers-returning)
		queued.Store(0)
		time.Sleep(firstReturn)
		is.Equal(cl.send(1, "POST", fmt.Sprintf("/s/%d", first), nil).status, http.StatusOK)
		is.Equal(cl.expectedRetries(1, "on_time"), 1)
	})
}

// refuseAll sends requests to the first gateway at once, while all replicas are full, and returns
// what their callers were told.
func (cl *testCluster) refuseAll(is *is.I, callers int) []time.Duration {
	replies := make([]reply, callers)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = cl.send(0, "POST", fmt.Sprintf("/s/%d", i), nil) })
	}
	wg.Wait()
	var told []time.Duration
	for _, got := range replies {
		is.Equal(got.status, http.StatusServiceUnavailable)
		told = append(told, time.Duration(got.retryAfter(cl.t)*float64(time.Second)))
	}
	return told
}

// Until a gateway knows what its part of a service completes, refused callers must not be turned
// away: they are spread over a fixed time.
func TestRefusedCallersAreSpreadAfterAStart(t *testing.T) {
	const callers = 60
	runCluster(t, 1, engines(2, 2), func(is *is.I, cl *testCluster) {
		var queued atomic.Int64
		cl.reportQueues(&queued)
		queued.Store(8)
		time.Sleep(300 * time.Millisecond)
		earlier := 0
		for i := range callers {
			got := cl.send(0, "POST", fmt.Sprintf("/s/%d", i), nil)
			is.Equal(got.status, http.StatusServiceUnavailable)
			told := got.retryAfter(cl.t)
			is.True(told >= 0.35 && told <= 2)
			if told < 1 {
				earlier++
			}
		}
		is.True(earlier >= 10 && earlier <= 50)
		// A third of its time is less than the shortest wait.
		got := cl.send(0, "POST", "/s/", map[string]string{"X-Deadline-Ms": "1000"})
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.retryAfter(cl.t) > 1)
	})
}
