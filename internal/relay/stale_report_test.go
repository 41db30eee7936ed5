package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A report that was delayed in a socket counts from when it is read. So a replica that has
// restarted at the same address with the older version may still count as holding the newer
// one. A stream that can't be resumed is sent there shortly before the deadline of the older
// version and is queued. It must not start on the older version.
func TestStreamForTheNewerVersionDoesNotBeginOnTheOlder(t *testing.T) {
	check := is.New(t)
	rs := []*platformtest.Replica{singleSlotEngine()}
	late := []string(nil)
	once := platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false})
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", platformtest.Config(2, once))
		cl.startAgents(func(*platformtest.Replica) uint64 { return 2 })
		supersededAt := cl.queueBeforeDeadline("/once/", nil)
		time.Sleep(versionWithin)
		late = startedLate(rs, supersededAt)
	})
	check.Equal(late, nil)
}
