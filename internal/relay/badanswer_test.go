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

// A faulty replica sends a second refusal, without an ID, in the place of the next answer on its
// connection. The next request is running, and must neither be sent elsewhere nor be told not to run.
func TestSurplusRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	const requests = 60
	rs, got := plainReplicas(3), map[int]int{}
	for _, r := range rs {
		surplus := map[any]bool{} // Connections on which a surplus refusal is due.
		r.Handle = func(n int, x *platformtest.Exchange) bool {
			if surplus[x.Conn] {
				x.Printf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				delete(surplus, x.Conn)
			}
			if n%4 != 3 {
				return false
			}
			x.Reject("")
			surplus[x.Conn] = true
			return true
		}
	}
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		for i := range requests {
			got[cl.send(0, "POST", "/unsafe/x", map[string]string{"X-Attempt-Id": fmt.Sprint("u", i)}).status]++
			time.Sleep(20 * time.Millisecond)
		}
	})
	check := is.New(t)
	runs := map[string]int{}
	for _, r := range rs {
		for _, run := range r.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	check.Equal(got[http.StatusOK], len(runs)) // Whoever was refused was not run.
	check.True(len(runs) >= requests*2/3)      // The bound on retries leaves some refused.
}

// A replica sent a refusal that was longer than what is read of one. Its rest was taken for the answer to the next
// request on the connection.
func TestRestOfALongRefusalIsNotTheNextAnswer(t *testing.T) {
	const read, pause = 1 << 20, 50 * time.Millisecond
	rs := plainReplicas(1)
	first := true
	const rest = "HTTP/1.1 200 OK\r\nX-Replica-Signature: sig\r\nContent-Length: 5\r\n\r\nstale"
	rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
		if !first {
			return false
		}
		first = false
		x.Printf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: %d\r\n\r\n%s",
			x.Request.Header.Get("X-Attempt-Id"), read+len(rest), strings.Repeat("x", read))
		time.Sleep(pause)
		x.Printf("%s", rest)
		return true
	}
	var got []reply
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		for range 2 {
			got = append(got, cl.send(0, "POST", "/unsafe/x", nil))
		}
	})
	check := is.New(t)
	check.Equal(got[1].status, http.StatusOK)
	check.True(strings.HasPrefix(got[1].body, "answer of "))
}

// A replica stops partway through an event, and the framing of its answer ends as usual. The caller
// must not get the piece, nor a complete end: the stream goes on at another replica.
func TestFramedStreamThatEndsInsideAnEventIsNotWhole(t *testing.T) {
	const all = 4
	for _, tc := range []struct {
		name, sent string
		runs       int
	}{
		{"inside an event", events(1, 2) + "id: 3\nda", 2},
		{"inside its first event", "id: 1\nda", 2},
		{"before its first event", "", 2},
		{"whole", events(1, all), 1},
		{"whole, with another newline", events(1, all) + "\n", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs, got := engines(2, all), reply{}
			first := make(chan bool, 1)
			first <- true
			for _, r := range rs {
				r.Handle = func(_ int, x *platformtest.Exchange) bool {
					select {
					case <-first:
					default:
						return false
					}
					x.RecordRun()
					x.Printf("%s", x.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
					if tc.sent != "" {
						x.Printf("%x\r\n%s\r\n", len(tc.sent), tc.sent)
					}
					x.Printf("0\r\n\r\n")
					return true
				}
			}
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) { got = cl.send(0, "POST", "/s/x", nil) })
			check := is.New(t)
			check.Equal(strings.TrimSpace(got.body), strings.TrimSpace(events(1, all)))
			if tc.runs == 1 {
				check.Equal(got.body, tc.sent)
			}
			check.True(!got.truncated)
			check.Equal(countRuns(rs), tc.runs)
		})
	}
}

// A faulty replica answers at once, and what it sends is no answer: it has no signature. A caller must
// not get that as its stream, and the replica must not draw the requests of the sound ones.
func TestStreamWithoutASignatureIsNotAnAnswer(t *testing.T) {
	const requests = 40
	rs, whole := engines(3, 3), 0
	rs[0].Handle = func(_ int, x *platformtest.Exchange) bool {
		const garbage = "data: garbage\n\n"
		x.Printf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(garbage), garbage)
		return true
	}
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		for i := range requests {
			got := cl.send(0, "POST", "/s/x", map[string]string{"X-Attempt-Id": fmt.Sprint("s", i)})
			switch {
			case got.status != http.StatusOK:
			case got.body == events(1, 3):
				whole++
			default:
				t.Errorf("a caller got %q", got.body)
			}
		}
	})
	check := is.New(t)
	check.True(whole >= requests*9/10)
	check.True(rs[0].RequestCount() < requests/2)
}
