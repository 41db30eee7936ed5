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

// callers asks each gateway in turn, once every so often, for a time, and returns how many
// answers had each status.
func (w *world) callers(target string, every, lasting time.Duration) map[int]int {
	out := map[int]int{}
	replies := make(chan reply)
	n := 0
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(every) {
		gateway, id := n%len(w.gateways), fmt.Sprintf("c%d", n)
		go func() { replies <- w.ask(gateway, "POST", target, map[string]string{"X-Attempt-Id": id}) }()
		n++
	}
	for range n {
		out[(<-replies).status]++
	}
	return out
}

// unheard lists what came to replicas against what they had said.
func unheard(rs []*platformtest.Replica) (out []platformtest.Violation) {
	for _, r := range rs {
		out = append(out, r.Violations()...)
	}
	return out
}

// Requests went on reaching a replica that was leaving, up to 3.1 s after each gateway had
// been told. The store was silent: the replica's word to it was taken 12 s late, and the list
// named the replica as ready meanwhile. All its answers said that it leaves. Gateways read
// only the list, so each chose it as before; the line of a request showed that it was chosen
// by a list entry of 17 s before.
func TestReplicaThatSaysItLeavesGetsNothingMore(t *testing.T) {
	rs, got := engines(4, 3), map[int]int{}
	run(t, 0, rs, func(_ *is.I, w *world) {
		var away atomic.Bool
		for i := range 2 {
			w.addGateway(i, w.storeUnless(&away))
		}
		time.Sleep(time.Second)
		away.Store(true)
		rs[0].Leave()
		got = w.callers("/s/", 40*time.Millisecond, 6*time.Second)
	})
	check := is.New(t)
	check.Equal(unheard(rs), nil)
	check.Equal(got, map[int]int{200: 150}) // The others have room for all.
}

// refusedAtOnce asks once more and reports whether the request was refused without a wait,
// and without one more having come to the replicas.
func (w *world) refusedAtOnce(target string) bool {
	asked, began := 0, time.Now()
	for _, r := range w.replicas {
		asked -= r.RequestCount()
	}
	got := w.ask(0, "POST", target, nil)
	for _, r := range w.replicas {
		asked += r.RequestCount()
	}
	return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && time.Since(began) == 0 && asked == 0
}

// Any answer that says that its replica leaves counts, from its head on.
func TestEachKindOfAnswerSaysThatItsReplicaLeaves(t *testing.T) {
	const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, target string
		act          func(x *platformtest.Exchange) bool
	}{
		{"a whole answer", "/safe/", func(*platformtest.Exchange) bool { return false }},
		{"its own failure", "/safe/", func(x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 4\r\n\r\nfail", x.Head(500, ""))
			return true
		}},
		{"a refusal", "/unsafe/", func(x *platformtest.Exchange) bool {
			x.Reject("")
			return true
		}},
		{"an answer that is cut", "/unsafe/", func(x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%sContent-Length: 40\r\n\r\nfail", x.Head(200, ""))
			_ = x.Conn.Close()
			return true
		}},
		{"the head of a stream that has not begun", "/s/", func(x *platformtest.Exchange) bool {
			x.RecordRun()
			x.Printf("%s", x.Head(200, streamHead))
			time.Sleep(500 * time.Millisecond)
			x.Event(1)
			x.Printf("0\r\n\r\n")
			return true
		}},
		{"an early answer", "/safe/", func(x *platformtest.Exchange) bool {
			x.Printf("HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n")
			x.Replica.AnnounceLeaving("")
			return false
		}},
		{"a surplus answer", "/safe/", func(x *platformtest.Exchange) bool {
			x.Printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			x.Replica.AnnounceLeaving("")
			return false
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := plain(1)[0]
			if tc.target == "/s/" {
				r = engines(1, 1)[0]
			}
			r.Handle = func(_ int, x *platformtest.Exchange) bool { return tc.act(x) }
			refused := false
			run(t, 1, []*platformtest.Replica{r}, func(_ *is.I, w *world) {
				r.Leave()
				go w.ask(0, "POST", tc.target, nil)
				time.Sleep(200 * time.Millisecond)
				refused = w.refusedAtOnce(tc.target)
				time.Sleep(time.Second)
			})
			is.New(t).True(refused)
		})
	}
}

// The replica that a stream goes on at says that it leaves, and so does one that a request is
// sent to after another one.
func TestLaterSendsAreHeardToo(t *testing.T) {
	for _, target := range []string{"/s/", "/safe/"} {
		t.Run(target, func(t *testing.T) {
			rs := plain(2)
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
			status, then := 0, []int(nil)
			run(t, 1, rs, func(_ *is.I, w *world) {
				status = w.ask(0, "POST", target, nil).status
				asked := rs[0].RequestCount() + rs[1].RequestCount() - first.Load().RequestCount()
				for range 5 {
					w.ask(0, "POST", target, nil)
				}
				then = append(then, asked, rs[0].RequestCount()+rs[1].RequestCount()-first.Load().RequestCount())
			})
			check := is.New(t)
			check.Equal(status, http.StatusOK)
			check.Equal(then, []int{1, 1})
		})
	}
}

// Only the value that the pages name says that a replica leaves. What cannot be read takes no
// replica out of use.
func TestValuesOfLeaving(t *testing.T) {
	for value, believed := range map[string]bool{
		"1": true, " 1 ": true, "": false, "0": false, "yes": false, "1.5": false, "-1": false, "99999999999999999999": false,
		strings.Repeat("1", 4000): false,
	} {
		t.Run(fmt.Sprintf("%.8q", value), func(t *testing.T) {
			rs, refused := plain(1), false
			run(t, 1, rs, func(_ *is.I, w *world) {
				rs[0].AnnounceLeaving(value)
				w.ask(0, "GET", "/safe/", nil)
				refused = w.refusedAtOnce("/safe/")
			})
			is.New(t).Equal(refused, believed)
		})
	}
}

// A request is chosen a replica and its connection takes seconds. Meanwhile an answer to
// another one says that the replica leaves, or wants rest: the first goes elsewhere.
func TestChosenRequestIsNotSentAgainstTheReplicasWord(t *testing.T) {
	for name, say := range map[string]func(r *platformtest.Replica){
		"leaves": func(r *platformtest.Replica) { r.Leave() },
		"rests":  func(r *platformtest.Replica) { r.Shed("6") },
	} {
		t.Run(name, func(t *testing.T) {
			rs := plain(2)
			var slow atomic.Bool
			var late reply
			asked := 0
			run(t, 1, rs, func(_ *is.I, w *world) {
				w.store.Delete("servers/p1")
				time.Sleep(time.Second)
				w.dials = func(to string) {
					if to == rs[0].Addr && slow.CompareAndSwap(true, false) {
						time.Sleep(3 * time.Second)
					}
				}
				slow.Store(true)
				done := make(chan struct{})
				go func() {
					late = w.ask(0, "POST", "/unsafe/", map[string]string{"X-Attempt-Id": "late"})
					close(done)
				}()
				time.Sleep(100 * time.Millisecond)
				say(rs[0])
				w.ask(0, "POST", "/unsafe/", nil)
				asked = rs[0].RequestCount()
				w.store.Put("servers/p1", rs[1].Record("ready"))
				<-done
			})
			check := is.New(t)
			check.Equal(late.status, http.StatusOK)
			check.Equal(late.body, "answer of p1")
			check.Equal(rs[0].RequestCount(), asked)
		})
	}
}

// Connections that are kept to a replica are closed when it says that it leaves, and stay
// while it rests; none of them is used meanwhile.
func TestKeptConnectionsOfAReplicaThatSaidSo(t *testing.T) {
	for name, tc := range map[string]struct {
		say   func(r *platformtest.Replica)
		conns int
	}{
		"leaves": {func(r *platformtest.Replica) { r.Leave() }, 0},
		"rests":  {func(r *platformtest.Replica) { r.Shed("600") }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			rs, conns, asked := plain(1), []int(nil), 0
			rs[0].Handle = func(int, *platformtest.Exchange) bool {
				time.Sleep(50 * time.Millisecond) // So that two requests are two connections.
				return false
			}
			both := func(w *world) {
				done := make(chan reply)
				for range 2 {
					go func() { done <- w.ask(0, "GET", "/safe/", nil) }()
				}
				for range 2 {
					<-done
				}
			}
			run(t, 1, rs, func(_ *is.I, w *world) {
				both(w)
				conns = append(conns, rs[0].Conns())
				tc.say(rs[0])
				both(w)
				asked = rs[0].RequestCount()
				time.Sleep(time.Second)
				both(w)
				conns = append(conns, rs[0].Conns())
				asked = rs[0].RequestCount() - asked
			})
			check := is.New(t)
			check.Equal(conns, []int{2, tc.conns})
			check.Equal(asked, 0)
		})
	}
}

// What a replica said ends with its life, not with an entry of the list, and not with its
// address.
func TestWordEndsWithTheReplicasLife(t *testing.T) {
	cases := []struct {
		name  string
		list  func(w *world, r *platformtest.Replica)
		again bool // It is used again.
	}{
		{"listed as ready once more", func(w *world, r *platformtest.Replica) { w.store.Put("servers/p0", r.Record("ready")) }, false},
		{"its entry lapses and is back", func(w *world, r *platformtest.Replica) {
			w.store.Delete("servers/p0")
			time.Sleep(20 * time.Second)
			w.store.Put("servers/p0", r.Record("ready"))
		}, false},
		{"another replica has its address", func(w *world, r *platformtest.Replica) {
			w.store.Delete("servers/p0")
			r.ID = "p9"
			w.store.Put("servers/p9", r.Record("ready"))
		}, true},
		{"it started again under its id", func(w *world, r *platformtest.Replica) {
			rec := r.Record("ready")
			rec["born"] = 1_700_000_000_001
			w.store.Put("servers/p0", rec)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rs := plain(1)
			said := func(say func()) (used bool) {
				run(t, 1, rs, func(_ *is.I, w *world) {
					rec := rs[0].Record("ready")
					rec["born"] = 1_700_000_000_000
					w.store.Put("servers/p0", rec)
					time.Sleep(time.Second)
					say()
					w.ask(0, "GET", "/safe/", nil)
					rs[0].AnnounceLeaving("")
					rs[0].Shed("")
					tc.list(w, rs[0])
					time.Sleep(time.Second)
					used = w.ask(0, "GET", "/safe/", nil).status == http.StatusOK
				})
				rs = plain(1)
				return used
			}
			check := is.New(t)
			check.Equal(said(rs[0].Leave), tc.again)
			check.Equal(said(func() { rs[0].Shed("600") }), tc.again)
		})
	}
}
