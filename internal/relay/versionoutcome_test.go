package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// tokenCount makes the whole answer of a request take about 0.6 s by the configuration's engine.
var tokenCount = map[string]string{"X-Token-Count": "100,60"}

// runOnceCluster runs a test on a cluster with one gateway and a route to the model's replicas for plain
// requests that may run once only.
func runOnceCluster(t *testing.T, rs []*platformtest.Replica, test func(cl *testCluster)) {
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", platformtest.Config(
			2, platformtest.Route("once", "/once/", "unsafe", "llm", nil), platformtest.Route("s", "/s/", "stream", "llm", nil),
		))
		cl.startAgents(actualVersion)
		test(cl)
	})
}

// supersede makes version 2 the target and waits until some time before the deadline of version 1.
func (cl *testCluster) supersede(before time.Duration) {
	cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
	time.Sleep(versionWithin - before)
}

// A plain answer has no data until it is complete. One that a replica is working on at the deadline of
// its version was cut, and the caller got a 502 for a request that had run.
func TestPlainAnswerInProgressIsNotCutAtTheVersionDeadline(t *testing.T) {
	var got reply
	r := engines(1, 0)[0]
	r.Handle = func(_ int, x *platformtest.Exchange) bool {
		x.RecordRun()
		time.Sleep(900 * time.Millisecond)
		return false
	}
	runOnceCluster(t, []*platformtest.Replica{r}, func(cl *testCluster) {
		cl.supersede(1400 * time.Millisecond) // The answer ends after gateways give up requests without data.
		got = cl.send(0, "POST", "/once/", tokenCount)
	})
	is.New(t).Equal(got.status, http.StatusOK)
}

// A request that may run once only was given up while its replica could still say that it had not run:
// its caller got a 502 and could not repeat it.
func TestRequestDroppedAtTheVersionDeadlineIsRefused(t *testing.T) {
	check := is.New(t)
	var got reply
	r := singleSlotEngine()
	runOnceCluster(t, []*platformtest.Replica{r}, func(cl *testCluster) {
		cl.supersede(1600 * time.Millisecond)
		go cl.send(0, "POST", "/s/", map[string]string{"X-Attempt-Id": "first"}) // It takes the slot for two seconds.
		time.Sleep(100 * time.Millisecond)
		got = cl.send(0, "POST", "/once/", tokenCount)
	})
	check.Equal(len(r.Runs()), 1)
	check.Equal(got.status, http.StatusServiceUnavailable)
}

// A request that must end by the deadline of its replica's version must not begin on the next version:
// the replica would cut it.
func TestRequestThatMustEndByTheVersionDeadlineExpectsThatVersion(t *testing.T) {
	expected := ""
	r := engines(1, 0)[0]
	r.Handle = func(_ int, x *platformtest.Exchange) bool {
		expected = x.Request.Header.Get("X-Expect-Version")
		return false
	}
	runOnceCluster(t, []*platformtest.Replica{r}, func(cl *testCluster) {
		cl.supersede(5 * time.Second)
		cl.send(0, "POST", "/once/", tokenCount)
	})
	is.New(t).Equal(expected, "1")
}

// A request whose answer can't be complete by the deadline of the only version is refused at once.
func TestRequestThatWouldOutlastTheVersionIsNotSent(t *testing.T) {
	check := is.New(t)
	var got reply
	r := engines(1, 0)[0]
	runOnceCluster(t, []*platformtest.Replica{r}, func(cl *testCluster) {
		cl.supersede(1400 * time.Millisecond)
		got = cl.send(0, "POST", "/once/", map[string]string{"X-Token-Count": "100,200"})
	})
	check.Equal(r.RequestCount(), 0)
	check.Equal(got.status, http.StatusServiceUnavailable)
}
