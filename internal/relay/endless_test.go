package relay_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

const (
	endlessPiece = 64 << 10 // Bytes that a replica writes at once.
	endlessTotal = 96 << 20 // Bytes that it sends if nobody stops it.
	inFlight     = 4 * endlessPiece
)

// endless is an answer of bytes that do not end.
type endless struct {
	name   string
	target string
	begin  func(x *platformtest.Exchange) string // What is sent first.
	repeat string                                // What is sent from then on.
	most   int                                   // Bytes that a gateway may read.
}

// send sends the answer until the gateway closes the connection, and returns the bytes that were sent.
func (e *endless) send(x *platformtest.Exchange) (sent int) {
	piece := []byte(strings.Repeat(e.repeat, max(1, endlessPiece/len(e.repeat))))
	x.RecordRun()
	next := []byte(e.begin(x))
	for sent < endlessTotal {
		n, err := x.Conn.Write(next)
		sent += n
		if err != nil {
			break
		}
		next = piece
	}
	_ = x.Conn.Close()
	return sent
}

func endlessAnswers() []endless {
	const head, body = 64 << 10, 17 << 20
	with := func(header string) func(x *platformtest.Exchange) string {
		return func(x *platformtest.Exchange) string { return x.Head(http.StatusOK, header) }
	}
	raw := func(s string) func(x *platformtest.Exchange) string {
		return func(*platformtest.Exchange) string { return s }
	}
	const stream, chunks = "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n"
	out := []endless{
		{"body until the connection ends", "/safe/", with("\r\n"), "a", body},
		{"body of chunks", "/safe/", with(chunks + "\r\n"), "4\r\nabcd\r\n", body * 3},
		{"body of one chunk", "/safe/", with(chunks + "\r\nfffffff\r\n"), "a", body},
		{"event", "/s/", with(stream + "\r\nid: 1\ndata: "), "a", 2 << 20},
		{"events after the first", "/s/", with(stream + "\r\n" + events(1, 1) + "id: 2\ndata: "), "a", 2 << 20},
		{"comment", "/s/", with(stream + "\r\n:"), "a", 2 << 20},
		{"comments", "/s/", with(stream + "\r\n"), ": a\n\n", 2 << 20},
		{"empty lines", "/s/", with(stream + "\r\n"), "\n", 2 << 20},
		{"empty lines in chunks", "/s/", with(stream + chunks + "\r\n"), "4\r\n\n\n\n\n\r\n", 4 << 20},
		{"empty lines after an event", "/s/", with(stream + "\r\n" + events(1, 1)), "\r\n", 2 << 20},
	}
	for _, target := range []string{"/safe/", "/s/"} {
		out = append(
			out,
			endless{"status line", target, raw("HTTP/1.1 200 "), "a", head},
			endless{"header line", target, with("X-A: "), "a", head},
			endless{"header lines", target, with(""), "X-A: b\r\n", head},
			endless{"interim answers", target, raw(""), "HTTP/1.1 103 Early Hints\r\n\r\n", head},
			endless{"chunk size", target, with(stream + chunks + "\r\n"), "0", head},
			endless{"chunk extension", target, with(stream + chunks + "\r\n1;"), "a", head},
			endless{"trailers", target, with(stream + chunks + "\r\n0\r\n"), "X-A: b\r\n", head},
			endless{"answer to another request", target, raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\n\r\n"), "a", 2 << 20},
		)
	}
	return out
}

// A replica that sent bytes without end was read until the caller's deadline, and its request was not
// tried elsewhere.
func TestBytesWithoutEndAreBrokenOff(t *testing.T) {
	for _, e := range endlessAnswers() {
		t.Run(e.name+" "+e.target, func(t *testing.T) {
			rs := append(plainReplicas(3), engines(6, 6)[3:]...)
			var sent atomic.Int64
			var got reply
			var took time.Duration
			runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
				scriptRuns(rs, func(x *platformtest.Exchange) { sent.Store(int64(e.send(x))) })
				began := time.Now()
				got = cl.send(0, "POST", e.target, nil)
				took = time.Since(began)
			})
			is := is.New(t)
			is.True(sent.Load() <= int64(e.most+inFlight))
			is.Equal(got.status, http.StatusOK)
			is.True(!got.truncated)
			if e.target == "/s/" {
				is.Equal(eventsOf(got.body), events(1, 6))
			}
			is.True(took < 3*time.Second)
			is.Equal(countRuns(rs), 2)
		})
	}
}

// eventsOf returns a stream without comments and superfluous empty lines.
func eventsOf(body string) string {
	var out strings.Builder
	for _, event := range strings.Split(strings.ReplaceAll(body, "\r\n", "\n"), "\n\n") {
		if event = strings.Trim(event, "\n"); event != "" && event[0] != ':' {
			out.WriteString(event + "\n\n")
		}
	}
	return out.String()
}

// A request that may not run again got 413, which blames its caller.
func TestUnsafeRequestOfAnswerWithoutEndGets502(t *testing.T) {
	rs := plainReplicas(2)
	var got reply
	e := endless{begin: func(x *platformtest.Exchange) string { return x.Head(http.StatusOK, "\r\n") }, repeat: "a"}
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		scriptRuns(rs, func(x *platformtest.Exchange) { e.send(x) })
		got = cl.send(0, "POST", "/unsafe/", nil)
	})
	is := is.New(t)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(countRuns(rs), 1)
}
