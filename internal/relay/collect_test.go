package relay_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// gatewaysCounting returns the number of gateways that count this many replicas at a version.
func (cl *testCluster) gatewaysCounting(version uint64, replicas int) (n int) {
	for _, g := range cl.gateways {
		if g.Status().Weights["llm"][version] == replicas {
			n++
		}
	}
	return n
}

// In a large hall, each agent reports to two gateways, which forward the reports to the others.
// All gateways must receive a change at once, also after one of the two is lost.
func TestGatewaysHearOfReplicasFromCollectors(t *testing.T) {
	const gateways, replicas = 60, 3
	runCluster(t, gateways, engines(replicas, 2), func(is *is.I, cl *testCluster) {
		var members []peers.Member
		for i := range gateways {
			members = append(members, peers.Member{Name: gatewayAddr(i), Addr: gatewayAddr(i), Hall: "h1"})
		}
		candidates, targets := peers.GatewaysFor("10.1.0.1:80", "h1", replicas, members)
		is.Equal(targets, 2)
		var version atomic.Uint64 // The version that all agents report.
		version.Store(2)
		var firstCollector int
		for i := range gateways {
			for position, g := range candidates[:targets] {
				if g.Addr != gatewayAddr(i) {
					continue
				}
				if position == 0 {
					firstCollector = i
				}
				cl.sendReports(i, func() (all []peers.Status) {
					for _, r := range cl.replicas {
						all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: version.Load(), Reached: true, Forward: true})
					}
					return all
				})
			}
		}
		time.Sleep(8 * time.Second) // Discovery among this many gateways takes some seconds.
		is.Equal(cl.gatewaysCounting(2, replicas), gateways)

		version.Store(3)
		time.Sleep(200 * time.Millisecond) // Agents report every 100 ms in this test.
		is.Equal(cl.gatewaysCounting(3, replicas), gateways)

		cl.stops[firstCollector]()
		version.Store(4)
		time.Sleep(200 * time.Millisecond)
		is.Equal(cl.gatewaysCounting(4, replicas), gateways-1)
	})
}

// The gateway that watches the platform pushes changes of its records to the hall. All gateways
// must have a change within a few milliseconds, and the traffic for it must not grow with the
// square of their number.
func TestChangeIsPassedOnInTheHall(t *testing.T) {
	const gateways, changes = 30, 10
	runCluster(t, gateways, plainReplicas(1), func(is *is.I, cl *testCluster) {
		cl.store.Put("servers/p0", cl.replicas[0].Record("ready")) // Ends the watches that were opened at the start.
		time.Sleep(5 * time.Second)
		before := cl.bytesSent()
		for i := range changes {
			cl.store.Put(fmt.Sprintf("servers/x%d", i), (&platformtest.Replica{ID: "x", Service: "api", Addr: "10.1.0.9:80", Hall: "h1"}).Record("ready"))
			time.Sleep(200 * time.Millisecond)
			if i == 0 {
				continue // The first push may still be in progress.
			}
			revision := cl.gateways[0].Status().Revision
			for _, g := range cl.gateways {
				is.Equal(g.Status().Revision, revision)
			}
		}
		perChange := (cl.bytesSent() - before) / gateways / changes
		cl.t.Logf("%d bytes for a change", perChange)
		is.True(perChange < 1100) // 690 bytes per change; 1,580 if each gateway announces it.
	})
}

// bytesSent returns the total bytes that the gateways have sent to one another.
func (cl *testCluster) bytesSent() int {
	total := 0
	for _, g := range cl.gateways {
		rec := httptest.NewRecorder()
		g.Metrics.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
		for line := range strings.Lines(rec.Body.String()) {
			if strings.HasPrefix(line, "poststand_bytes_total{") && strings.Contains(line, `what="sent"`) {
				var n float64
				if _, err := fmt.Sscanf(line[strings.LastIndex(line, " "):], "%g", &n); err != nil {
					cl.t.Fatal(err)
				}
				total += int(n)
			}
		}
	}
	return total
}
