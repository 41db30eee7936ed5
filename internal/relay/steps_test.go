package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// tellVersion has the agents of all replicas tell a gateway that they hold a version.
func (w *world) tellVersion(gateway int, version uint64) {
	w.tell(gateway, func() (all []peers.Status) {
		for _, r := range w.replicas {
			all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: version, Reached: true})
		}
		return all
	})
}

// A gateway that starts after two namings learns from the others when the second one was
// made, and nothing of the first: the platform's record is of the newest alone. The time
// of what both overtook runs from the first naming all the same. Where gateways were killed
// 0.2 s after a second naming, they logged steps=1 as they came back, those that lived on
// steps=2, and the agents that asked them were assigned one step too.
func TestStartedGatewayKnowsOfTheNamingBeforeTheLast(t *testing.T) {
	const apart, started, overdue = 2500 * time.Millisecond, 200 * time.Millisecond, 8200 * time.Millisecond
	run(t, 1, engines(2, 2), func(is *is.I, w *world) {
		named := time.Now()
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(apart)
		w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 3})
		time.Sleep(started)
		w.addGateway(1, w.store)
		for i := range w.gateways {
			w.tellVersion(i, 1)
		}
		time.Sleep(time.Until(named.Add(5 * time.Second)))
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusOK)
		is.Equal(w.ask(1, "POST", "/s/", nil).status, http.StatusOK)
		time.Sleep(time.Until(named.Add(overdue)))
		is.Equal(w.ask(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(w.ask(1, "POST", "/s/", nil).status, http.StatusServiceUnavailable) // Not by the time of the second naming.
	})
}
