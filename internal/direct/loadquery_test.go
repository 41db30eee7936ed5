package direct_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// addGateways starts further gateways in each hall, before the load begins.
func (w *world) addGateways(perHall int) {
	for h := range halls {
		for i := range perHall {
			g := &gateway{addr: fmt.Sprintf("10.%d.1.%d:1", h, gatewaysPerHall+i+1), hall: fmt.Sprintf("h%d", h)}
			w.gateways = append(w.gateways, g)
			w.startGateway(g)
		}
	}
}

// countEvents returns how often an event of the metrics occurred at all gateways.
func (w *world) countEvents(name string) int {
	total := 0
	for _, g := range w.gateways {
		rec := httptest.NewRecorder()
		g.relay.Metrics.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
		for line := range strings.Lines(rec.Body.String()) {
			if strings.HasPrefix(line, `poststand_events_total{event="`+name+`"`) {
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

// Where there are many gateways they choose by what agents answer, also while replicas change their
// version and transfers share the links: no request may start on a version past its time, and
// nearly all queries must be answered.
func TestManyGatewaysQueryAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		w.addGateways(3)
		var counts answerCounts
		time.AfterFunc(4*time.Second, func() { w.generateLoad(0.6, &counts) })
		time.Sleep(8 * time.Second)
		check.True(w.countEvents("load_query") > 100)
		check.Equal(w.countEvents("load_query_failed"), 0)
		w.setTarget(2)
		time.Sleep(10 * time.Second)
		queries, failed := w.countEvents("load_query"), w.countEvents("load_query_failed")
		t.Logf("%d queries, %d failed, %d requests answered", queries, failed, counts.complete.Load())
		w.close()
		check.Equal(w.checker.violations, nil)
		check.True(failed < queries/20)
		check.True(counts.complete.Load() > 100)
	})
}
