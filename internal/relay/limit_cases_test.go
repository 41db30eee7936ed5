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

// What cannot be read is no limit, and ends none. Of several the lowest holds.
func TestValuesOfLimits(t *testing.T) {
	const asked = 100
	for _, tc := range []struct {
		values  []string
		bounded bool
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
				rs, got := plain(1), map[int]int{}
				run(t, 2, rs, func(_ *is.I, w *world) {
					if before != nil {
						rs[0].AnnounceLimit(before...)
						w.callers("/safe/", 40*time.Millisecond, time.Second)
					}
					rs[0].AnnounceLimit(tc.values...)
					got = w.callers("/safe/", 40*time.Millisecond, asked*40*time.Millisecond)
				})
				check := is.New(t)
				readable := tc.values[0] == "1e999" || strings.HasPrefix(tc.values[0], "9") || strings.HasPrefix(tc.values[0], "11")
				if tc.bounded || before != nil && !readable {
					check.True(float64(got[http.StatusOK]) <= 6*1.3+5)
					check.Equal(got[http.StatusOK]+got[http.StatusServiceUnavailable], asked)
				} else {
					check.True(got[http.StatusOK] >= asked*8/10) // A limit before ends with the first answer that says so.
				}
			}
		})
	}
}

// The limit that a replica names falls, rises and ends while callers come: it holds all along,
// and once it has ended the replica gets its share again.
func TestLimitsThatChange(t *testing.T) {
	rs, got, after := engines(4, 3), map[int]int{}, 0
	run(t, 6, rs, func(_ *is.I, w *world) {
		for _, v := range []string{"5", "0.4", "0", "3", "1.7"} {
			rs[0].AnnounceLimit(v)
			for status, n := range w.callers("/s/", 10*time.Millisecond, 8*time.Second) {
				got[status] += n
			}
		}
		rs[0].AnnounceLimit()
		w.callers("/s/", 10*time.Millisecond, 8*time.Second)
		after = rs[0].CountArrivals(time.Now().Add(-4*time.Second), time.Now())
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 4000})
	check.True(after >= 60) // Of 400 to four replicas.
}

// A replica has named a limit to one gateway alone. The others have it from that one: not even
// their first requests come without a permit.
func TestLimitThatOneGatewayHeard(t *testing.T) {
	const gateways = 15
	rs, got, asked := plain(1), map[int]int{}, 0
	run(t, gateways, rs, func(_ *is.I, w *world) {
		rs[0].AnnounceLimit("0.2")
		w.ask(0, "POST", "/safe/", nil)
		time.Sleep(100 * time.Millisecond)
		asked = rs[0].RequestCount()
		replies := make(chan reply)
		for i := 1; i < gateways; i++ {
			go func() { replies <- w.ask(i, "POST", "/safe/", nil) }()
		}
		for i := 1; i < gateways; i++ {
			got[(<-replies).status]++
		}
		asked = rs[0].RequestCount() - asked
	})
	check := is.New(t)
	check.Equal(asked, 0)
	check.Equal(got, map[int]int{http.StatusServiceUnavailable: gateways - 1})
}

// Where all of a service are limited, who has no permit is refused at once, and is told truly
// when there is one.
func TestAllOfAServiceAreLimited(t *testing.T) {
	rs, second := plain(2), reply{}
	var first []reply
	var took []time.Duration
	run(t, 6, rs, func(_ *is.I, w *world) {
		for _, r := range rs {
			r.AnnounceLimit("0.5")
		}
		w.callers("/safe/", 20*time.Millisecond, time.Second)
		for range 20 {
			began := time.Now()
			if got := w.ask(3, "GET", "/safe/", nil); got.status != http.StatusOK {
				first = append(first, got)
				took = append(took, time.Since(began))
			}
		}
		last := first[len(first)-1]
		time.Sleep(time.Duration(last.retryAfter(t) * float64(time.Second)))
		second = w.ask(3, "GET", "/safe/", nil)
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.True(len(first) >= 18)
	check.True(slices.Max(took) <= 25*time.Millisecond) // It asked who keeps the limits, no more.
	check.Equal(second.status, http.StatusOK)
}

// Second sends take permits too: of a request whose replica failed, and of a stream that goes
// on elsewhere.
func TestLaterSendsTakePermits(t *testing.T) {
	for _, target := range []string{"/safe/", "/s/"} {
		t.Run(target, func(t *testing.T) {
			rs := plain(2)
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
			asked := 0
			run(t, 6, rs, func(_ *is.I, w *world) {
				rs[1].AnnounceLimit("1.3")
				w.callers(target, 20*time.Millisecond, 3*time.Second)
				asked = rs[0].RequestCount()
				w.callers(target, 20*time.Millisecond, 10*time.Second)
				asked = rs[0].RequestCount() - asked
			})
			check := is.New(t)
			check.Equal(overLimit(rs), nil)
			check.True(asked > 20) // So many have failed, and would go there.
		})
	}
}

// Streams whose replica waits to take another version go on at one that has a limit only with
// a permit there.
func TestMovedStreamsTakePermits(t *testing.T) {
	const streams = 8
	rs, moved := engines(2, 60), 0
	run(t, 1, rs, func(_ *is.I, w *world) {
		var changing atomic.Bool
		w.tell(0, func() []peers.Status {
			out := []peers.Status{{Addr: rs[0].Addr, Version: 1, Reached: true, Changing: changing.Load()}}
			if changing.Load() {
				out = append(out, peers.Status{Addr: rs[1].Addr, Version: 1, Reached: true})
			}
			return out
		})
		rs[1].AnnounceLimit("0.5")
		w.callers("/s/", 100*time.Millisecond, time.Second) // The limit is heard.
		time.Sleep(8 * time.Second)
		w.store.Delete("servers/e1") // All begin at the first.
		time.Sleep(time.Second)
		replies := make(chan reply)
		for range streams {
			go func() { replies <- w.ask(0, "POST", "/s/", nil) }()
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		asked := rs[1].RequestCount()
		changing.Store(true)
		w.store.Put("servers/e1", rs[1].Record("ready"))
		for range streams {
			if got := <-replies; got.status != http.StatusOK || got.body != events(1, 60) {
				t.Errorf("%d %q", got.status, got.body)
			}
		}
		moved = rs[1].RequestCount() - asked
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.True(moved >= 1 && moved <= 4)
}

// The most urgent requests have the permits.
func TestUrgentRequestsHaveThePermits(t *testing.T) {
	rs, urgent, other := plain(1), map[int]int{}, map[int]int{}
	run(t, 6, rs, func(_ *is.I, w *world) {
		w.store.Put("op/config", platformtest.Config(
			2,
			platformtest.Route("safe", "/safe/", "safe", "api", platformtest.Body{"priority": 1}),
			platformtest.Route("later", "/later/", "safe", "api", platformtest.Body{"priority": 4}),
		))
		rs[0].AnnounceLimit("2")
		w.callers("/safe/", 50*time.Millisecond, time.Second)
		done := make(chan struct{})
		go func() {
			other = w.callers("/later/", 50*time.Millisecond, 20*time.Second)
			close(done)
		}()
		urgent = w.callers("/safe/", 50*time.Millisecond, 20*time.Second)
		<-done
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.True(urgent[http.StatusOK] >= 34) // Of 40 permits.
	check.True(other[http.StatusOK] <= 4)
}
