package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// A request of the least urgent of many ranks must not wait or be refused while replicas have free
// slots and nothing queued: its allowed wait is shorter than a step of a running batch.
func TestLeastUrgentRequestsAreSentWhileThereIsRoom(t *testing.T) {
	runCluster(t, 0, engines(3, 1), func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		cl.agentPort = testAgentPort
		running := peers.LoadAnswer{Version: 1, Pace: 1, Running: 2, Reached: true}
		cl.startLoadAgents([]*loadAgent{{answer: running}, {answer: running}, {answer: running}})
		var routes []platformtest.Body
		const ranks = 6
		for rank := range ranks {
			routes = append(routes, platformtest.Route(fmt.Sprint("r", rank), fmt.Sprintf("/r%d/", rank), "stream", "llm", platformtest.Body{"priority": rank}))
		}
		cl.store.Put("op/config", platformtest.Config(2, routes...))
		for i := range 13 {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(5 * time.Second)
		for range 5 {
			is.Equal(cl.send(5, http.MethodPost, fmt.Sprintf("/r%d/", ranks-1), nil).status, http.StatusOK)
		}
		is.Equal(cl.metric(5, `poststand_events_total{event="request_waited"`), 0.0)
	})
}
