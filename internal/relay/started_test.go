package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/rendezvous"
)

// A gateway that starts may be the one that forwards changes in its hall, and must know all
// gateways there.
func TestStartedGatewayKnowsAllOthers(t *testing.T) {
	const gateways = 60
	known := 0
	runCluster(t, 0, plainReplicas(1), func(_ *is.I, cl *testCluster) {
		cl.startInThreeHalls(gateways)
		time.Sleep(8 * time.Second)
		cl.restart(40)
		time.Sleep(500 * time.Millisecond)
		known = len(cl.gateways[40].Status().Peers)
	})
	is.New(t).Equal(known, gateways)
}

// Changes reach every gateway within a bound that does not grow with their number, though the
// gateways that forward them in their halls have just restarted.
func TestChangesReachAllWhileGatewaysRestart(t *testing.T) {
	const gateways, restarts, bound = 70, 6, 500 * time.Millisecond
	var behind []int // How many gateways lack the change after each restart.
	runCluster(t, 0, plainReplicas(1), func(_ *is.I, cl *testCluster) {
		cl.startInThreeHalls(gateways)
		time.Sleep(8 * time.Second)
		for i := range restarts {
			cl.restart(cl.forwarder(i % 3))
			time.Sleep(400 * time.Millisecond)
			cl.store.Put("servers/p0", cl.replicas[0].Record("ready"))
			revision := cl.store.Revision()
			time.Sleep(bound)
			behind = append(behind, 0)
			for _, g := range cl.gateways {
				if g.Status().Revision < revision {
					behind[i]++
				}
			}
		}
	})
	is.New(t).Equal(behind, make([]int, restarts))
}

// A gateway that forwards changes in its hall may end, or be cut off, just when one comes.
func TestChangesReachAllThoughTheirForwarderIsLost(t *testing.T) {
	const gateways, bound = 40, 700 * time.Millisecond
	for _, tc := range []struct {
		name string
		lose func(cl *testCluster, i int)
	}{
		{"ends", func(cl *testCluster, i int) {
			cl.stops[i]()
			cl.stops[i] = func() {}
		}},
		{"is silent", func(cl *testCluster, i int) { cl.cutGateway(i, gateways, 2*bound) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			behind := 0
			runCluster(t, 0, plainReplicas(1), func(_ *is.I, cl *testCluster) {
				cl.startInThreeHalls(gateways)
				time.Sleep(8 * time.Second)
				lost := map[int]bool{}
				for hall := range 3 {
					if i := cl.forwarder(hall); !cl.gateways[i].Status().Watching {
						lost[i] = true
						tc.lose(cl, i)
					}
				}
				cl.store.Put("servers/p0", cl.replicas[0].Record("ready"))
				revision := cl.store.Revision()
				time.Sleep(bound)
				for i, g := range cl.gateways {
					if !lost[i] && g.Status().Revision < revision {
						behind++
					}
				}
				time.Sleep(5 * time.Second)
			})
			is.New(t).Equal(behind, 0)
		})
	}
}

// forwarder returns the gateway that forwards changes in a hall, numbered from 0.
func (cl *testCluster) forwarder(hall int) int {
	var addrs []string
	for i := hall; i < len(cl.gateways); i += 3 {
		addrs = append(addrs, gatewayAddr(i))
	}
	first := rendezvous.First("watch", addrs)
	for i := range cl.gateways {
		if gatewayAddr(i) == first {
			return i
		}
	}
	return -1
}

// After a restart of all gateways, some knew half of the others for one and a half seconds, two took
// themselves for the limiter of the same replica, and neither granted permits for it.
func TestGatewaysThatStartAtOnceKnowEachOther(t *testing.T) {
	const gateways, bound = 30, time.Second
	known := map[int]int{} // Gateways by the number of gateways that they know.
	runCluster(t, gateways, plainReplicas(1), func(_ *is.I, cl *testCluster) {
		for i := range gateways {
			cl.restart(i)
		}
		time.Sleep(bound)
		for _, g := range cl.gateways {
			known[len(g.Status().Peers)]++
		}
	})
	is.New(t).Equal(known, map[int]int{gateways: gateways})
}
