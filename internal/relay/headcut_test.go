package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// cutsAround returns where a text is cut: before, in and after each line end, and amid each line.
func cutsAround(text string) (at []int) {
	begin := 0
	for i, line := range strings.SplitAfter(text, "\r\n") {
		end := begin + len(line)
		for _, n := range []int{begin + len(line)/2, end - 3, end - 2, end - 1, end} {
			if n > 0 && n < len(text) && (len(at) == 0 || n > at[len(at)-1]) {
				at = append(at, n)
			}
		}
		if i == 0 {
			at = append([]int{0}, at...)
		}
		begin = end
	}
	return at
}

// An answer whose replica stopped amid its head and closed, or reset the connection, reached its caller as whole and empty.
func TestHeadThatIsCutIsNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name, target, before, header string
		runs                         int
	}{
		{"length", "/safe/x", "", "Content-Type: text/plain\r\nContent-Length: 12\r\n", 2},
		{"no length", "/safe/x", "", "Content-Type: text/plain\r\n", 2},
		{"may run once", "/unsafe/x", "", "Content-Type: text/plain\r\nContent-Length: 12\r\n", 1},
		{"after an interim answer", "/safe/x", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "Content-Length: 12\r\n", 2},
		{"after two", "/unsafe/x", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", "Content-Length: 12\r\n", 1},
		{"after a stray answer", "/safe/x", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Signature: s\r\nContent-Length: 2\r\n\r\nno", "Content-Length: 12\r\n", 2},
		{"stream", "/s/x", "", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", 2},
		{"stream without chunks", "/once/x", "", "Content-Type: text/event-stream\r\n", 1},
	} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", tc.name, resets), func(t *testing.T) {
				check := is.NewRelaxed(t)
				for cut, last := 0, 1; cut < last; cut++ {
					rs := append(plainReplicas(3), engines(6, 6)[3:]...)
					var got reply
					at := 0
					runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
						cfg := streamRoutes()
						cfg["routes"] = append(cfg["routes"].([]platformtest.Body), config(1)["routes"].([]platformtest.Body)[1:]...)
						cl.store.Put("op/config", cfg)
						time.Sleep(time.Second)
						scriptRuns(rs, func(x *platformtest.Exchange) {
							x.RecordRun()
							head := tc.before + x.Head(http.StatusOK, tc.header+"\r\n")
							cuts := cutsAround(head)
							at, last = cuts[cut], len(cuts)
							x.Printf("%s", head[:at])
							time.Sleep(10 * endArrives)
							if resets {
								reset(x)
								return
							}
							_ = x.Conn.Close()
						})
						got = cl.send(0, "POST", tc.target, nil)
					})
					check.Equal(countRuns(rs), tc.runs)
					whole := got.status == http.StatusOK && !got.truncated
					check.Equal(whole, tc.runs > 1) // A request that may run again is served by another replica.
					if whole && got.body == "" {
						t.Errorf("empty and whole after %d bytes", at)
					}
				}
			})
		}
	}
}
