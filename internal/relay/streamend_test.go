package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// framing is how an answer tells where it ends.
type framing int

const (
	byChunks framing = iota
	byLength
	byConnection
)

var framings = []framing{byChunks, byLength, byConnection}

func (f framing) String() string { return [...]string{"chunks", "length", "connection"}[f] }

// answerStream answers a request with a stream whose framing ends as usual after body.
func answerStream(x *platformtest.Exchange, f framing, body string) {
	x.RecordRun()
	head := "Content-Type: text/event-stream\r\n"
	switch f {
	case byChunks:
		x.Printf("%s", x.Head(http.StatusOK, head+"Transfer-Encoding: chunked\r\n\r\n"))
		if body != "" {
			x.Printf("%x\r\n%s\r\n", len(body), body)
		}
		x.Printf("0\r\n\r\n")
	case byLength:
		x.Printf("%s%s", x.Head(http.StatusOK, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))), body)
	case byConnection:
		x.Printf("%s%s", x.Head(http.StatusOK, head+"\r\n"), body)
		_ = x.Conn.Close()
	}
}

// cutStream answers a request with a stream whose connection breaks after body.
func cutStream(x *platformtest.Exchange, body string) {
	x.RecordRun()
	x.Printf("%s%x\r\n%s\r\n", x.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"), len(body), body)
	time.Sleep(10 * endArrives) // What was sent arrives before the end of the connection.
	_ = x.Conn.Close()
}

// scriptRuns has the first runs of requests played by plays, at whichever replicas they come to, and all
// further ones by sound replicas.
func scriptRuns(rs []*platformtest.Replica, plays ...func(x *platformtest.Exchange)) {
	var runs atomic.Int64
	for _, r := range rs {
		r.Handle = func(_ int, x *platformtest.Exchange) bool {
			n := int(runs.Add(1))
			if n > len(plays) {
				return false
			}
			plays[n-1](x)
			return true
		}
	}
}

// streamRoutes is a configuration in which streams may be sent to three replicas; those below /once/ may
// not be continued.
func streamRoutes() platformtest.Body {
	more := platformtest.Body{"attempts": 3}
	return platformtest.Config(
		2,
		platformtest.Route("s", "/s/", "stream", "llm", more),
		platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"attempts": 3, "resumable": false}),
	)
}

// sendStream has three replicas of streams of six events play what scriptRuns takes, and returns what the
// caller of one stream gets, and the number of runs.
func sendStream(t *testing.T, target string, header map[string]string, plays ...func(x *platformtest.Exchange)) (got reply, runs int) {
	rs := engines(3, 6)
	scriptRuns(rs, plays...)
	runCluster(t, 1, rs, func(_ *is.I, cl *testCluster) {
		cl.store.Put("op/config", streamRoutes())
		time.Sleep(time.Second)
		got = cl.send(0, "POST", target, header)
	})
	return got, countRuns(rs)
}

// requireAll fails the test unless a caller got the body and its end.
func requireAll(t *testing.T, got reply, body string) {
	t.Helper()
	if got.status != http.StatusOK || got.truncated || got.body != body {
		t.Errorf("status %d, truncated %t, body %q, want %q", got.status, got.truncated, got.body, body)
	}
}

// withLineEnds returns a stream with other line ends.
func withLineEnds(body, lineEnd string) string { return strings.ReplaceAll(body, "\n", lineEnd) }

// A whole stream whose lines end in CRLF or CR was run at every replica and then refused, or passed on
// only at its end.
func TestStreamWithAnyLineEndIsPassedOnAsItArrives(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for _, f := range framings {
			t.Run(strconv.Quote(lineEnd)+", "+f.String(), func(t *testing.T) {
				want := withLineEnds(events(1, 3), lineEnd)
				got, runs := sendStream(t, "/once/x", nil, func(x *platformtest.Exchange) { answerStream(x, f, want) })
				requireAll(t, got, want)
				is.New(t).Equal(runs, 1)
			})
		}
		t.Run(strconv.Quote(lineEnd)+", continued", func(t *testing.T) {
			first := withLineEnds(events(1, 2)+"id: 3\nda", lineEnd)
			got, runs := sendStream(t, "/s/x", nil, func(x *platformtest.Exchange) { cutStream(x, first) })
			requireAll(t, got, withLineEnds(events(1, 2), lineEnd)+events(3, 6))
			is.New(t).Equal(runs, 2)
		})
	}
}

// A stream broke off inside an event, and the replica that was to continue it answered without an event:
// the caller got two of six events and a complete end.
func TestContinuationWithoutAnEventDoesNotEndAStreamWithMore(t *testing.T) {
	piece := events(1, 2) + "id: 3\nda"
	for _, f := range framings {
		empty := func(x *platformtest.Exchange) { answerStream(x, f, "") }
		for name, first := range map[string]func(x *platformtest.Exchange){
			"ends inside an event":        func(x *platformtest.Exchange) { answerStream(x, f, piece) },
			"connection breaks inside it": func(x *platformtest.Exchange) { cutStream(x, piece) },
			"shorter than its length": func(x *platformtest.Exchange) {
				x.RecordRun()
				x.Printf("%s%s", x.Head(http.StatusOK, "Content-Type: text/event-stream\r\nContent-Length: 200\r\n\r\n"), events(1, 2))
				_ = x.Conn.Close()
			},
		} {
			t.Run(fmt.Sprint(f, ", ", name), func(t *testing.T) {
				got, runs := sendStream(t, "/s/x", nil, first, empty)
				requireAll(t, got, events(1, 6))
				is.New(t).Equal(runs, 3)
			})
		}
		t.Run(fmt.Sprint(f, ", all events were there"), func(t *testing.T) {
			got, runs := sendStream(t, "/s/x", nil, func(x *platformtest.Exchange) { cutStream(x, events(1, 6)) }, empty)
			requireAll(t, got, events(1, 6))
			is.New(t).Equal(runs, 2)
		})
		t.Run(fmt.Sprint(f, ", no other replica"), func(t *testing.T) {
			got, _ := sendStream(t, "/s/x", nil, func(x *platformtest.Exchange) { cutStream(x, piece) }, empty, empty)
			is.New(t).True(got.truncated)
		})
	}
}

// A replica ignored Last-Event-Id and began again: the caller got events twice.
func TestReplicaThatBeginsAgainDoesNotContinueAStream(t *testing.T) {
	for _, f := range framings {
		for _, last := range []int{1, 2} {
			t.Run(fmt.Sprint(f, ", after event ", last), func(t *testing.T) {
				got, runs := sendStream(
					t, "/s/x", nil,
					func(x *platformtest.Exchange) { cutStream(x, events(1, last)) },
					func(x *platformtest.Exchange) { answerStream(x, f, events(1, 6)) },
				)
				requireAll(t, got, events(1, 6))
				is.New(t).Equal(runs, 3)
			})
		}
	}
	t.Run("for the caller", func(t *testing.T) {
		got, _ := sendStream(
			t, "/s/x", map[string]string{"Last-Event-Id": "4"},
			func(x *platformtest.Exchange) { answerStream(x, byChunks, events(1, 6)) },
		)
		requireAll(t, got, events(5, 6))
	})
	t.Run("not on a route whose streams can't be continued", func(t *testing.T) {
		got, runs := sendStream(
			t, "/once/x", map[string]string{"Last-Event-Id": "4"},
			func(x *platformtest.Exchange) { answerStream(x, byChunks, events(1, 6)) },
		)
		requireAll(t, got, events(1, 6))
		is.New(t).Equal(runs, 1)
	})
}

// A stream was continued after its last ID, though the caller had events without an ID since: it got
// them twice.
func TestStreamIsNotContinuedAfterAnEventWithoutID(t *testing.T) {
	const unnamed = "data: e3\n\n"
	got, _ := sendStream(t, "/s/x", nil, func(x *platformtest.Exchange) { cutStream(x, events(1, 2)+unnamed) })
	is := is.New(t)
	is.True(got.truncated)
	is.Equal(got.body, events(1, 2)+unnamed)
}

// A caller that has all events and lacks the end of its stream was answered 502 whenever it asked.
func TestCallerThatHasAllEventsGetsTheEnd(t *testing.T) {
	got, runs := sendStream(t, "/s/x", map[string]string{"Last-Event-Id": "6"})
	requireAll(t, got, "")
	is.New(t).Equal(runs, 1)
}

// A replica falls silent within a stream, and a second one answers without an event: that ended the
// stream, though the first one had not.
func TestAnswerWithoutAnEventDoesNotEndASilentStream(t *testing.T) {
	const silence = 2 * time.Second
	first := func(x *platformtest.Exchange) {
		x.RecordRun()
		x.Printf("%s", x.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		x.Event(1)
		time.Sleep(silence)
		for i := 2; i <= 6; i++ {
			x.Event(i)
		}
		x.Printf("0\r\n\r\n")
	}
	for _, f := range framings {
		t.Run(f.String(), func(t *testing.T) {
			empty := func(x *platformtest.Exchange) { answerStream(x, f, "") }
			got, _ := sendStream(t, "/s/x", nil, first, empty, empty)
			requireAll(t, got, events(1, 6))
		})
	}
}
