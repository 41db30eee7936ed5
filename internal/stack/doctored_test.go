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

// doctor puts an agent of its own in the place of an engine's, which sends the
// messages that answer returns.
func doctor(s *Stack, name string, answer func(d *dispatch.Dispatch) []any) {
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
		ms := answer(d)
		for i, m := range ms {
			if i == len(ms)-1 {
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
		name   string
		answer func(d *dispatch.Dispatch) []any
		whole  bool
	}{
		{"as it should be", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 1, "two"), end(d, 2, "one two")}
		}, true},
		{"a part twice", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 0, "one "), part(id(d), 1, "two"), end(d, 2, "one two")}
		}, true},
		{"a part of another request", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(other(d), 1, "foreign"), part(id(d), 1, "two"), end(d, 2, "one two")}
		}, true},
		{"parts in the wrong order", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 1, "two"), part(id(d), 0, "one "), end(d, 2, "one two")}
		}, false},
		{"a part missing", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), end(d, 2, "one two")}
		}, false},
		{"a part changed", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), part(id(d), 1, "tva"), end(d, 2, "one two")}
		}, false},
		{"the end of another request", func(d *dispatch.Dispatch) []any {
			return []any{head(d), part(id(d), 0, "one "), &dispatch.AnswerEnd{ID: other(d), Seq: 1, Sum: sum("one ")}}
		}, false},
		{"another version", func(d *dispatch.Dispatch) []any {
			h := &dispatch.AnswerHead{ID: d.ID, Digest: "v2", Status: 200}
			return []any{h, part(id(d), 0, "one two"), end(d, 1, "one two")}
		}, false},
		{"no end", func(d *dispatch.Dispatch) []any {
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
				bubble(t, &Stack{Gateways: 1, Engines: 1, Config: limits}, func(t *testing.T, s *Stack) {
					is := is.New(t)
					doctor(s, "h0-engine0", tc.answer)
					time.Sleep(2 * time.Second)
					resp, text, err := s.chat(t, "unsafe", stream)
					whole := err == nil && resp.StatusCode == http.StatusOK && text == "one two"
					is.Equal(whole, tc.whole)
					if !tc.whole {
						// Never shown as complete, and never called "not run".
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

// An engine that checks no orders takes a load from somebody else. No answer of
// that version may pass, and the agent loads its own again.
func TestForeignOrderIsNoticed(t *testing.T) {
	bubble(t, &Stack{Gateways: 1, Engines: 1, Config: limits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		foreign := &engine.Client{URL: "http://h0-engine0:7200", HTTP: s.Client()}
		_, err := foreign.Order(t.Context(), engine.Order{Kind: engine.OrderLoad, Digest: s.Digests["v2"], Source: "http://origin:1"})
		is.NoErr(err)
		for i := range 30 {
			resp, text, err := s.chat(t, "safe", i%2 == 0)
			is.True(!strings.Contains(text, s.Digests["v2"])) // An answer of a version that was not asked for.
			is.True(err != nil || resp.Header.Get(gateway.HeaderVersion) != s.Digests["v2"])
			time.Sleep(200 * time.Millisecond)
		}
		resp, _, err := s.chat(t, "safe", false)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK) // The agent's own version is back.
	})
}

// endless ends a stream before its last event.
type endless struct {
	io.ReadCloser
	over bool
}

func (e *endless) Read(p []byte) (int, error) {
	if e.over {
		return 0, io.EOF
	}
	n, err := e.ReadCloser.Read(p)
	if i := bytes.Index(p[:n], []byte("data: [DONE]")); i >= 0 {
		e.over = true
		return i, nil
	}
	return n, err
}

// An engine that ends its streams without the last event gives no whole answer.
func TestStreamWithoutItsEndIsNotComplete(t *testing.T) {
	s := &Stack{Gateways: 1, Engines: 1, Config: limits}
	s.Transport.Wrap = func(r *http.Request, body io.ReadCloser) io.ReadCloser {
		if r.URL.Host == "h0-engine0:7200" && strings.HasSuffix(r.URL.Path, "/completions") {
			return &endless{ReadCloser: body}
		}
		return body
	}
	bubble(t, s, func(t *testing.T, s *Stack) {
		is := is.New(t)
		_, text, err := s.chat(t, "unsafe", true)
		is.True(err != nil || strings.Contains(text, "event: error"))
		is.True(!strings.Contains(text, "[DONE]"))
	})
}

// An agent that is frozen through the dispatch, the void and the deadline, and
// then wakes with the frame in its buffers, must not start it: the caller was
// answered long ago. The caller of an unsafe request is told "unknown" at its
// deadline at the latest, and the request runs at most once.
func TestFrozenAgentStartsNothingLate(t *testing.T) {
	bubble(t, &Stack{Gateways: 1, Engines: 1, Config: limits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.Freeze("h0-engine0", true)
		began := time.Now()
		resp, text, err := s.chat(t, "unsafe", false)
		is.NoErr(err)
		is.True(resp.StatusCode >= 500)
		is.True(strings.Contains(text, `"unknown"`) || strings.Contains(text, `"not_run"`))
		is.True(time.Since(began) <= 3*time.Second) // At its deadline at the latest.
		time.Sleep(2 * time.Second)
		s.Freeze("h0-engine0", false)
		time.Sleep(10 * time.Second)
		is.Equal(s.Ledgers["h0-engine0"].Runs()["unsafe"], 0)
	})
}

// A safe request whose answer breaks off before any of it reached its caller is
// tried elsewhere; a streamed one, of which parts went out, is not.
func TestBrokenAnswerIsTriedElsewhereIfNothingWasShown(t *testing.T) {
	bubble(t, &Stack{Gateways: 1, Engines: 2, Config: limits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		doctor(s, "h0-engine0", func(d *dispatch.Dispatch) []any {
			return []any{
				&dispatch.AnswerHead{ID: d.ID, Digest: d.Digest, Status: 200, ContentType: "application/json"},
				&dispatch.AnswerData{ID: d.ID, Data: []byte("{")},
				&dispatch.Refusal{ID: d.ID, Reason: "upstream_failed", MayHaveRun: true},
			}
		})
		time.Sleep(2 * time.Second)
		const least, most = 20, 200 // Requests: until a streamed one was drawn to the broken engine.
		broken := 0
		for i := 0; i < least || broken == 0 && i < most; i++ {
			resp, text, err := s.chat(t, "safe", i%2 == 0)
			if i%2 == 1 {
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(json.Valid([]byte(text))) // And not what the broken one began with.
			} else if err != nil || strings.Contains(text, "event: error") {
				broken++
			}
			time.Sleep(time.Second)
		}
		is.True(broken > 0)
	})
}
