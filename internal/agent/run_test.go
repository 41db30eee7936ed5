package agent

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/internal/bounded/boundedtest"
	"github.com/poststand/poststand/internal/settings"
)

// scriptedEngine answers requests with raw responses, one after the other.
type scriptedEngine struct {
	answers []string
	state   string // Answer to a question for its state.
}

// RoundTrip implements http.RoundTripper.
func (e *scriptedEngine) RoundTrip(req *http.Request) (*http.Response, error) {
	raw := e.state
	if req.URL.Path != "/state" {
		raw, e.answers = e.answers[0], e.answers[1:]
	}
	return http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), req)
}

// chunked returns an answer in chunks that ends as usual after body.
func chunked(body string) string {
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Engine-Digest: d\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
}

// runScript has an agent run a request on an engine, and returns what follows the head of the answer.
func runScript(t *testing.T, e *scriptedEngine, stream bool) (body string, err error) {
	a, err := New(&settings.Agent{}, Options{Engine: &http.Client{Transport: e}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	rec := &dispatch.Record{Dispatch: &dispatch.Dispatch{Digest: "d", Method: "POST", Path: "/", Stream: stream}, Answer: &dispatch.Answer{}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := a.execute(ctx, rec); err != nil {
		return "", err
	}
	err = rec.Answer.Follow(ctx, dispatch.RequestID{}, 0, func(m any, _ bool) error {
		if d, ok := m.(*dispatch.AnswerData); ok {
			body += string(d.Data)
		}
		return nil
	})
	return body, err
}

const (
	firstEvent = "data: a\n\n"
	lastEvents = "data: b\n\ndata: [DONE]\n\n"
)

// A stream of an engine that ends its lines in CRLF or CR was refused as without a last event.
func TestStreamOfAnEngineWithAnyLineEnd(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		want := strings.ReplaceAll(firstEvent+lastEvents, "\n", lineEnd)
		got, err := runScript(t, &scriptedEngine{answers: []string{chunked(want)}}, true)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(strings.TrimSpace(got), strings.TrimSpace(want))
	}
}

// An engine broke off inside an event and, asked to go on, sent the last event at once: the stream was whole
// without the event that it had begun.
func TestLastEventOfAnEngineDoesNotEndAStreamWithMore(t *testing.T) {
	const last = "data: [DONE]\n\n"
	is := is.New(t)
	got, err := runScript(t, &scriptedEngine{answers: []string{chunked(firstEvent + "data"), chunked(last), chunked(lastEvents)}}, true)
	is.NoErr(err)
	is.Equal(got, firstEvent+lastEvents)
	got, err = runScript(t, &scriptedEngine{answers: []string{chunked(firstEvent), chunked(last)}}, true)
	is.NoErr(err)
	is.Equal(got, firstEvent+last)
	_, err = runScript(t, &scriptedEngine{answers: []string{chunked(firstEvent + "data"), chunked(last), chunked(last), chunked(last)}}, true)
	is.True(err != nil)
}

// An answer with neither a length nor chunks that ended with its engine was passed on as whole.
func TestUnframedAnswerThatEndsWithItsEngineIsNotWhole(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nX-Engine-Digest: d\r\n\r\nhalf"
	state := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for name, tc := range map[string]struct {
		state string
		whole bool
	}{
		"same engine":     {state(200, `{"digest":"d"}`), true},
		"started again":   {state(200, `{"digest":""}`), false},
		"does not answer": {state(503, ""), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := runScript(t, &scriptedEngine{answers: []string{half}, state: tc.state}, false)
			is.Equal(err == nil, tc.whole)
			is.Equal(got == "half", tc.whole)
		})
	}
}

// An engine that stops amid the head of its answer has answered nothing.
func TestHeadOfAnEngineThatIsCutIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Engine-Digest: d\r\n"
	for name, answer := range map[string]string{
		"length": head + "Content-Length: 12\r\n\r\n", "chunks": head + "Transfer-Encoding: chunked\r\n\r\n", "connection": head + "\r\n",
		"interim answer": "HTTP/1.1 103 Early Hints\r\nX-Engine-Digest: d\r\n\r\n" + head + "Content-Length: 12\r\n\r\n",
	} {
		for i := range 4 {
			stream, resets := i%2 == 1, i/2 == 1
			t.Run(fmt.Sprintf("%s, stream %t, reset %t", name, stream, resets), func(t *testing.T) {
				for cut := range answer {
					a, err := New(&settings.Agent{Engine: "http://" + boundedtest.ServeOnce(t, answer[:cut], resets)}, Options{})
					if err != nil {
						t.Fatal(err)
					}
					rec := &dispatch.Record{Dispatch: &dispatch.Dispatch{Digest: "d", Method: "POST", Path: "/", Stream: stream}, Answer: &dispatch.Answer{}}
					if a.execute(t.Context(), rec) == nil {
						t.Errorf("cut after %q: taken for an answer", answer[:cut])
					}
					a.Close()
				}
			})
		}
	}
}
