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

// holding counts the gateways that believe of so many engines that they hold a version.
func (w *world) holding(version uint64, engines int) (n int) {
	for _, g := range w.gateways {
		if g.Status().Weights["llm"][version] == engines {
			n++
		}
	}
	return n
}

// Many gateways of a hall hear of each replica though its agent tells only two of them;
// what changes is known to all at once, and goes on being known when one of the two is
// lost.
func TestGatewaysHearOfReplicasFromCollectors(t *testing.T) {
	const gateways, replicas = 60, 3
	run(t, gateways, engines(replicas, 2), func(is *is.I, w *world) {
		var all []peers.Member
		for i := range gateways {
			all = append(all, peers.Member{Name: gatewayAddr(i), Addr: gatewayAddr(i), Hall: "h1"})
		}
		known, tell := peers.GatewaysFor("10.1.0.1:80", "h1", replicas, all)
		is.Equal(tell, 2)
		var version atomic.Uint64 // That all agents tell of.
		version.Store(2)
		var first int
		for i := range gateways {
			for place, g := range known[:tell] {
				if g.Addr != gatewayAddr(i) {
					continue
				}
				if place == 0 {
					first = i
				}
				w.tell(i, func() (all []peers.Status) {
					for _, r := range w.replicas {
						all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: version.Load(), Reached: true, Forward: true})
					}
					return all
				})
			}
		}
		time.Sleep(8 * time.Second) // So many find one another in some seconds.
		is.Equal(w.holding(2, replicas), gateways)

		version.Store(3)
		time.Sleep(200 * time.Millisecond) // Agents tell each 100 ms here.
		is.Equal(w.holding(3, replicas), gateways)

		w.stops[first]()
		version.Store(4)
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.holding(4, replicas), gateways-1)
	})
}

// A change of the platform's records is passed on within a hall by the gateway that
// watches: all have it within a few milliseconds, and what gateways say to one another
// for it does not grow as the square of their number.
func TestChangeIsPassedOnInTheHall(t *testing.T) {
	const gateways, changes = 30, 10
	run(t, gateways, plain(1), func(is *is.I, w *world) {
		w.store.Put("servers/p0", w.replicas[0].Record("ready")) // Ends the watches of the start.
		time.Sleep(5 * time.Second)
		before := w.sent()
		for i := range changes {
			w.store.Put(fmt.Sprintf("servers/x%d", i), (&platformtest.Replica{ID: "x", Service: "api", Addr: "10.1.0.9:80", Hall: "h1"}).Record("ready"))
			time.Sleep(200 * time.Millisecond)
			if i == 0 {
				continue // What was passed on last is not known before.
			}
			at := w.gateways[0].Status().Revision
			for _, g := range w.gateways {
				is.Equal(g.Status().Revision, at)
			}
		}
		each := (w.sent() - before) / gateways / changes
		w.t.Logf("%d bytes for a change", each)
		is.True(each < 1100) // Bytes for a change; 690, and 1,580 where each gateway announces it.
	})
}

// sent returns the bytes that all gateways have sent to one another.
func (w *world) sent() int {
	total := 0
	for _, g := range w.gateways {
		rec := httptest.NewRecorder()
		g.Metrics.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
		for line := range strings.Lines(rec.Body.String()) {
			if strings.HasPrefix(line, "poststand_bytes_total{") && strings.Contains(line, `what="sent"`) {
				var n float64
				if _, err := fmt.Sscanf(line[strings.LastIndex(line, " "):], "%g", &n); err != nil {
					w.t.Fatal(err)
				}
				total += int(n)
			}
		}
	}
	return total
}
