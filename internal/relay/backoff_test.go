package relay_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A replica that refuses all requests with Retry-After must get none until then. It runs nothing and
// so is predicted to answer first: with a fixed backoff of 0.1 s, a replica that requested 3 s got
// ten requests from one gateway in that time. Four of 20 replicas that refused everything for 9 s
// got 497 requests, three times as many as the others, and callers were served late, or were
// refused once the retry budget was spent.
func TestReplicaThatAsksForRestGetsIt(t *testing.T) {
	rs, got := engines(4, 3), map[int]int{}
	runCluster(t, 2, rs, func(_ *is.I, cl *testCluster) {
		rs[0].Shed("3")
		got = cl.sendPeriodically("/s/", 40*time.Millisecond, 6*time.Second)
	})
	check := is.New(t)
	check.Equal(violations(rs), nil)
	check.Equal(got, map[int]int{200: 150})
}

// retryAfter returns the retry delay of a refused caller, in seconds.
func (r *reply) retryAfter(t *testing.T) float64 {
	t.Helper()
	s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Errorf("Retry-After: %v", err)
	}
	return s
}

// The backoff from a replica that refused a request lasts for as long as it requested.
func TestRetryAfterValues(t *testing.T) {
	const forever = 1e6
	for value, want := range map[string]float64{
		"3": 3, "0.3": 0.3, "2.5": 2.5, "120": 120, "1e1": 10, "99999999999": forever, "1e999": forever,
		"": 0, "0": 0, "soon": 0, "-3": 0, "NaN": 0, "Inf": 0, "Fri, 31 Dec 1999 23:59:59 GMT": 0,
	} {
		t.Run(value, func(t *testing.T) {
			rs := plainReplicas(1)
			rs[0].Handle = func(n int, x *platformtest.Exchange) bool {
				if n == 0 {
					x.Reject(value)
				}
				return n == 0
			}
			check := is.New(t)
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				first := cl.send(0, "GET", "/safe/", nil)
				if want == 0 {
					time.Sleep(200 * time.Millisecond)
					if cl.refusedImmediately("/safe/") {
						t.Error("backoff from a replica that requested none")
					}
					return
				}
				if got := first.retryAfter(t); got < want || got > want+2 && want < forever {
					t.Errorf("Retry-After is %v s, want about %v s", got, want)
				}
				time.Sleep(time.Duration(min(want, 1000)*float64(time.Second)) - 10*time.Millisecond)
				if !cl.refusedImmediately("/safe/") {
					t.Error("the backoff was shorter than requested")
				}
				if want >= forever {
					return
				}
				time.Sleep(20 * time.Millisecond)
				if got := cl.send(0, "GET", "/safe/", nil).status; got != http.StatusOK {
					t.Errorf("status %d after the backoff", got)
				}
			})
			check.Equal(len(rs[0].Violations()), 0)
		})
	}
}

// While all replicas of a service have requested a backoff, callers are refused at once, with the
// time when the first replica accepts requests again. Those that retry then must be served.
func TestAllOfAServiceRest(t *testing.T) {
	rs, first, second := plainReplicas(2), reply{}, reply{}
	backoffs := []string{"3", "5"}
	for i, r := range rs {
		r.Handle = func(n int, x *platformtest.Exchange) bool {
			if n == 0 {
				x.Reject(backoffs[i])
			}
			return n == 0
		}
	}
	refused, retryAfter := false, 0.0
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		first = cl.send(0, "GET", "/safe/", nil) // Both replicas refuse it.
		retryAfter = first.retryAfter(t)
		time.Sleep(time.Second)
		refused = cl.refusedImmediately("/safe/")
		time.Sleep(time.Duration((retryAfter - 1) * float64(time.Second)))
		second = cl.send(0, "GET", "/safe/", nil)
	})
	check := is.New(t)
	check.Equal(first.status, http.StatusServiceUnavailable)
	check.True(retryAfter >= 3 && retryAfter <= 4.5)
	check.True(refused)
	check.Equal(second.status, http.StatusOK)
	check.Equal(second.body, "answer of p0")
	check.Equal(violations(rs), nil)
}

// Many callers send requests at the moment when a backoff ends. Only one request is sent to the
// replica until it has answered.
func TestNoRushWhenARestEnds(t *testing.T) {
	const callers = 50
	rs := plainReplicas(1)
	var mu sync.Mutex
	var arrivals []time.Time
	rs[0].Handle = func(n int, x *platformtest.Exchange) bool {
		if n == 0 {
			x.Reject("2")
			return true
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return false
	}
	statuses := map[int]int{}
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.send(0, "GET", "/safe/", nil)
		time.Sleep(2 * time.Second)
		replies := make(chan reply)
		for range callers {
			go func() { replies <- cl.send(0, "GET", "/safe/", nil) }()
		}
		for range callers {
			got := <-replies
			statuses[got.status]++
			if got.status == http.StatusServiceUnavailable && got.retryAfter(t) > 1 {
				t.Errorf("Retry-After is %v s", got.retryAfter(t))
			}
		}
		time.Sleep(time.Second)
		statuses[cl.send(0, "GET", "/safe/", nil).status]++
	})
	check := is.New(t)
	check.Equal(statuses, map[int]int{http.StatusOK: 2, http.StatusServiceUnavailable: callers - 1})
	check.Equal(len(arrivals), 2)
}
