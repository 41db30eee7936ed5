package relay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
)

func TestRequestReachesAReplicaUnchanged(t *testing.T) {
	runCluster(t, 1, plainReplicas(2), func(is *is.I, cl *testCluster) {
		got := cl.send(0, "POST", "/safe/a//b?x=1&y=%2F", map[string]string{
			"X-Tenant": "forged", "X-Expect-Version": "9", "Connection": "X-Hop", "X-Hop": "1", "X-Other": "kept",
		})
		is.Equal(got.status, http.StatusOK)
		is.True(strings.HasPrefix(got.body, "answer of "))
		all := append(cl.replicas[0].Runs(), cl.replicas[1].Runs()...)
		is.Equal(len(all), 1)
		h := all[0].Header
		is.Equal(all[0].Target, "/safe/a//b?x=1&y=%2F")
		is.Equal(h.Get("X-Tenant"), "t")
		is.Equal(h.Get("Authorization"), "") // The API key is not forwarded.
		is.Equal(h.Get("X-Expect-Version"), "")
		is.Equal(h.Get("X-Hop"), "")
		is.Equal(h.Get("X-Other"), "kept")
		is.True(h.Get("X-Expect-Replica") != "")
		is.Equal(h.Get("X-Deadline-Ms"), "6000")
	})
}

func TestRefusalsByStatus(t *testing.T) {
	runCluster(t, 1, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cases := []struct {
			name, target string
			header       map[string]string
			status       int
		}{
			{"no route", "/none/", nil, http.StatusNotFound},
			{"unknown key", "/safe/", map[string]string{"Authorization": "Bearer x"}, http.StatusUnauthorized},
			{"no key", "/safe/", map[string]string{"Authorization": ""}, http.StatusUnauthorized},
			{"public route without a key", "/safe/public/", map[string]string{"Authorization": ""}, http.StatusOK},
			{"bad deadline", "/safe/", map[string]string{"X-Deadline-Ms": "soon"}, http.StatusBadRequest},
			{"no id", "/safe/", map[string]string{"X-Attempt-Id": ""}, http.StatusBadRequest},
		}
		for _, tc := range cases {
			got := cl.send(0, "GET", tc.target, tc.header)
			if got.status != tc.status {
				cl.t.Errorf("%s: got %d, want %d", tc.name, got.status, tc.status)
			}
		}
	})
}

// An unsafe request whose connection breaks may have run, so it must not be retried, and the
// response must not state that it did not run.
func TestUnsafeRunsAtMostOnce(t *testing.T) {
	rs := plainReplicas(3)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			_ = x.Conn.Close()
			return true
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		got := cl.send(0, "POST", "/unsafe/", nil)
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(countRuns(rs), 1)
	})
}

// An unsafe request is retried at another replica after a refusal stating that it did not run.
func TestUnsafeIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	rs := plainReplicas(2)
	rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
		x.Printf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		for range 10 {
			got := cl.send(0, "POST", "/unsafe/", nil)
			is.Equal(got.status, http.StatusOK)
		}
		is.Equal(len(rs[1].Runs()), 10)
	})
}

// A surplus response that precedes the expected one on the connection is skipped.
func TestSurplusAnswerGoesToNobody(t *testing.T) {
	rs := plainReplicas(1)
	rs[0].Handle = func(n int, x *platformtest.Exchange) bool {
		if n > 0 {
			x.Printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Signature: s\r\nContent-Length: 5\r\n\r\nstray")
		}
		return false
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		for range 3 {
			got := cl.send(0, "GET", "/safe/", nil)
			is.Equal(got.body, "answer of p0")
		}
	})
}

// A truncated response must not look complete to the caller.
func TestShortAnswerIsNotComplete(t *testing.T) {
	rs := plainReplicas(2)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 100\r\n\r\nonly this", x.Head(200, ""))
			_ = x.Conn.Close()
			return true
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		is.Equal(cl.send(0, "GET", "/safe/", nil).status, http.StatusBadGateway)
		is.Equal(countRuns(rs), 2) // The number of attempts of the route.
	})
}

// A replica's own failure is forwarded unchanged once no attempt is left.
func TestFailureOfAReplicaIsPassedOn(t *testing.T) {
	rs := plainReplicas(3)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 4\r\n\r\nfail", x.Head(500, ""))
			return true
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		got := cl.send(0, "GET", "/safe/", nil)
		is.Equal(got.status, 500)
		is.Equal(got.body, "fail")
		is.True(strings.HasPrefix(got.header.Get("X-Replica-Signature"), "sig-p"))
		is.Equal(countRuns(rs), 2)
	})
}

// A stream that breaks in the middle of an event continues at another replica, within the response
// that the first one started.
func TestStreamGoesOnElsewhere(t *testing.T) {
	rs := engines(3, 6)
	var broken atomic.Bool
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			if broken.Swap(true) {
				return false
			}
			x.RecordRun()
			x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
			x.Event(1)
			x.Event(2)
			x.Printf("9\r\nid: 3\ndat\r\n")
			time.Sleep(10 * time.Millisecond)
			_ = x.Conn.Close()
			return true
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		got := cl.send(0, "POST", "/s/", nil)
		is.Equal(got.body, events(1, 6))
		is.True(!got.truncated)
		is.Equal(countRuns(rs), 2)
		for _, r := range rs {
			for _, run := range r.Runs() {
				if run.Completed {
					is.Equal(run.Header.Get("Last-Event-Id"), "2")
					is.Equal(run.Header.Get("X-Expect-Version"), "1") // All parts of a response are of one version.
				} else {
					is.Equal(got.header.Get("X-Replica-Signature"), "sig-"+r.ID)
				}
			}
		}
	})
}

// The response of a stream that can't be resumed must look truncated to the caller.
func TestStreamThatCannotBeResumedIsTruncated(t *testing.T) {
	rs := engines(2, 6)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
			x.Event(1)
			time.Sleep(10 * time.Millisecond)
			_ = x.Conn.Close()
			return true
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		is.True(cl.send(0, "POST", "/s/", nil).truncated)
		is.Equal(countRuns(rs), 2)
	})
}

// When a caller disconnects, the connection to the replica is closed within half a second.
func TestCancellationByTheCallerReachesTheReplica(t *testing.T) {
	rs := engines(1, 100)
	var closeDelay atomic.Int64 // Nanoseconds from the first event to the end of the connection.
	rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
		x.RecordRun()
		began := time.Now()
		x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		x.Event(1)
		_, _ = io.ReadAll(x.Conn)
		closeDelay.Store(int64(time.Since(began)))
		return true
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		cl.sendContext(ctx, 0, "POST", "/s/", nil)
		time.Sleep(time.Second)
		took := time.Duration(closeDelay.Load())
		is.True(took > 0 && took < 500*time.Millisecond)
	})
}

// A replica that doesn't respond must not delay a request that may be retried at another one.
func TestSilentReplicaIsLeft(t *testing.T) {
	rs := engines(2, 3)
	for _, r := range rs {
		r.Handle = func(n int, x *platformtest.Exchange) bool {
			if countRuns(rs) > 0 {
				return false
			}
			x.RecordRun()
			time.Sleep(time.Hour)
			return true
		}
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		began := time.Now()
		got := cl.send(0, "POST", "/s/", nil)
		is.Equal(got.body, events(1, 3))
		is.True(time.Since(began) < 2*time.Second)
		cl.stops = append(cl.stops, func() { time.Sleep(2 * time.Hour) })
	})
}

// A replica gets no more requests once the store lists it as draining. A replica that has taken over
// the address of another one runs no requests for the former.
func TestLeavingAndReplacedReplicasGetNoRequests(t *testing.T) {
	rs := plainReplicas(2)
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		cl.store.Put("servers/p0", rs[0].Record("draining"))
		time.Sleep(50 * time.Millisecond)
		for range 10 {
			is.Equal(cl.send(0, "GET", "/safe/", nil).body, "answer of p1")
		}
		is.Equal(len(rs[0].Runs()), 0)
		rs[1].ID = "other" // Another incarnation has taken over the address.
		got := cl.send(0, "GET", "/safe/", nil)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	})
}

// After the deadline of a superseded version, no request may start on it, whatever version the
// gateway has recorded for the replicas.
func TestNoRequestBeginsOnAnOverdueVersion(t *testing.T) {
	rs := engines(2, 2)
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(time.Second)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusOK) // The deadline of version 1 has not passed.
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 3})
		time.Sleep(6800 * time.Millisecond) // The deadline is 8 s after the change to 2, not to 3.
		before := countRuns(rs)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		rec := rs[0].Record("ready") // The list has version 3, and the replica version 1.
		rec["models"] = []platformtest.Body{{"name": "m", "version": 3}}
		cl.store.Put("servers/e0", rec)
		time.Sleep(50 * time.Millisecond)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(countRuns(rs), before)
		received := rs[0].RequestCount()
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(rs[0].RequestCount(), received) // It has just refused, and there is no newer report.
		rs[0].SetVersion(3)
		time.Sleep(2 * time.Second)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusOK)
	})
}

// A request that is cancelled at the deadline of its replica's version must not start there later,
// however long it is in transit.
func TestGivenUpRequestDoesNotBeginLate(t *testing.T) {
	const within = 8 * time.Second // As set in addGateway.
	rs := engines(1, 2)
	var supersededAt time.Time
	var late atomic.Int64
	rs[0].Handle = func(int, *platformtest.Exchange) bool {
		if !supersededAt.IsZero() && time.Since(supersededAt) > within {
			late.Add(1)
		}
		return false
	}
	runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
		const linkRate = 80 // Bytes a second, so that a request is in transit for nearly two seconds.
		cl.net.Add(&simnet.End{Name: rs[0].Addr, Up: &simnet.Link{}, Down: &simnet.Link{Rate: linkRate}, Serve: rs[0].Serve})
		cl.sendReports(0, func() []peers.Status { // Its agent doesn't report the slow link.
			return []peers.Status{{Addr: rs[0].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true}}
		})
		time.Sleep(500 * time.Millisecond)
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		supersededAt = time.Now()
		time.Sleep(within - 1500*time.Millisecond)
		got := cl.send(0, "POST", "/s/", nil)
		is.Equal(got.status, http.StatusBadGateway) // The gateway can't determine whether it ran.
		time.Sleep(5 * time.Second)
		is.Equal(late.Load(), int64(0))
	})
}

// A gateway detects by its own pings that the link to a box is slow, though the agent doesn't report
// it. It must stop using the replica there earlier before the deadline of its version.
func TestSlowBoxIsLeftSooner(t *testing.T) {
	for _, tc := range []struct {
		name string
		down float64 // Bytes a second that the box receives; 0 for no limit.
		want int
	}{
		{"usual", 0, http.StatusOK},
		{"slow", 25, http.StatusServiceUnavailable}, // A ping takes half a second.
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := engines(1, 2)
			runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
				var down simnet.Link
				cl.sendReportsOverLink(0, &down, func() []peers.Status {
					return []peers.Status{{Addr: rs[0].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true}}
				})
				time.Sleep(time.Second)
				down.SetRate(tc.down)
				cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
				time.Sleep(5500 * time.Millisecond) // Of eight seconds, less a margin.
				is.Equal(cl.send(0, "POST", "/s/", nil).status, tc.want)
			})
		})
	}
}
