package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// sendPeriodically sends requests to the gateways in turn, one per interval, and returns the number
// of replies by status.
func (cl *testCluster) sendPeriodically(target string, interval, duration time.Duration) map[int]int {
	out := map[int]int{}
	replies := make(chan reply)
	n := 0
	for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
		gateway, id := n%len(cl.gateways), fmt.Sprintf("c%d", n)
		go func() { replies <- cl.send(gateway, "POST", target, map[string]string{"X-Attempt-Id": id}) }()
		n++
	}
	for range n {
		out[(<-replies).status]++
	}
	return out
}

// violations returns the requests that replicas received although they had announced that they
// were leaving, or had requested a backoff.
func violations(rs []*platformtest.Replica) (out []platformtest.Violation) {
	for _, r := range rs {
		out = append(out, r.Violations()...)
	}
	return out
}

// The list of the store may be late: a replica's change to draining took 12 s to appear in it, and
// requests reached the replica until 3.1 s after each gateway had received a response stating that
// it was leaving; one was sent on a list entry that was 17 s old. Gateways must read the state from
// the responses too.
func TestReplicaThatSaysItLeavesGetsNothingMore(t *testing.T) {
	rs, got := engines(4, 3), map[int]int{}
	runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
		var unavailable atomic.Bool
		for i := range 2 {
			cl.addGateway(i, cl.interruptibleStore(&unavailable))
		}
		time.Sleep(time.Second)
		unavailable.Store(true)
		rs[0].Leave()
		got = cl.sendPeriodically("/s/", 40*time.Millisecond, 6*time.Second)
	})
	check := is.New(t)
	check.Equal(violations(rs), nil)
	check.Equal(got, map[int]int{200: 150}) // The other replicas have capacity for all requests.
}

// refusedImmediately sends a request and reports whether it was refused without delay and without
// reaching a replica.
func (cl *testCluster) refusedImmediately(target string) bool {
	received, began := 0, time.Now()
	for _, r := range cl.replicas {
		received -= r.RequestCount()
	}
	got := cl.send(0, "POST", target, nil)
	for _, r := range cl.replicas {
		received += r.RequestCount()
	}
	return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && time.Since(began) == 0 && received == 0
}

// Every kind of response with the Leaving header counts, as soon as its header is read.
func TestEachKindOfAnswerSaysThatItsReplicaLeaves(t *testing.T) {
	const streamHeader = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, target string
		respond      func(x *platformtest.Exchange) bool
	}{
		{"complete answer", "/safe/", func(*platformtest.Exchange) bool { return false }},
		{"failure of the replica", "/safe/", func(x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 4\r\n\r\nfail", x.Head(500, ""))
			return true
		}},
		{"refusal", "/unsafe/", func(x *platformtest.Exchange) bool {
			x.Reject("")
			return true
		}},
		{"truncated answer", "/unsafe/", func(x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 40\r\n\r\nfail", x.Head(200, ""))
			_ = x.Conn.Close()
			return true
		}},
		{"header of a stream before its first event", "/s/", func(x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%s", x.Head(200, streamHeader))
			time.Sleep(500 * time.Millisecond)
			x.Event(1)
			x.Printf("0\r\n\r\n")
			return true
		}},
		{"informational response", "/safe/", func(x *platformtest.Exchange) bool {
			x.Printf("HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n")
			x.Replica.AnnounceLeaving("")
			return false
		}},
		{"surplus response", "/safe/", func(x *platformtest.Exchange) bool {
			x.Printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			x.Replica.AnnounceLeaving("")
			return false
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := plainReplicas(1)[0]
			if tc.target == "/s/" {
				r = engines(1, 1)[0]
			}
			r.Handle = func(_ int, x *platformtest.Exchange) bool { return tc.respond(x) }
			refused := false
			runCluster(t, 1, []*platformtest.Replica{r}, func(_ *is.I, cl *testCluster) {
				r.Leave()
				go cl.send(0, "POST", tc.target, nil)
				time.Sleep(200 * time.Millisecond)
				refused = cl.refusedImmediately(tc.target)
				time.Sleep(time.Second)
			})
			is.New(t).True(refused)
		})
	}
}

// The Leaving header counts in the responses of later attempts too: of the replica at which a stream
// continues, and of one to which a request is retried.
func TestLeavingHeaderOfLaterAttempts(t *testing.T) {
	for _, target := range []string{"/s/", "/safe/"} {
		t.Run(target, func(t *testing.T) {
			rs := plainReplicas(2)
			if target == "/s/" {
				rs = engines(2, 6)
			}
			var first atomic.Pointer[platformtest.Replica]
			for _, r := range rs {
				r.Handle = func(_ int, x *platformtest.Exchange) bool {
					if !first.CompareAndSwap(nil, x.Replica) {
						return false
					}
					x.RecordRun()
					if target == "/s/" {
						x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
						x.Event(1)
						time.Sleep(10 * time.Millisecond)
					}
					for _, other := range rs {
						if other != x.Replica {
							other.Leave()
						}
					}
					_ = x.Conn.Close()
					return true
				}
			}
			status, received := 0, []int(nil)
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				status = cl.send(0, "POST", target, nil).status
				before := rs[0].RequestCount() + rs[1].RequestCount() - first.Load().RequestCount()
				for range 5 {
					cl.send(0, "POST", target, nil)
				}
				received = append(received, before, rs[0].RequestCount()+rs[1].RequestCount()-first.Load().RequestCount())
			})
			check := is.New(t)
			check.Equal(status, http.StatusOK)
			check.Equal(received, []int{1, 1})
		})
	}
}

// Only the documented value of the Leaving header takes a replica out of use. Invalid values are
// ignored.
func TestLeavingHeaderValues(t *testing.T) {
	for value, leaving := range map[string]bool{
		"1": true, " 1 ": true, "": false, "0": false, "yes": false, "1.5": false, "-1": false, "99999999999999999999": false,
		strings.Repeat("1", 4000): false,
	} {
		t.Run(fmt.Sprintf("%.8q", value), func(t *testing.T) {
			rs, refused := plainReplicas(1), false
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				rs[0].AnnounceLeaving(value)
				cl.send(0, "GET", "/safe/", nil)
				refused = cl.refusedImmediately("/safe/")
			})
			is.New(t).Equal(refused, leaving)
		})
	}
}

// A replica has been chosen for a request, and connecting to it takes seconds. Meanwhile a response
// to another request announces that the replica is leaving, or requests a backoff. The first
// request must be sent to another replica.
func TestChosenRequestIsNotSentAgainstTheReplicasWord(t *testing.T) {
	for name, declare := range map[string]func(r *platformtest.Replica){
		"leaves": func(r *platformtest.Replica) { r.Leave() },
		"rests":  func(r *platformtest.Replica) { r.Shed("6") },
	} {
		t.Run(name, func(t *testing.T) {
			rs := plainReplicas(2)
			var slow atomic.Bool
			var delayed reply
			received := 0
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				cl.store.Delete("servers/p1")
				time.Sleep(time.Second)
				cl.onDial = func(to string) {
					if to == rs[0].Addr && slow.CompareAndSwap(true, false) {
						time.Sleep(3 * time.Second)
					}
				}
				slow.Store(true)
				done := make(chan struct{})
				go func() {
					delayed = cl.send(0, "POST", "/unsafe/", map[string]string{"X-Attempt-Id": "late"})
					close(done)
				}()
				time.Sleep(100 * time.Millisecond)
				declare(rs[0])
				cl.send(0, "POST", "/unsafe/", nil)
				received = rs[0].RequestCount()
				cl.store.Put("servers/p1", rs[1].Record("ready"))
				<-done
			})
			check := is.New(t)
			check.Equal(delayed.status, http.StatusOK)
			check.Equal(delayed.body, "answer of p1")
			check.Equal(rs[0].RequestCount(), received)
		})
	}
}

// Idle connections to a replica are closed when it announces that it is leaving, and are kept during
// a backoff. None of them may be used meanwhile.
func TestIdleConnectionsOfAnUnavailableReplica(t *testing.T) {
	for name, tc := range map[string]struct {
		declare func(r *platformtest.Replica)
		conns   int
	}{
		"leaves": {func(r *platformtest.Replica) { r.Leave() }, 0},
		"rests":  {func(r *platformtest.Replica) { r.Shed("600") }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			rs, conns, received := plainReplicas(1), []int(nil), 0
			rs[0].Handle = func(int, *platformtest.Exchange) bool {
				time.Sleep(50 * time.Millisecond) // So that two requests need two connections.
				return false
			}
			sendTwo := func(cl *testCluster) {
				done := make(chan reply)
				for range 2 {
					go func() { done <- cl.send(0, "GET", "/safe/", nil) }()
				}
				for range 2 {
					<-done
				}
			}
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				sendTwo(cl)
				conns = append(conns, rs[0].Conns())
				tc.declare(rs[0])
				sendTwo(cl)
				received = rs[0].RequestCount()
				time.Sleep(time.Second)
				sendTwo(cl)
				conns = append(conns, rs[0].Conns())
				received = rs[0].RequestCount() - received
			})
			check := is.New(t)
			check.Equal(conns, []int{2, tc.conns})
			check.Equal(received, 0)
		})
	}
}

// The state that a replica has announced applies to its incarnation: it outlasts the replica's entry
// in the list, and doesn't apply to another replica at the same address.
func TestWordEndsWithTheReplicasLife(t *testing.T) {
	cases := []struct {
		name   string
		relist func(cl *testCluster, r *platformtest.Replica)
		usable bool // The replica at the address is used.
	}{
		{"written as ready again", func(cl *testCluster, r *platformtest.Replica) { cl.store.Put("servers/p0", r.Record("ready")) }, false},
		{"entry lapses and is written again", func(cl *testCluster, r *platformtest.Replica) {
			cl.store.Delete("servers/p0")
			time.Sleep(20 * time.Second)
			cl.store.Put("servers/p0", r.Record("ready"))
		}, false},
		{"another replica at its address", func(cl *testCluster, r *platformtest.Replica) {
			cl.store.Delete("servers/p0")
			r.ID = "p9"
			cl.store.Put("servers/p9", r.Record("ready"))
		}, true},
		{"restarted under its ID", func(cl *testCluster, r *platformtest.Replica) {
			rec := r.Record("ready")
			rec["born"] = 1_700_000_000_001
			cl.store.Put("servers/p0", rec)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rs := plainReplicas(1)
			usableAfter := func(declare func()) (used bool) {
				runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
					rec := rs[0].Record("ready")
					rec["born"] = 1_700_000_000_000
					cl.store.Put("servers/p0", rec)
					time.Sleep(time.Second)
					declare()
					cl.send(0, "GET", "/safe/", nil)
					rs[0].AnnounceLeaving("")
					rs[0].Shed("")
					tc.relist(cl, rs[0])
					time.Sleep(time.Second)
					used = cl.send(0, "GET", "/safe/", nil).status == http.StatusOK
				})
				rs = plainReplicas(1)
				return used
			}
			check := is.New(t)
			check.Equal(usableAfter(rs[0].Leave), tc.usable)
			check.Equal(usableAfter(func() { rs[0].Shed("600") }), tc.usable)
		})
	}
}
