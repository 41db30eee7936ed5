package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// endArrives is when the end of a connection has arrived at the gateway.
const endArrives = time.Millisecond

// unframed is an answer with neither length nor chunks, which ends with its connection.
type unframed struct {
	name    string
	target  string
	sent    string // What the first replica sends.
	crashes bool   // The first replica crashes then. Others send the whole answer.
	whole   string // The whole answer.
	runs    int    // Of the request, at all replicas.
	status  int    // Status that the caller gets, if it gets no whole answer.
}

// play answers a request.
func (u *unframed) play(c *crashInjector, x *platformtest.Exchange, first bool) {
	contentType := "text/plain"
	if strings.HasPrefix(u.target, "/s/") {
		contentType = "text/event-stream"
	}
	x.RecordRun()
	x.Printf("%s", x.Head(http.StatusOK, "Content-Type: "+contentType+"\r\n\r\n"))
	if !first {
		rest := u.whole
		if id := x.Request.Header.Get("Last-Event-Id"); id != "" {
			_, rest, _ = strings.Cut(u.whole, "id: "+id+"\n")
			_, rest, _ = strings.Cut(rest, "\n\n")
		}
		x.Printf("%s", rest)
		_ = x.Conn.Close()
		return
	}
	x.Printf("%s", u.sent)
	if u.crashes {
		c.cl.net.Refuse(x.Replica.Addr)
	}
	_ = x.Conn.Close()
	if u.crashes {
		time.Sleep(2 * endArrives)
		c.crash(x.Replica)
	}
}

// The end of a replica looks like the end of an answer that ends with its connection: callers got
// the first half of such answers as whole ones.
func TestAnswerThatEndsWithItsReplicaIsNotWhole(t *testing.T) {
	all := events(1, 3)
	cases := []unframed{
		{name: "stream, after the header", target: "/s/x", sent: "", crashes: true, whole: all, runs: 2},
		{name: "stream, between two events", target: "/s/x", sent: events(1, 1), crashes: true, whole: all, runs: 2},
		{name: "stream, inside an event", target: "/s/x", sent: events(1, 1) + "id: 2\nda", crashes: true, whole: all, runs: 2},
		{name: "stream without events, replica goes on", target: "/s/x", sent: "", whole: all, runs: 2},
		{name: "stream, whole", target: "/s/x", sent: all, whole: all, runs: 1},
		{name: "safe, half", target: "/safe/x", sent: "bo", crashes: true, whole: "body", runs: 2},
		{name: "safe, whole", target: "/safe/x", sent: "body", whole: "body", runs: 1},
		{name: "unsafe, half", target: "/unsafe/x", sent: "bo", crashes: true, whole: "body", runs: 1, status: http.StatusBadGateway},
		{name: "unsafe, whole", target: "/unsafe/x", sent: "body", whole: "body", runs: 1},
	}
	for _, u := range cases {
		t.Run(u.name, func(t *testing.T) {
			replicas := append(plainReplicas(3), engines(6, 1)[3:]...)
			runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
				c := cl.injectCrashes()
				isFirst := make(chan bool, 1)
				isFirst <- true
				for _, r := range replicas {
					r.Handle = func(_ int, x *platformtest.Exchange) bool {
						first := false
						select {
						case first = <-isFirst:
						default:
						}
						u.play(c, x, first)
						return true
					}
				}
				got := cl.send(0, "POST", u.target, nil)
				runs := 0
				for _, r := range cl.allReplicas() {
					runs += len(r.Runs())
				}
				if runs != u.runs {
					t.Errorf("ran %d times, want %d", runs, u.runs)
				}
				switch {
				case u.status != 0 && got.status != u.status:
					t.Errorf("status %d, want %d", got.status, u.status)
				case u.status == 0 && (got.status != http.StatusOK || got.truncated || got.body != u.whole):
					t.Errorf("status %d, truncated %t, body %q, want %q", got.status, got.truncated, got.body, u.whole)
				}
			})
		})
	}
}
