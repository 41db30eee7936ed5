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

// resetAnswer sends the header of an answer of length bytes and the first part of its body, and resets the
// connection: when the gateway has read that and waits, or before it reads on.
func resetAnswer(x *platformtest.Exchange, f framing, contentType, part string, length int, waits bool) {
	x.RecordRun()
	head := "Content-Type: " + contentType + "\r\n"
	switch f {
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n"
		if part != "" { // An empty chunk would be the end.
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
	case byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	answer := x.Head(http.StatusOK, head+"\r\n") + part
	if !waits {
		_ = x.Conn.(interface{ WriteAndReset(b []byte) error }).WriteAndReset([]byte(answer))
		return
	}
	x.Printf("%s", answer)
	time.Sleep(10 * endArrives)
	reset(x)
}

// reset resets the connection of an exchange.
func reset(x *platformtest.Exchange) {
	_ = x.Conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
	_ = x.Conn.Close()
}

// An answer whose connection was reset, by a replica that goes on, reached its caller as whole.
func TestAnswerThatIsResetIsNotWhole(t *testing.T) {
	all := events(1, 6)
	for _, tc := range []struct {
		target, contentType, part, whole string
		length, runs                     int
	}{
		{"/safe/x", "text/plain", "answ", "answer of p", 12, 2},
		{"/unsafe/x", "text/plain", "answ", "", 12, 1},
		{"/s/x", "text/event-stream", events(1, 2), all, len(all), 2},
		{"/s/x", "text/event-stream", events(1, 2) + "id: 3\n", all, len(all), 2},
		{"/once/x", "text/event-stream", events(1, 2), "", len(all), 1},
	} {
		for i := range 2 * len(framings) {
			f, waits := framings[i/2], i%2 == 1
			t.Run(fmt.Sprintf("%s, %v, waits %t", tc.target, f, waits), func(t *testing.T) {
				rs := append(plainReplicas(3), engines(6, 6)[3:]...)
				var got reply
				runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
					cfg := streamRoutes()
					cfg["routes"] = append(cfg["routes"].([]platformtest.Body), config(1)["routes"].([]platformtest.Body)[1:]...)
					cl.store.Put("op/config", cfg)
					time.Sleep(time.Second)
					scriptRuns(rs, func(x *platformtest.Exchange) { resetAnswer(x, f, tc.contentType, tc.part, tc.length, waits) })
					got = cl.send(0, "POST", tc.target, nil)
				})
				is := is.New(t)
				is.Equal(countRuns(rs), tc.runs)
				is.Equal(got.status == http.StatusOK && !got.truncated, tc.whole != "")
				if tc.whole != "" {
					is.True(strings.HasPrefix(got.body, tc.whole))
				}
			})
		}
	}
}
