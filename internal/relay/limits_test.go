package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// limiterOf returns the number of the gateway that keeps a replica's limit, of the first n.
func limiterOf(r *platformtest.Replica, n int) int {
	var addrs []string
	for i := range n {
		addrs = append(addrs, gatewayAddr(i))
	}
	return slices.Index(addrs, rendezvous.First("limit/"+r.ID, addrs))
}

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
						rs[0].SayLimit(before...)
						w.callers("/safe/", 40*time.Millisecond, time.Second)
					}
					rs[0].SayLimit(tc.values...)
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
			rs[0].SayLimit(v)
			for status, n := range w.callers("/s/", 10*time.Millisecond, 8*time.Second) {
				got[status] += n
			}
		}
		rs[0].SayLimit()
		w.callers("/s/", 10*time.Millisecond, 8*time.Second)
		after = rs[0].Came(time.Now().Add(-4*time.Second), time.Now())
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
		rs[0].SayLimit("0.2")
		w.ask(0, "POST", "/safe/", nil)
		time.Sleep(100 * time.Millisecond)
		asked = rs[0].Asked()
		replies := make(chan reply)
		for i := 1; i < gateways; i++ {
			go func() { replies <- w.ask(i, "POST", "/safe/", nil) }()
		}
		for i := 1; i < gateways; i++ {
			got[(<-replies).status]++
		}
		asked = rs[0].Asked() - asked
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
			r.SayLimit("0.5")
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
			rs[0].Act = func(_ int, x *platformtest.Exchange) bool {
				x.Run()
				if target == "/s/" {
					x.Printf("%s", x.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
					x.Event(1)
				}
				_ = x.Conn.Close()
				return true
			}
			asked := 0
			run(t, 6, rs, func(_ *is.I, w *world) {
				rs[1].SayLimit("1.3")
				w.callers(target, 20*time.Millisecond, 3*time.Second)
				asked = rs[0].Asked()
				w.callers(target, 20*time.Millisecond, 10*time.Second)
				asked = rs[0].Asked() - asked
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
		rs[1].SayLimit("0.5")
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
		asked := rs[1].Asked()
		changing.Store(true)
		w.store.Put("servers/e1", rs[1].Record("ready"))
		for range streams {
			if got := <-replies; got.status != http.StatusOK || got.body != events(1, 60) {
				t.Errorf("%d %q", got.status, got.body)
			}
		}
		moved = rs[1].Asked() - asked
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
		rs[0].SayLimit("2")
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

// The gateway that keeps a limit stops, is killed, is cut off or starts again, and others come:
// the limit holds, no request waits for its word for long, and the replica is used again soon.
func TestLimitHoldsWhileItsLimiterChanges(t *testing.T) {
	const gateways = 6
	for _, tc := range []struct {
		name   string
		change func(w *world, limiter int)
	}{
		{"ends", func(w *world, limiter int) { w.stops[limiter]() }},
		{"ends and starts again", func(w *world, limiter int) {
			w.stops[limiter]()
			time.Sleep(500 * time.Millisecond)
			w.addGateway(limiter, w.store)
		}},
		{"is cut off for 6 s", func(w *world, limiter int) {
			stall := func(on bool) {
				for i := range gateways {
					w.net.Stall(gatewayAddr(limiter), gatewayAddr(i), on)
				}
			}
			stall(true)
			time.AfterFunc(6*time.Second, func() { stall(false) })
		}},
		{"gateways come", func(w *world, _ int) {
			for i := range 6 {
				w.addGateway(gateways+i, w.store)
				time.Sleep(200 * time.Millisecond)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs, got, came := engines(4, 3), map[int]int{}, 0
			run(t, gateways, rs, func(_ *is.I, w *world) {
				w.stops = slices.Clone(w.stops)
				rs[0].SayLimit("1.3")
				w.callers("/s/", 10*time.Millisecond, 6*time.Second)
				limiter := limiterOf(rs[0], gateways)
				ended := strings.HasPrefix(tc.name, "ends")
				tc.change(w, limiter)
				if ended {
					w.stops[limiter] = func() {}
					w.gateways[limiter] = w.gateways[(limiter+1)%gateways]
				}
				got = w.callers("/s/", 10*time.Millisecond, 12*time.Second)
				came = rs[0].Came(time.Now().Add(-4*time.Second), time.Now())
			})
			check := is.New(t)
			check.Equal(overLimit(rs), nil)
			check.Equal(got, map[int]int{200: 1200})
			check.True(came >= 3)
		})
	}
}

// A gateway of an older build does not know the question for a permit. What it would keep is
// sent nothing by the others, and nothing else suffers.
func TestLimitWhoseLimiterIsOfAnOlderBuild(t *testing.T) {
	const older = "10.0.0.99:1"
	rs, got, came := engines(3, 3), map[int]int{}, 0
	for rendezvous.First("limit/"+rs[0].ID, []string{older, gatewayAddr(0), gatewayAddr(1)}) != older {
		rs[0].ID += "x"
	}
	run(t, 2, rs, func(_ *is.I, w *world) {
		w.addOlder(older)
		time.Sleep(time.Second)
		rs[0].SayLimit("1.3")
		w.callers("/s/", 10*time.Millisecond, 4*time.Second)
		got = w.callers("/s/", 10*time.Millisecond, 8*time.Second)
		came = rs[0].Came(time.Now().Add(-4*time.Second), time.Now())
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 800})
	check.Equal(came, 0)
}

// addOlder adds what a gateway of a build without limits says to others.
func (w *world) addOlder(addr string) {
	codec := wire.NewCodec(slices.DeleteFunc(slices.Clone(peers.Messages), func(e wire.Entry) bool { return e.ByName }))
	announce := &peers.Announce{From: peers.Member{Name: addr, Addr: addr, Hall: "h1"}}
	var hs wire.Handlers
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, _ *peers.Announce) { _ = s.SendLast(ctx, announce) })
	ctx, cancel := context.WithCancel(context.Background())
	pool := &wire.Pool{
		Local: wire.Hello{Cluster: "c", Box: addr, Hall: "h1", Role: "gateway", Incarnation: 9}, Codec: codec, Handlers: &hs, Lifetime: ctx,
		Options: wire.Options{PingEvery: time.Second, StallAfter: 3 * time.Second},
		Dial:    func(ctx context.Context, to string) (net.Conn, error) { return w.net.Dial(ctx, addr, to) },
	}
	srv := &wire.Server{Local: pool.Local, Codec: codec, Handlers: &hs, Options: pool.Options}
	w.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: srv.One})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
			for i := range w.gateways {
				if c, err := pool.Get(ctx, gatewayAddr(i)); err == nil {
					_, _ = c.Call(ctx, announce)
				}
			}
		}
	}()
	w.stops = append(w.stops, func() {
		cancel()
		w.net.Remove(addr)
		<-done
	})
}

// Two halls are cut off from each other, and each has a limiter of its own: together they send
// no more than the limit allows, though nobody tells either of the other.
func TestHallsThatAreCutOffShareALimit(t *testing.T) {
	const gateways = 6
	rs, got, came := engines(4, 3), map[int]int{}, 0
	run(t, 0, rs, func(_ *is.I, w *world) {
		w.halls = 2
		for i := range gateways {
			w.addGateway(i, w.store)
		}
		time.Sleep(3 * time.Second)
		rs[0].SayLimit("3")
		w.callers("/s/", 10*time.Millisecond, 4*time.Second)
		for i := range gateways {
			for j := range gateways {
				if w.hallOf(i) != w.hallOf(j) {
					w.net.Stall(gatewayAddr(i), gatewayAddr(j), true)
				}
			}
		}
		w.callers("/s/", 10*time.Millisecond, 4*time.Second) // Each hall has noticed.
		got = w.callers("/s/", 10*time.Millisecond, 16*time.Second)
		came = rs[0].Came(time.Now().Add(-16*time.Second), time.Now())
		for i := range gateways {
			for j := range gateways {
				w.net.Stall(gatewayAddr(i), gatewayAddr(j), false)
			}
		}
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 1600})
	check.True(came >= 24 && came <= 16*3+4) // Of 48: both halls use their part.
}

// A gateway that starts beside others and reaches none of them takes itself for the only one
// until all that it was told to join were asked; until then it gives itself no permit.
func TestStartedGatewayGivesNoPermits(t *testing.T) {
	rs, asked, heard, status := plain(1), 0, 0, 0
	run(t, 0, rs, func(_ *is.I, w *world) {
		w.join = []string{gatewayAddr(0), gatewayAddr(1)}
		w.addGateway(0, w.store)
		time.Sleep(3 * time.Second)
		rs[0].SayLimit("30")
		w.net.Stall(gatewayAddr(0), gatewayAddr(1), true)
		w.addGateway(1, w.store)
		time.Sleep(400 * time.Millisecond)
		heard = w.ask(1, "GET", "/safe/", nil).status // It hears of the limit.
		asked = rs[0].Asked()
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			status = max(status, w.ask(1, "GET", "/safe/", nil).status)
		}
		asked = rs[0].Asked() - asked
		w.net.Stall(gatewayAddr(0), gatewayAddr(1), false)
	})
	check := is.New(t)
	check.Equal(heard, http.StatusOK)
	check.Equal(asked, 0)
	check.Equal(status, http.StatusServiceUnavailable)
}

// The limiter of several replicas' limits is silent. Requests wait for it seldom, and each for
// a moment only.
func TestSilentLimiter(t *testing.T) {
	const gateways, asks = 3, 40
	rs, waited := plain(6), 0
	run(t, gateways, rs, func(_ *is.I, w *world) {
		for _, r := range rs {
			r.ID += "k"
			for limiterOf(r, gateways) != 2 {
				r.ID += "k"
			}
			w.store.Put("servers/"+r.ID, r.Record("ready"))
			r.SayLimit("50")
		}
		for i := range rs {
			w.store.Delete(fmt.Sprintf("servers/p%d", i))
		}
		time.Sleep(3 * time.Second)
		w.gateways = w.gateways[:1]
		w.callers("/safe/", 20*time.Millisecond, 2*time.Second)
		for i := range 2 {
			w.net.Stall(gatewayAddr(2), gatewayAddr(i), true)
		}
		for range asks {
			began := time.Now()
			w.ask(0, "GET", "/safe/", nil)
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("a request took %v", took)
			} else if took >= 50*time.Millisecond {
				waited++
			}
			time.Sleep(20 * time.Millisecond)
		}
		for i := range 2 {
			w.net.Stall(gatewayAddr(2), gatewayAddr(i), false)
		}
	})
	is.New(t).True(waited >= 1 && waited <= 5) // In 0.8 s.
}
