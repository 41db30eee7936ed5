package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// An invalid value sets no limit and ends none. The lowest of several values applies.
func TestValuesOfLimits(t *testing.T) {
	const requests = 100
	for _, tc := range []struct {
		values  []string
		limited bool
	}{
		{[]string{"1.3"}, true},
		{[]string{" 0.5 "}, true},
		{[]string{"0"}, true},
		{[]string{"1e0"}, true},
		{[]string{"5", "1.3"}, true},
		{[]string{"soon", "1.3"}, true},
		{[]string{"1.3, 8"}, true},
		{[]string{"1e999"}, false},
		{[]string{"99999999999"}, false},
		{[]string{""}, false},
		{[]string{"soon"}, false},
		{[]string{"-1"}, false},
		{[]string{"NaN"}, false},
		{[]string{"Inf"}, false},
		{[]string{"0x1p3"}, false},
		{[]string{strings.Repeat("1", 400)}, false},
	} {
		t.Run(fmt.Sprintf("%.12q", tc.values), func(t *testing.T) {
			for _, before := range [][]string{nil, {"1.3"}} {
				rs, got := plainReplicas(1), map[int]int{}
				runCluster(t, 2, rs, func(_ *is.I, cl *testCluster) {
					if before != nil {
						rs[0].AnnounceLimit(before...)
						cl.sendPeriodically("/safe/", 40*time.Millisecond, time.Second)
					}
					rs[0].AnnounceLimit(tc.values...)
					got = cl.sendPeriodically("/safe/", 40*time.Millisecond, requests*40*time.Millisecond)
				})
				check := is.New(t)
				highLimit := tc.values[0] == "1e999" || strings.HasPrefix(tc.values[0], "9") || strings.HasPrefix(tc.values[0], "11")
				if tc.limited || before != nil && !highLimit {
					check.True(float64(got[http.StatusOK]) <= 6*1.3+5)
					check.Equal(got[http.StatusOK]+got[http.StatusServiceUnavailable], requests)
				} else {
					check.True(got[http.StatusOK] >= requests*8/10) // An earlier limit ends with the first response that replaces it.
				}
			}
		})
	}
}

// The limit that a replica states falls, rises and ends while callers send requests. It must be
// kept at all times, and once it has ended the replica must get its share of requests again.
func TestLimitsThatChange(t *testing.T) {
	rs, got, after := engines(4, 3), map[int]int{}, 0
	runCluster(t, 6, rs, func(_ *is.I, cl *testCluster) {
		for _, v := range []string{"5", "0.4", "0", "3", "1.7"} {
			rs[0].AnnounceLimit(v)
			for status, n := range cl.sendPeriodically("/s/", 10*time.Millisecond, 8*time.Second) {
				got[status] += n
			}
		}
		rs[0].AnnounceLimit()
		cl.sendPeriodically("/s/", 10*time.Millisecond, 8*time.Second)
		after = rs[0].CountArrivals(time.Now().Add(-4*time.Second), time.Now())
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 4000})
	check.True(after >= 60) // Of 400 requests to four replicas.
}

// A replica states a limit to one gateway only. The others receive it from that gateway, so that
// not even their first requests are sent without a permit.
func TestLimitThatOneGatewayHeard(t *testing.T) {
	const gateways = 15
	rs, got, received := plainReplicas(1), map[int]int{}, 0
	runCluster(t, gateways, rs, func(_ *is.I, cl *testCluster) {
		rs[0].AnnounceLimit("0.2")
		cl.send(0, "POST", "/safe/", nil)
		time.Sleep(100 * time.Millisecond)
		received = rs[0].RequestCount()
		replies := make(chan reply)
		for i := 1; i < gateways; i++ {
			go func() { replies <- cl.send(i, "POST", "/safe/", nil) }()
		}
		for i := 1; i < gateways; i++ {
			got[(<-replies).status]++
		}
		received = rs[0].RequestCount() - received
	})
	check := is.New(t)
	check.Equal(received, 0)
	check.Equal(got, map[int]int{http.StatusServiceUnavailable: gateways - 1})
}

// If all replicas of a service are limited, a request without a permit is refused at once, and a
// retry after the given delay must be served.
func TestAllReplicasOfAServiceAreLimited(t *testing.T) {
	rs, second := plainReplicas(2), reply{}
	var first []reply
	var durations []time.Duration
	runCluster(t, 6, rs, func(_ *is.I, cl *testCluster) {
		for _, r := range rs {
			r.AnnounceLimit("0.5")
		}
		cl.sendPeriodically("/safe/", 20*time.Millisecond, time.Second)
		for range 20 {
			began := time.Now()
			if got := cl.send(3, "GET", "/safe/", nil); got.status != http.StatusOK {
				first = append(first, got)
				durations = append(durations, time.Since(began))
			}
		}
		last := first[len(first)-1]
		time.Sleep(time.Duration(last.retryAfter(t) * float64(time.Second)))
		second = cl.send(3, "GET", "/safe/", nil)
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.True(len(first) >= 18)
	check.True(slices.Max(durations) <= 25*time.Millisecond) // The permit requests to the limiters only.
	check.Equal(second.status, http.StatusOK)
}

// Later attempts need permits too: the retry of a failed request, and the continuation of a stream
// at another replica.
func TestLaterAttemptsTakePermits(t *testing.T) {
	for _, target := range []string{"/safe/", "/s/"} {
		t.Run(target, func(t *testing.T) {
			rs := plainReplicas(2)
			if target == "/s/" {
				rs = engines(2, 6)
			}
			rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
				x.RecordRun()
				if target == "/s/" {
					x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
					x.Event(1)
				}
				_ = x.Conn.Close()
				return true
			}
			failed := 0
			runCluster(t, 6, rs, func(_ *is.I, cl *testCluster) {
				rs[1].AnnounceLimit("1.3")
				cl.sendPeriodically(target, 20*time.Millisecond, 3*time.Second)
				failed = rs[0].RequestCount()
				cl.sendPeriodically(target, 20*time.Millisecond, 10*time.Second)
				failed = rs[0].RequestCount() - failed
			})
			check := is.New(t)
			check.Equal(overLimit(rs), nil)
			check.True(failed > 20) // All of these requests fail, and would be retried at rs[1].
		})
	}
}

// Streams whose replica is about to change its version move to a replica with a limit only with a
// permit.
func TestMovedStreamsTakePermits(t *testing.T) {
	const streams = 8
	rs, moved := engines(2, 60), 0
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		var changing atomic.Bool
		cl.sendReports(0, func() []peers.Status {
			out := []peers.Status{{Addr: rs[0].Addr, Version: 1, Reached: true, Changing: changing.Load()}}
			if changing.Load() {
				out = append(out, peers.Status{Addr: rs[1].Addr, Version: 1, Reached: true})
			}
			return out
		})
		rs[1].AnnounceLimit("0.5")
		cl.sendPeriodically("/s/", 100*time.Millisecond, time.Second) // The gateway learns the limit.
		time.Sleep(8 * time.Second)
		cl.store.Delete("servers/e1") // All streams start at e0.
		time.Sleep(time.Second)
		replies := make(chan reply)
		for range streams {
			go func() { replies <- cl.send(0, "POST", "/s/", nil) }()
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		before := rs[1].RequestCount()
		changing.Store(true)
		cl.store.Put("servers/e1", rs[1].Record("ready"))
		for range streams {
			if got := <-replies; got.status != http.StatusOK || got.body != events(1, 60) {
				t.Errorf("%d %q", got.status, got.body)
			}
		}
		moved = rs[1].RequestCount() - before
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.True(moved >= 1 && moved <= 4)
}

// Permits are granted to the most urgent requests first.
func TestPermitsGoToUrgentRequestsFirst(t *testing.T) {
	rs, urgent, other := plainReplicas(1), map[int]int{}, map[int]int{}
	runCluster(t, 6, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", platformtest.Config(
			2,
			platformtest.Route("safe", "/safe/", "safe", "api", platformtest.Body{"priority": 1}),
			platformtest.Route("later", "/later/", "safe", "api", platformtest.Body{"priority": 4}),
		))
		rs[0].AnnounceLimit("2")
		cl.sendPeriodically("/safe/", 50*time.Millisecond, time.Second)
		done := make(chan struct{})
		go func() {
			other = cl.sendPeriodically("/later/", 50*time.Millisecond, 20*time.Second)
			close(done)
		}()
		urgent = cl.sendPeriodically("/safe/", 50*time.Millisecond, 20*time.Second)
		<-done
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.True(urgent[http.StatusOK] >= 34) // Of 40 permits.
	check.True(other[http.StatusOK] <= 4)
}
