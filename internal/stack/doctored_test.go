package stack

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/internal/agent"
	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/standin"
	"github.com/poststand/poststand/wire"
)

// installFakeAgent replaces an engine's agent by a fake one that answers each dispatch with the
// messages that answer returns.
func installFakeAgent(s *Stack, name string, answer func(d *dispatch.Dispatch) []any) {
	s.Kill(name)
	hs := &wire.Handlers{}
	wire.On(hs, func(ctx context.Context, st *wire.Stream, _ *dispatch.Subscribe) {
		for ctx.Err() == nil {
			_ = st.Send(ctx, &dispatch.Report{
				Incarnation: 1 << 62, Service: "chat", Digest: s.Digests["v1"], Ready: true, Slots: 8, At: time.Now(),
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	wire.On(hs, func(ctx context.Context, st *wire.Stream, d *dispatch.Dispatch) {
		messages := answer(d)
		for i, m := range messages {
			if i == len(messages)-1 {
				_ = st.SendLast(ctx, m)
				return
			}
			_ = st.Send(ctx, m)
		}
	})
	srv := &wire.Server{
		Local: wire.Hello{Cluster: "c", Box: name, Hall: "h0", Role: "agent", Incarnation: 1 << 62}, Codec: agent.Codec, Handlers: hs,
	}
	s.Net.Add(&simnet.End{Name: name, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: func(ctx context.Context, nc net.Conn) { srv.ServeConn(ctx, nc) }})
}

// A gateway accepts an answer only if its messages are complete, in order and of the right
// request and version. It ignores duplicates and messages of other requests.
func TestDoctoredAnswers(t *testing.T) {
	id := func(d *dispatch.Dispatch) dispatch.RequestID { return d.ID }
	other := func(d *dispatch.Dispatch) dispatch.RequestID {
		o := d.ID
		o.Seq += 1000
		return o
	}
	sum := func(text string) string {
		h := sha256.Sum256([]byte(text))
		return hex.EncodeToString(h[:])
	}
	head := func(d *dispatch.Dispatch) any {
		return &dispatch.AnswerHead{ID: d.ID, Digest: d.Digest, Status: 200, ContentType: "text/plain"}
	}
	part := func(id dispatch.RequestID, seq int, text string) any {
		return &dispatch.AnswerData{ID: id, Seq: seq, Data: []byte(text)}
	}
	end := func(d *dispatch.Dispatch, n int, text string) any {
		return &dispatch.AnswerEnd{ID: d.ID, Seq: n, Sum: sum(text)}
	}
	cases := []struct {
		name     string
		answer   func(d *dispatch.Dispatch) []any
		complete bool
	}{
		{"correct", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 1, "two"), end(d, 2, "one two")}
		}, true},
		{"duplicate part", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 0, "one "), part(id(d), 1, "two"), end(d, 2, "one two")}
		}, true},
		{"part of another request", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(other(d), 1, "foreign"), part(id(d), 1, "two"), end(d, 2, "one two")}
		}, true},
		{"parts out of order", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 1, "two"), part(id(d), 0, "one "), end(d, 2, "one two")}
		}, false},
		{"missing part", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), end(d, 2, "one two")}
		}, false},
		{"corrupt part", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 1, "tva"), end(d, 2, "one two")}
		}, false},
		{"end of another request", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), &dispatch.AnswerEnd{ID: other(d), Seq: 1, Sum: sum("one ")}}
		}, false},
		{"wrong version", func(d *dispatch.Dispatch) []any {
			h := &dispatch.AnswerHead{ID: d.ID, Digest: "v2", Status: 200}
			return []any{h, part(id(d), 0, "one two"), end(d, 1, "one two")}
		}, false},
		{"missing end", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 1, "two")}
		}, false},
	}
	for _, tc := range cases {
		for _, stream := range []bool{false, true} {
			name := tc.name
			if stream {
				name += ", streamed"
			}
			t.Run(name, func(t *testing.T) {
				runInBubble(t, &Stack{Gateways: 1, Engines: 1, Config: shortLimits}, func(t *testing.T, s *Stack) {
					is := is.New(t)
					installFakeAgent(s, "h0-engine0", tc.answer)
					time.Sleep(2 * time.Second)
					resp, text, err := s.chat(t, "unsafe", stream)
					complete := err == nil && resp.StatusCode == http.StatusOK && text == "one two"
					is.Equal(complete, tc.complete)
					if !tc.complete {
						// It is neither passed on as complete nor reported as not run.
						is.True(err != nil || resp.StatusCode >= 500)
						is.True(!strings.Contains(text, `"not_run"`))
					}
				})
			})
		}
	}
}

// chat sends one request through the first gateway and reads its answer.
func (s *Stack) chat(t *testing.T, ref string, stream bool) (*http.Response, string, error) {
	t.Helper()
	body, _ := json.Marshal(standin.ChatRequest{
		Model: "chat", Stream: stream, MaxTokens: 4, User: ref,
		Messages: []standin.Message{{Role: "user", Content: "hello " + ref}},
	})
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h0-gateway0:80/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set(gateway.HeaderTimeout, "3s")
	if ref == "unsafe" {
		req.Header.Set(gateway.HeaderUnsafe, "true")
	}
	resp, err := s.Client().Do(req)
	if err != nil {
		return &http.Response{}, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// An engine that does not check the sender of orders loads another version on the order of
// another sender. No answer of that version may reach a caller, and the agent loads its own
// version again.
func TestForeignOrderIsNoticed(t *testing.T) {
	runInBubble(t, &Stack{Gateways: 1, Engines: 1, Config: shortLimits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		foreign := &engine.Client{URL: "http://h0-engine0:7200", HTTP: s.Client()}
		_, err := foreign.Order(t.Context(), engine.Order{Kind: engine.OrderLoad, Digest: s.Digests["v2"], Source: "http://origin:1"})
		is.NoErr(err)
		for i := range 30 {
			resp, text, err := s.chat(t, "safe", i%2 == 0)
			is.True(!strings.Contains(text, s.Digests["v2"])) // No answer of the foreign version.
			is.True(err != nil || resp.Header.Get(gateway.HeaderVersion) != s.Digests["v2"])
			time.Sleep(200 * time.Millisecond)
		}
		resp, _, err := s.chat(t, "safe", false)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK) // The agent has loaded its own version again.
	})
}

// truncatedStream is the body of a streamed answer without its last event.
type truncatedStream struct {
	io.ReadCloser
	ended bool
}

func (e *truncatedStream) Read(p []byte) (int, error) {
	if e.ended {
		return 0, io.EOF
	}
	n, err := e.ReadCloser.Read(p)
	if i := bytes.Index(p[:n], []byte("data: [DONE]")); i >= 0 {
		e.ended = true
		return i, nil
	}
	return n, err
}

// A stream that an engine ends without the last event is not passed on as complete.
func TestStreamWithoutItsEndIsNotComplete(t *testing.T) {
	s := &Stack{Gateways: 1, Engines: 1, Config: shortLimits}
	s.Transport.Wrap = func(r *http.Request, body io.ReadCloser) io.ReadCloser {
		if r.URL.Host == "h0-engine0:7200" && strings.HasSuffix(r.URL.Path, "/completions") {
			return &truncatedStream{ReadCloser: body}
		}
		return body
	}
	runInBubble(t, s, func(t *testing.T, s *Stack) {
		is := is.New(t)
		_, text, err := s.chat(t, "unsafe", true)
		is.True(err != nil || strings.Contains(text, "event: error"))
		is.True(!strings.Contains(text, "[DONE]"))
	})
}

// An agent is frozen during the dispatch, the void and the deadline of a request, and then resumes
// with the frame in its buffers. It must not start the request, whose caller has long been
// answered. The caller of an unsafe request gets "unknown" or "not_run" at its deadline at the
// latest, and the request runs at most once.
func TestFrozenAgentStartsNothingLate(t *testing.T) {
	runInBubble(t, &Stack{Gateways: 1, Engines: 1, Config: shortLimits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.Freeze("h0-engine0", true)
		start := time.Now()
		resp, text, err := s.chat(t, "unsafe", false)
		is.NoErr(err)
		is.True(resp.StatusCode >= 500)
		is.True(strings.Contains(text, `"unknown"`) || strings.Contains(text, `"not_run"`))
		is.True(time.Since(start) <= 3*time.Second) // The request's timeout.
		time.Sleep(2 * time.Second)
		s.Freeze("h0-engine0", false)
		time.Sleep(10 * time.Second)
		is.Equal(s.Ledgers["h0-engine0"].Runs()["unsafe"], 0)
	})
}

// A safe request whose answer is truncated before any of it has reached the caller is retried on
// another engine. A streamed one, of which parts have been sent, is not.
func TestBrokenAnswerIsTriedElsewhereIfNothingWasShown(t *testing.T) {
	runInBubble(t, &Stack{Gateways: 1, Engines: 2, Config: shortLimits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		installFakeAgent(s, "h0-engine0", func(d *dispatch.Dispatch) []any {
			return []any{
				&dispatch.AnswerHead{ID: d.ID, Digest: d.Digest, Status: 200, ContentType: "application/json"},
				&dispatch.AnswerData{ID: d.ID, Data: []byte("{")},
				&dispatch.Refusal{ID: d.ID, Reason: "upstream_failed", MayHaveRun: true},
			}
		})
		time.Sleep(2 * time.Second)
		const minRequests, maxRequests = 20, 200 // Until a streamed request was sent to the broken engine.
		broken := 0
		for i := 0; i < minRequests || broken == 0 && i < maxRequests; i++ {
			resp, text, err := s.chat(t, "safe", i%2 == 0)
			if i%2 == 1 {
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(json.Valid([]byte(text))) // It does not contain the beginning of the broken answer.
			} else if err != nil || strings.Contains(text, "event: error") {
				broken++
			}
			time.Sleep(time.Second)
		}
		is.True(broken > 0)
	})
}
