package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// A change of the target version that the backup lacks counts from when it was made, whether it is
// made again or not. This holds for gateways that received it and for one that starts meanwhile.
func TestVersionChangeMissingFromTheBackupKeepsItsTime(t *testing.T) {
	const beforeDeadline, afterDeadline = 5 * time.Second, 8200 * time.Millisecond
	setTarget := func(cl *testCluster) {
		cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
	}
	cases := []struct {
		name  string
		after func(cl *testCluster)
	}{
		{"not set again", func(*testCluster) {}},
		{"set again soon", setTarget},
		{"set again late", func(cl *testCluster) { time.AfterFunc(4*time.Second, func() { setTarget(cl) }) }},
		{"a newer version is set", func(cl *testCluster) {
			time.AfterFunc(time.Second, func() { cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 3}) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			var before, after []int
			runInHalls(t, engines(2, 2), func(cl *testCluster) {
				var supersededAt time.Time
				cl.restoreWithout(func() {
					supersededAt = time.Now()
					setTarget(cl)
				})
				c.after(cl)
				time.Sleep(time.Second)
				cl.addGateway(6, cl.storeFor(6))
				for i := range cl.gateways {
					cl.reportVersion(i, 1)
				}
				sendToAll := func() (out []int) {
					for i := range cl.gateways {
						out = append(out, cl.send(i, "POST", "/s/", nil).status)
					}
					return out
				}
				time.Sleep(time.Until(supersededAt.Add(beforeDeadline)))
				before = sendToAll()
				time.Sleep(time.Until(supersededAt.Add(afterDeadline)))
				after = sendToAll()
			})
			for i := range before {
				check.Equal(before[i], http.StatusOK)
				check.Equal(after[i], http.StatusServiceUnavailable)
			}
		})
	}
}
