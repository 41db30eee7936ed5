package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// reportVersion starts agents that report to a gateway that all replicas hold a version.
func (cl *testCluster) reportVersion(gateway int, version uint64) {
	cl.sendReports(gateway, func() (all []peers.Status) {
		for _, r := range cl.replicas {
			all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: version, Reached: true})
		}
		return all
	})
}

// The platform's record holds only the latest change of the target version. A gateway that
// starts after two changes must receive the earlier one from the other gateways too: the
// deadline of a version that both changes supersede counts from the first. Gateways that were
// killed 0.2 s after a second change logged steps=1 after their restart, where the others logged
// steps=2, and their agents were assigned one step too.
func TestStartedGatewayKnowsOfTheNamingBeforeTheLast(t *testing.T) {
	const interval, startDelay, afterDeadline = 2500 * time.Millisecond, 200 * time.Millisecond, 8200 * time.Millisecond
	runCluster(t, 1, engines(2, 2), func(is *is.I, cl *testCluster) {
		supersededAt := time.Now()
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
		time.Sleep(interval)
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 3})
		time.Sleep(startDelay)
		cl.addGateway(1, cl.store)
		for i := range cl.gateways {
			cl.reportVersion(i, 1)
		}
		time.Sleep(time.Until(supersededAt.Add(5 * time.Second)))
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusOK)
		is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
		time.Sleep(time.Until(supersededAt.Add(afterDeadline)))
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusServiceUnavailable)
		is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusServiceUnavailable) // The deadline does not count from the second change.
	})
}
