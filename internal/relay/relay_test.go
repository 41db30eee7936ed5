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
	run(t, 1, plain(2), func(is *is.I, w *world) {
		got := w.ask(0, "POST", "/safe/a//b?x=1&y=%2F", map[string]string{
			"X-Tenant": "forged", "X-Expect-Version": "9", "Connection": "X-Hop", "X-Hop": "1", "X-Other": "kept",
		})
		is.Equal(got.status, http.StatusOK)
		is.True(strings.HasPrefix(got.body, "answer of "))
		all := append(w.replicas[0].Runs(), w.replicas[1].Runs()...)
		is.Equal(len(all), 1)
		h := all[0].Header
		is.Equal(all[0].Target, "/safe/a//b?x=1&y=%2F")
		is.Equal(h.Get("X-Tenant"), "t")
		is.Equal(h.Get("Authorization"), "") // The key stays here.
		is.Equal(h.Get("X-Expect-Version"), "")
		is.Equal(h.Get("X-Hop"), "")
		is.Equal(h.Get("X-Other"), "kept")
		is.True(h.Get("X-Expect-Replica") != "")
		is.Equal(h.Get("X-Deadline-Ms"), "6000")
	})
}

func TestRefusalsByStatus(t *testing.T) {
	run(t, 1, plain(1), func(is *is.I, w *world) {
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
			got := w.ask(0, "GET", tc.target, tc.header)
			if got.status != tc.status {
				w.t.Errorf("%s: got %d, want %d", tc.name, got.status, tc.status)
			}
		}
	})
}

// An unsafe request whose connection breaks may have run, so it is sent nowhere
// else, and its caller is not told that it did not run.
func TestUnsafeRunsAtMostOnce(t *testing.T) {
	rs := plain(3)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			_ = x.Conn.Close()
			return true
		}
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		got := w.ask(0, "POST", "/unsafe/", nil)
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(runs(rs), 1)
	})
}

// A refusal that says "not run" lets an unsafe request go elsewhere.
func TestUnsafeGoesElsewhereOnlyWhenItDidNotRun(t *testing.T) {
	rs := plain(2)
	rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
		x.Printf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		for range 10 {
			got := w.ask(0, "POST", "/unsafe/", nil)
			is.Equal(got.status, http.StatusOK)
		}
		is.Equal(len(rs[1].Runs()), 10)
	})
}

// A surplus answer in the place of the next one is passed over.
func TestSurplusAnswerGoesToNobody(t *testing.T) {
	rs := plain(1)
	rs[0].Handle = func(n int, x *platformtest.Exchange) bool {
		if n > 0 {
			x.Printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Signature: s\r\nContent-Length: 5\r\n\r\nstray")
		}
		return false
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		for range 3 {
			got := w.ask(0, "GET", "/safe/", nil)
			is.Equal(got.body, "answer of p0")
		}
	})
}

// An answer that is cut short is never shown as a whole one.
func TestShortAnswerIsNotComplete(t *testing.T) {
	rs := plain(2)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 100\r\n\r\nonly this", x.Head(200, ""))
			_ = x.Conn.Close()
			return true
		}
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		is.Equal(w.ask(0, "GET", "/safe/", nil).status, http.StatusBadGateway)
		is.Equal(runs(rs), 2) // As many as the route's attempts, and no more.
	})
}

// A replica's own failure is passed on as it is once no attempt is left.
func TestFailureOfAReplicaIsPassedOn(t *testing.T) {
	rs := plain(3)
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 4\r\n\r\nfail", x.Head(500, ""))
			return true
		}
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		got := w.ask(0, "GET", "/safe/", nil)
		is.Equal(got.status, 500)
		is.Equal(got.body, "fail")
		is.True(strings.HasPrefix(got.header.Get("X-Replica-Signature"), "sig-p"))
		is.Equal(runs(rs), 2)
	})
}

// A stream that breaks in the middle of an event goes on at another replica,
// within the answer that the first one began.
func TestStreamGoesOnElsewhere(t *testing.T) {
	rs := engines(3, 6)
	var broke atomic.Bool
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			if broke.Swap(true) {
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
	run(t, 1, rs, func(is *is.I, w *world) {
		got := w.ask(0, "POST", "/s/", nil)
		is.Equal(got.body, events(1, 6))
		is.True(!got.cut)
		is.Equal(runs(rs), 2)
		for _, r := range rs {
			for _, run := range r.Runs() {
				if run.Completed {
					is.Equal(run.Header.Get("Last-Event-Id"), "2")
					is.Equal(run.Header.Get("X-Expect-Version"), "1") // One answer, one version.
				} else {
					is.Equal(got.header.Get("X-Replica-Signature"), "sig-"+r.ID)
				}
			}
		}
	})
}

// Where it cannot go on, a stream's answer looks cut.
func TestStreamThatCannotGoOnLooksCut(t *testing.T) {
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
	run(t, 1, rs, func(is *is.I, w *world) {
		is.True(w.ask(0, "POST", "/s/", nil).cut)
		is.Equal(runs(rs), 2)
	})
}

// A caller that leaves ends its request's work within half a second.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	rs := engines(1, 100)
	var closed atomic.Int64 // Nanoseconds from the first event to the end of the connection.
	rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
		x.RecordRun()
		began := time.Now()
		x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		x.Event(1)
		_, _ = io.ReadAll(x.Conn)
		closed.Store(int64(time.Since(began)))
		return true
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		w.askWith(ctx, 0, "POST", "/s/", nil)
		time.Sleep(time.Second)
		took := time.Duration(closed.Load())
		is.True(took > 0 && took < 500*time.Millisecond)
	})
}

// A replica that is silent does not hold a request that may go elsewhere.
func TestSilentReplicaIsLeft(t *testing.T) {
	rs := engines(2, 3)
	for _, r := range rs {
		r.Handle = func(n int, x *platformtest.Exchange) bool {
			if runs(rs) > 0 {
				return false
			}
			x.RecordRun()
			time.Sleep(time.Hour)
			return true
		}
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		began := time.Now()
		got := w.ask(0, "POST", "/s/", nil)
		is.Equal(got.body, events(1, 3))
		is.True(time.Since(began) < 2*time.Second)
		w.stops = append(w.stops, func() { time.Sleep(2 * time.Hour) })
	})
}

// A leaving replica gets nothing more once the store says so, and one that is
// gone and whose address another service has now runs nothing of this one.
func TestLeavingAndReusedReplicasGetNothing(t *testing.T) {
	rs := plain(2)
	run(t, 1, rs, func(is *is.I, w *world) {
		w.store.Put("servers/p0", rs[0].Record("draining"))
		time.Sleep(50 * time.Millisecond)
		for range 10 {
			is.Equal(w.ask(0, "GET", "/safe/", nil).body, "answer of p1")
		}
		is.Equal(len(rs[0].Runs()), 0)
		rs[1].ID = "other" // Its address has gone to another incarnation.
		got := w.ask(0, "GET", "/safe/", nil)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	})
}

// Once a version's time is over no request begins on an older one, whatever the
// gateway believes of the replicas.
func TestNoRequestBeginsOnAnOverdueVersion(t *testing.T) {
	rs := engines(2, 2)
	run(t, 1, rs, func(is *is.I, w *world) {
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(time.Second)
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusOK) // Its time is not over.
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 3})
		time.Sleep(6800 * time.Millisecond) // Within 8 s of the naming of 2; 3 was named since.
		before := runs(rs)
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		rec := rs[0].Record("ready") // The list says 3, and the replica has 1.
		rec["models"] = []platformtest.Body{{"name": "m", "version": 3}}
		w.store.Put("servers/e0", rec)
		time.Sleep(50 * time.Millisecond)
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(runs(rs), before)
		asked := rs[0].RequestCount()
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(rs[0].RequestCount(), asked) // It refused a moment ago; nothing newer is known of it.
		rs[0].SetVersion(3)
		time.Sleep(2 * time.Second)
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusOK)
	})
}

// A request that was given up at the end of its replica's version does not begin
// there later, however long it would still have been on its way.
func TestGivenUpRequestDoesNotBeginLate(t *testing.T) {
	const within = 8 * time.Second // As in the settings of the tests' gateways.
	rs := engines(1, 2)
	var named time.Time
	var late atomic.Int64
	rs[0].Handle = func(int, *platformtest.Exchange) bool {
		if !named.IsZero() && time.Since(named) > within {
			late.Add(1)
		}
		return false
	}
	run(t, 1, rs, func(is *is.I, w *world) {
		const slow = 80 // Bytes a second: a request takes nearly two seconds.
		w.net.Add(&simnet.End{Name: rs[0].Addr, Up: &simnet.Link{}, Down: &simnet.Link{Rate: slow}, Serve: rs[0].Serve})
		w.tell(0, func() []peers.Status { // Its agent has not noticed.
			return []peers.Status{{Addr: rs[0].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true}}
		})
		time.Sleep(500 * time.Millisecond)
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		named = time.Now()
		time.Sleep(within - 1500*time.Millisecond)
		got := w.ask(0, "POST", "/s/", nil)
		is.Equal(got.status, http.StatusBadGateway) // It may have run, for all that is known.
		time.Sleep(5 * time.Second)
		is.Equal(late.Load(), int64(0))
	})
}

// A gateway sees by its own pings that what it sends to a box is long on its way, and
// leaves the replica there sooner where its version's time ends, though the agent says
// nothing of it.
func TestSlowBoxIsLeftSooner(t *testing.T) {
	for _, tc := range []struct {
		name string
		down float64 // Bytes a second that the box takes in.
		want int
	}{
		{"usual", 0, http.StatusOK},
		{"slow", 25, http.StatusServiceUnavailable}, // A ping takes half a second.
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := engines(1, 2)
			run(t, 1, rs, func(is *is.I, w *world) {
				var down simnet.Link
				w.tellBehind(0, &down, func() []peers.Status {
					return []peers.Status{{Addr: rs[0].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true}}
				})
				time.Sleep(time.Second)
				down.SetRate(tc.down)
				w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
				time.Sleep(5500 * time.Millisecond) // Of eight, less a margin.
				is.Equal(w.ask(0, "POST", "/s/", nil).status, tc.want)
			})
		})
	}
}
