package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// resetAnswer sends the first part of a body and resets the connection after a pause.
func resetAnswer(x *platformtest.Exchange, f platformtest.Framing, contentType, part string, length int, pause time.Duration) {
	x.RecordRun()
	x.Printf("%s%s", x.Head(http.StatusOK, "Content-Type: "+contentType+"\r\n"+f.Header(length)+"\r\n"), f.Frame(part))
	time.Sleep(pause)
	_ = x.Conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
	_ = x.Conn.Close()
}

// An answer whose connection was reset, by a replica that goes on, reached its caller as whole.
func TestAnswerThatIsResetIsNotWhole(t *testing.T) {
	t.Parallel()
	const eventCount, soundPerReset = 6, 10
	const earnsRetries = 12 * time.Second // A process that knows nothing of its box earns its retries.
	w := newWorld(t, 1, platformtest.Config(
		1,
		platformtest.Route("s", "/s/", "stream", "llm", platformtest.Body{"attempts": 3}),
		platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false}),
		platformtest.Route("safe", "/safe/", "safe", "api", nil),
		platformtest.Route("unsafe", "/unsafe/", "unsafe", "api", nil),
	))
	const body = "answer of p0"
	resets := make(chan func(x *platformtest.Exchange), 1) // Played by the replica that takes it.
	for i := range 3 {
		plain := &platformtest.Replica{ID: fmt.Sprintf("p%d", i), Service: "api", Hall: "h1"}
		model := &platformtest.Replica{ID: fmt.Sprintf("e%d", i), Service: "llm", Hall: "h1", Version: 1, Events: eventCount, EventInterval: time.Millisecond}
		for _, r := range []*platformtest.Replica{plain, model} {
			r.Handle = func(_ int, x *platformtest.Exchange) bool {
				select {
				case reset := <-resets:
					reset(x)
					return true
				default:
					return false
				}
			}
			w.addLateReplica(r, 0)
		}
	}
	w.awaitReady()
	c := &caller{addr: w.gateways[0].callers()}
	time.Sleep(earnsRetries)
	all := events(1, eventCount)
	for _, tc := range []struct {
		target, contentType, part, whole string
	}{
		{"/safe/", "text/plain", body[:6], body},
		{"/unsafe/", "text/plain", body[:6], body},
		{"/unsafe/", "text/plain", "", body},
		{"/s/", "text/event-stream", events(1, 2), all},
		{"/s/", "text/event-stream", events(1, 2) + "id: 3\nda", all},
		{"/once/", "text/event-stream", events(1, 2), all},
	} {
		for _, f := range platformtest.Framings {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s%q, %s, %v", tc.target, tc.part, f, pause), func(t *testing.T) {
					is := is.New(t)
					for range soundPerReset {
						is.Equal(c.send("a1", tc.target, 3*time.Second).status, http.StatusOK)
					}
					resets <- func(x *platformtest.Exchange) { resetAnswer(x, f, tc.contentType, tc.part, len(tc.whole), pause) }
					got := c.send("a1", tc.target, 3*time.Second)
					t.Log(got, w.gateways[0].lines("answer_broken"))
					is.Equal(len(resets), 0)
					mayRepeat := tc.target == "/safe/" || tc.target == "/s/"
					is.Equal(got.status == http.StatusOK && got.err == nil, mayRepeat)
					if mayRepeat {
						is.True(got.body == tc.whole || strings.HasPrefix(got.body, "answer of p"))
						is.True(len(got.body) == len(tc.whole))
					}
				})
			}
		}
	}
}
