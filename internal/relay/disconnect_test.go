package relay_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that disconnects is told nothing, so that its next attempt is not an early retry.
func TestDisconnectedCallerIsNotExpectedToRetry(t *testing.T) {
	replicas := engines(1, 2)
	runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		var queued atomic.Int64
		queued.Store(busy)
		cl.reportLoad(0, &queued)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		cl.sendContext(ctx, 0, "POST", "/s/", nil)
		queued.Store(0)
		time.Sleep(200 * time.Millisecond)
		is.Equal(cl.send(0, "POST", "/s/", nil).status, http.StatusOK)
		is.Equal(cl.metric(0, `poststand_events_total{event="expected_retry"`), 0.0)
	})
}
