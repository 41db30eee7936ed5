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

// limiterIndex returns the index of the limiter of a replica among the first n gateways.
func limiterIndex(r *platformtest.Replica, n int) int {
	var addrs []string
	for i := range n {
		addrs = append(addrs, gatewayAddr(i))
	}
	return slices.Index(addrs, rendezvous.First("limit/"+r.ID, addrs))
}

// The limiter of a replica terminates, restarts or is cut off, or other gateways start. The limit
// must be kept, all requests must be served, and the replica must be used again soon.
func TestLimitHoldsWhileItsLimiterChanges(t *testing.T) {
	const gateways = 6
	for _, tc := range []struct {
		name   string
		change func(cl *testCluster, limiter int)
	}{
		{"ends", func(cl *testCluster, limiter int) { cl.stops[limiter]() }},
		{"ends and restarts", func(cl *testCluster, limiter int) {
			cl.stops[limiter]()
			time.Sleep(500 * time.Millisecond)
			cl.addGateway(limiter, cl.store)
		}},
		{"is cut off for 6 s", func(cl *testCluster, limiter int) {
			stall := func(stalled bool) {
				for i := range gateways {
					cl.net.Stall(gatewayAddr(limiter), gatewayAddr(i), stalled)
				}
			}
			stall(true)
			time.AfterFunc(6*time.Second, func() { stall(false) })
		}},
		{"gateways start", func(cl *testCluster, _ int) {
			for i := range 6 {
				cl.addGateway(gateways+i, cl.store)
				time.Sleep(200 * time.Millisecond)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs, got, arrivals := engines(4, 3), map[int]int{}, 0
			runCluster(t, gateways, rs, func(_ *is.I, cl *testCluster) {
				cl.stops = slices.Clone(cl.stops)
				rs[0].AnnounceLimit("1.3")
				cl.sendPeriodically("/s/", 10*time.Millisecond, 6*time.Second)
				limiter := limiterIndex(rs[0], gateways)
				ended := strings.HasPrefix(tc.name, "ends")
				tc.change(cl, limiter)
				if ended {
					cl.stops[limiter] = func() {}
					cl.gateways[limiter] = cl.gateways[(limiter+1)%gateways]
				}
				got = cl.sendPeriodically("/s/", 10*time.Millisecond, 12*time.Second)
				arrivals = rs[0].CountArrivals(time.Now().Add(-4*time.Second), time.Now())
			})
			check := is.New(t)
			check.Equal(overLimit(rs), nil)
			check.Equal(got, map[int]int{200: 1200})
			check.True(arrivals >= 3)
		})
	}
}

// A gateway of an older build doesn't support permit requests. The others send nothing to replicas
// of which it would be the limiter, and continue to use the other replicas.
func TestLimitWhoseLimiterIsOfAnOlderBuild(t *testing.T) {
	const oldAddr = "10.0.0.99:1"
	rs, got, arrivals := engines(3, 3), map[int]int{}, 0
	for rendezvous.First("limit/"+rs[0].ID, []string{oldAddr, gatewayAddr(0), gatewayAddr(1)}) != oldAddr {
		rs[0].ID += "x"
	}
	runCluster(t, 2, rs, func(_ *is.I, cl *testCluster) {
		cl.addPeerWithoutLimits(oldAddr)
		time.Sleep(time.Second)
		rs[0].AnnounceLimit("1.3")
		cl.sendPeriodically("/s/", 10*time.Millisecond, 4*time.Second)
		got = cl.sendPeriodically("/s/", 10*time.Millisecond, 8*time.Second)
		arrivals = rs[0].CountArrivals(time.Now().Add(-4*time.Second), time.Now())
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 800})
	check.Equal(arrivals, 0)
}

// addPeerWithoutLimits adds a fake gateway of a build without limits, which only announces itself.
func (cl *testCluster) addPeerWithoutLimits(addr string) {
	announce := &peers.Announcement{From: peers.Member{Name: addr, Addr: addr, Hall: "h1"}}
	var hs wire.Handlers
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, _ *peers.Announcement) { _ = s.SendLast(ctx, announce) })
	const interval = 200 * time.Millisecond
	cl.addOldProcess(addr, "h1", &hs, interval, func(ctx context.Context, c *wire.Conn) { _, _ = c.Call(ctx, announce) })
}

// Two halls are cut off from each other, and each has a limiter of its own. Together they must send
// no more than the limit allows, though they can't communicate.
func TestHallsThatAreCutOffShareALimit(t *testing.T) {
	const gateways = 6
	rs, got, arrivals := engines(4, 3), map[int]int{}, 0
	runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
		cl.hallCount = 2
		for i := range gateways {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(3 * time.Second)
		rs[0].AnnounceLimit("3")
		cl.sendPeriodically("/s/", 10*time.Millisecond, 4*time.Second)
		for i := range gateways {
			for j := range gateways {
				if cl.hallOf(i) != cl.hallOf(j) {
					cl.net.Stall(gatewayAddr(i), gatewayAddr(j), true)
				}
			}
		}
		cl.sendPeriodically("/s/", 10*time.Millisecond, 4*time.Second) // Each hall has detected the partition by then.
		got = cl.sendPeriodically("/s/", 10*time.Millisecond, 16*time.Second)
		arrivals = rs[0].CountArrivals(time.Now().Add(-16*time.Second), time.Now())
		for i := range gateways {
			for j := range gateways {
				cl.net.Stall(gatewayAddr(i), gatewayAddr(j), false)
			}
		}
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(got, map[int]int{200: 1600})
	check.True(arrivals >= 24 && arrivals <= 16*3+4) // Of 48, so both halls use their share.
}

// A gateway that has just started and can't reach the others would take itself for the limiter of
// every replica. It must grant itself no permits until it has tried to contact all gateways that
// it is configured to join.
func TestStartedGatewayGivesNoPermits(t *testing.T) {
	rs, received, firstStatus, laterStatus := plainReplicas(1), 0, 0, 0
	runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
		cl.join = []string{gatewayAddr(0), gatewayAddr(1)}
		cl.addGateway(0, cl.store)
		time.Sleep(3 * time.Second)
		rs[0].AnnounceLimit("30")
		cl.net.Stall(gatewayAddr(0), gatewayAddr(1), true)
		cl.addGateway(1, cl.store)
		time.Sleep(400 * time.Millisecond)
		firstStatus = cl.send(1, "GET", "/safe/", nil).status // The response states the limit.
		received = rs[0].RequestCount()
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			laterStatus = max(laterStatus, cl.send(1, "GET", "/safe/", nil).status)
		}
		received = rs[0].RequestCount() - received
		cl.net.Stall(gatewayAddr(0), gatewayAddr(1), false)
	})
	check := is.New(t)
	check.Equal(firstStatus, http.StatusOK)
	check.Equal(received, 0)
	check.Equal(laterStatus, http.StatusServiceUnavailable)
}

// The limiter of several replicas doesn't respond. Few requests may wait for it, and each only for
// a short time.
func TestSilentLimiter(t *testing.T) {
	const gateways, requests = 3, 40
	rs, waits := plainReplicas(6), 0
	runCluster(t, gateways, rs, func(_ *is.I, cl *testCluster) {
		for _, r := range rs {
			r.ID += "k"
			for limiterIndex(r, gateways) != 2 {
				r.ID += "k"
			}
			cl.store.Put("servers/"+r.ID, r.Record("ready"))
			r.AnnounceLimit("50")
		}
		for i := range rs {
			cl.store.Delete(fmt.Sprintf("servers/p%d", i))
		}
		time.Sleep(3 * time.Second)
		cl.gateways = cl.gateways[:1]
		cl.sendPeriodically("/safe/", 20*time.Millisecond, 2*time.Second)
		for i := range 2 {
			cl.net.Stall(gatewayAddr(2), gatewayAddr(i), true)
		}
		for range requests {
			began := time.Now()
			cl.send(0, "GET", "/safe/", nil)
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("a request took %v", took)
			} else if took >= 50*time.Millisecond {
				waits++
			}
			time.Sleep(20 * time.Millisecond)
		}
		for i := range 2 {
			cl.net.Stall(gatewayAddr(2), gatewayAddr(i), false)
		}
	})
	is.New(t).True(waits >= 1 && waits <= 5) // Requests within 0.8 s.
}

// A new gateway becomes the limiter of a replica and stops after a while, so that the former limiter
// takes over again. It must not grant permits that became free while the other one granted them.
func TestFormerLimiterBeginsAnew(t *testing.T) {
	const gateways = 3
	rs, received := plainReplicas(1), 0
	for limiterIndex(rs[0], gateways+1) != gateways {
		rs[0].ID += "x"
	}
	runCluster(t, gateways, rs, func(_ *is.I, cl *testCluster) {
		rs[0].AnnounceLimit("0.5")
		cl.sendPeriodically("/safe/", 50*time.Millisecond, 8*time.Second)
		cl.addGateway(gateways, cl.store)
		cl.sendPeriodically("/safe/", 50*time.Millisecond, 8*time.Second)
		last := len(cl.stops) - 1
		cl.stops[last]()
		cl.stops, cl.gateways = cl.stops[:last], cl.gateways[:gateways]
		time.Sleep(4 * time.Second) // The others have detected its end by then, and have requested no permits.
		received = rs[0].RequestCount()
		cl.sendPeriodically("/safe/", 10*time.Millisecond, 200*time.Millisecond)
		received = rs[0].RequestCount() - received
	})
	check := is.New(t)
	check.Equal(overLimit(rs), nil)
	check.Equal(received, 0)
}
