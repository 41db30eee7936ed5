package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A replica ends within an answer that has neither a length nor chunks, and is back before the gateway sees
// the end: the new process accepted a connection, and the answer counted as whole.
func TestUnframedAnswerOfAReplacedReplicaIsNotWhole(t *testing.T) {
	const (
		born  = 1_700_000_000_000
		stall = 600 * time.Millisecond // From the last bytes until the gateway sees the end.
		never = -1
		late  = 100 * time.Millisecond // From the end until the list shows the new process.
	)
	for _, tc := range []struct {
		name, target, sent string
		listed             time.Duration // Until the list shows the new process, from the end; never if it is the same one.
		whole              string        // What the caller gets, if it gets a whole answer.
		runs               int
	}{
		{"stream, listed", "/s/x", events(1, 2), -stall / 2, events(1, 6), 2},
		{"stream, not yet listed", "/s/x", events(1, 2), time.Second, events(1, 6), 2},
		{"stream, all events", "/s/x", events(1, 6), never, events(1, 6), 2},
		{"stream that can't go on, listed late", "/once/x", events(1, 2), late, "", 1},
		{"stream that can't go on, same process", "/once/x", events(1, 6), never, events(1, 6), 1},
		{"unsafe, listed", "/unsafe/x", "bo", -stall / 2, "", 1},
		{"unsafe, listed late", "/unsafe/x", "bo", late, "", 1},
		{"unsafe, same process", "/unsafe/x", "body", never, "body", 1},
		{"safe, listed late", "/safe/x", "bo", late, "answer of p", 2},
		{"safe, same process", "/safe/x", "body", never, "body", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := append(plainReplicas(3), engines(6, 6)[3:]...)
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				list := func(r *platformtest.Replica, born int64) {
					rec := r.Record("ready")
					rec["born"] = born
					cl.store.Put("servers/"+r.ID, rec)
				}
				for _, r := range rs {
					list(r, born)
				}
				cfg := streamRoutes()
				cfg["routes"] = append(cfg["routes"].([]platformtest.Body), config(1)["routes"].([]platformtest.Body)[1:]...)
				cl.store.Put("op/config", cfg)
				time.Sleep(time.Second)
				scriptRuns(rs, func(x *platformtest.Exchange) {
					x.RecordRun()
					x.Printf("%s%s", x.Head(http.StatusOK, "Content-Type: text/plain\r\n\r\n"), tc.sent)
					if tc.listed != never {
						time.AfterFunc(stall+tc.listed, func() { list(x.Replica, born+1) })
					}
					time.Sleep(stall)
					_ = x.Conn.Close()
				})
				got := cl.send(0, "POST", tc.target, nil)
				if runs := countRuns(rs); runs != tc.runs {
					t.Errorf("ran %d times, want %d", runs, tc.runs)
				}
				complete := got.status == http.StatusOK && !got.truncated
				switch {
				case complete != (tc.whole != ""):
					t.Errorf("status %d, truncated %t, body %q", got.status, got.truncated, got.body)
				case complete && !strings.HasPrefix(got.body, tc.whole):
					t.Errorf("body %q, want %q", got.body, tc.whole)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}
