package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
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
				rs[0].AnnounceLimit("1.3")
				w.callers("/s/", 10*time.Millisecond, 6*time.Second)
				limiter := limiterOf(rs[0], gateways)
				ended := strings.HasPrefix(tc.name, "ends")
				tc.change(w, limiter)
				if ended {
					w.stops[limiter] = func() {}
					w.gateways[limiter] = w.gateways[(limiter+1)%gateways]
				}
				got = w.callers("/s/", 10*time.Millisecond, 12*time.Second)
				came = rs[0].CountArrivals(time.Now().Add(-4*time.Second), time.Now())
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
		rs[0].AnnounceLimit("1.3")
		w.callers("/s/", 10*time.Millisecond, 4*time.Second)
		got = w.callers("/s/", 10*time.Millisecond, 8*time.Second)
		came = rs[0].CountArrivals(time.Now().Add(-4*time.Second), time.Now())
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 800})
	check.Equal(came, 0)
}

// addOlder adds what a gateway of a build without limits says to others.
func (w *world) addOlder(addr string) {
	announce := &peers.Announcement{From: peers.Member{Name: addr, Addr: addr, Hall: "h1"}}
	var hs wire.Handlers
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, _ *peers.Announcement) { _ = s.SendLast(ctx, announce) })
	const every = 200 * time.Millisecond
	w.addOlderProcess(addr, "h1", &hs, every, func(ctx context.Context, c *wire.Conn) { _, _ = c.Call(ctx, announce) })
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
		rs[0].AnnounceLimit("3")
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
		came = rs[0].CountArrivals(time.Now().Add(-16*time.Second), time.Now())
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
		rs[0].AnnounceLimit("30")
		w.net.Stall(gatewayAddr(0), gatewayAddr(1), true)
		w.addGateway(1, w.store)
		time.Sleep(400 * time.Millisecond)
		heard = w.ask(1, "GET", "/safe/", nil).status // It hears of the limit.
		asked = rs[0].RequestCount()
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			status = max(status, w.ask(1, "GET", "/safe/", nil).status)
		}
		asked = rs[0].RequestCount() - asked
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
			r.AnnounceLimit("50")
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

// Another gateway comes that is a replica's limiter, and goes after a while. The limiter of
// before is it again: it does not give out what came free while the other one gave.
func TestFormerLimiterBeginsAnew(t *testing.T) {
	const gateways = 3
	rs, asked := plain(1), 0
	for limiterOf(rs[0], gateways+1) != gateways {
		rs[0].ID += "x"
	}
	run(t, gateways, rs, func(_ *is.I, w *world) {
		rs[0].AnnounceLimit("0.5")
		w.callers("/safe/", 50*time.Millisecond, 8*time.Second)
		w.addGateway(gateways, w.store)
		w.callers("/safe/", 50*time.Millisecond, 8*time.Second)
		last := len(w.stops) - 1
		w.stops[last]()
		w.stops, w.gateways = w.stops[:last], w.gateways[:gateways]
		time.Sleep(4 * time.Second) // It is missed by then, and nobody has asked.
		asked = rs[0].RequestCount()
		w.callers("/safe/", 10*time.Millisecond, 200*time.Millisecond)
		asked = rs[0].RequestCount() - asked
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(asked, 0)
}
