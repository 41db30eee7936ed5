package relay_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// Times of requests that are queued near the deadline of a superseded version.
const (
	versionWithin          = 8 * time.Second // As set in addGateway.
	lastSendBeforeDeadline = 1700 * time.Millisecond
	sendInterval           = 200 * time.Millisecond
)

// singleSlotEngine returns a replica that runs one stream at a time, each for two seconds.
func singleSlotEngine() *platformtest.Replica {
	r := engines(1, 40)[0]
	r.Slots = 1
	return r
}

// startAgents starts agents that report the replicas to all gateways, with the versions that
// reportedVersion returns.
func (cl *testCluster) startAgents(reportedVersion func(r *platformtest.Replica) uint64) {
	for i := range cl.gateways {
		cl.sendReports(i, func() (all []peers.Status) {
			for _, r := range cl.replicas {
				all = append(all, peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: reportedVersion(r), Reached: true})
			}
			return all
		})
	}
	time.Sleep(500 * time.Millisecond)
}

func actualVersion(r *platformtest.Replica) uint64 { return r.Version }

// queueBeforeDeadline makes version 2 the target and sends two streams, with additional headers,
// shortly before the deadline of version 1: the first takes the replica's slot, and the second is
// queued. It returns when version 1 was superseded.
func (cl *testCluster) queueBeforeDeadline(target string, header map[string]string) time.Time {
	supersededAt := time.Now()
	cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
	time.Sleep(versionWithin - lastSendBeforeDeadline - sendInterval)
	for _, id := range []string{"first", "second"} {
		h := map[string]string{"X-Attempt-Id": id}
		maps.Copy(h, header)
		go cl.sendContext(context.Background(), 0, "POST", target, h)
		time.Sleep(sendInterval)
	}
	return supersededAt
}

// startedLate returns the IDs of requests that started on version 1 after its deadline.
func startedLate(rs []*platformtest.Replica, supersededAt time.Time) (ids []string) {
	for _, r := range rs {
		for _, run := range r.Runs() {
			if run.Version == 1 && run.StartedAt.Sub(supersededAt) > versionWithin {
				ids = append(ids, run.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// runPastDeadline runs queueBeforeDeadline and then afterSend on a cluster with one replica. It
// returns how many requests the replica received, and the IDs of those that started late.
func runPastDeadline(t *testing.T, r *platformtest.Replica, reportedVersion func(r *platformtest.Replica) uint64, target string, afterSend func(cl *testCluster)) (received int, late []string) {
	rs := []*platformtest.Replica{r}
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.startAgents(reportedVersion)
		supersededAt := cl.queueBeforeDeadline(target, nil)
		afterSend(cl)
		time.Sleep(versionWithin)
		received, late = r.RequestCount(), startedLate(rs, supersededAt)
	})
	return received, late
}

func noop(*testCluster) {}

// A request that is still queued at its replica at the deadline of the version there is
// cancelled. It does not start if the replica notices that.
func TestQueuedRequestIsCancelledAtTheVersionDeadline(t *testing.T) {
	is := is.New(t)
	r := singleSlotEngine()
	received, late := runPastDeadline(t, r, actualVersion, "/s/", noop)
	is.Equal(received, 2)
	is.Equal(len(r.Runs()), 1)
	is.Equal(len(late), 0)
}

// A queued request must not start late either if the replica does not notice the cancellation
// or ignores it.
func TestQueuedRequestThatIsNotDroppedDoesNotBeginLate(t *testing.T) {
	for _, tc := range []struct {
		name              string
		ignoresDisconnect bool
		afterSend         func(cl *testCluster)
	}{
		{"connection is silent", false, func(cl *testCluster) { cl.net.Silence(nil) }},
		{"replica ignores the cancellation", true, noop}, // Most replicas drop cancelled requests, but not all.
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := singleSlotEngine()
			r.IgnoresDisconnect = tc.ignoresDisconnect
			received, late := runPastDeadline(t, r, actualVersion, "/s/", tc.afterSend)
			is.Equal(received, 2)
			is.Equal(late, nil)
		})
	}
}

// A stream that can't be resumed remains queued at its replica until its own deadline, whatever
// happens to the version there meanwhile. It must not start after the deadline of the version.
func TestQueuedStreamThatCannotBeRepeatedDoesNotBeginLate(t *testing.T) {
	check := is.New(t)
	rs := []*platformtest.Replica{singleSlotEngine()}
	received, late := 0, []string(nil)
	once := platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false})
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", platformtest.Config(2, once))
		cl.startAgents(actualVersion)
		supersededAt := cl.queueBeforeDeadline("/once/", tokenCount) // They take longer than that.
		time.Sleep(versionWithin)
		received, late = rs[0].RequestCount(), startedLate(rs, supersededAt)
	})
	check.Equal(received, 2)
	check.Equal(late, nil)
}
