package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A report may lie in a socket, and counts as of when it is read: a replica that came back
// at the same address with the older version is believed to hold the newer one for a
// while. A stream that may not be resumed is sent on that belief shortly before the end,
// and waits there: it must not begin on the older version.
func TestStreamForTheNewerVersionDoesNotBeginOnTheOlder(t *testing.T) {
	check := is.New(t)
	rs := []*platformtest.Replica{oneSlot()}
	late := []string(nil)
	once := platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false})
	run(t, 1, rs, func(_ *is.I, w *world) {
		w.store.Put("op/config", platformtest.Config(2, once))
		w.agents(func(*platformtest.Replica) uint64 { return 2 })
		named := w.queueBeforeTheEnd("/once/")
		time.Sleep(versionWithin)
		late = beganLate(rs, named)
	})
	check.Equal(late, nil)
}
