package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/internal/standin"
)

// reply is what came back for one request.
type reply struct {
	whole   bool // An answer that claims to be complete.
	right   bool
	version string
	outcome string // Of a refusal: "not_run" or "unknown".
	code    string
}

func (r *Run) send(ctx context.Context, q query) {
	gateways := []string{q.gateway}
	if q.kind == kindKeyed {
		gateways = append(gateways, q.again)
	}
	replies := make([]reply, len(gateways))
	var wg sync.WaitGroup
	for i, g := range gateways {
		wg.Go(func() { replies[i] = r.one(ctx, q, g) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := told{unsafe: q.kind >= kindUnsafe, notRun: true}
	for _, p := range replies {
		r.sum.Sent++
		switch {
		case p.whole && p.right:
			r.sum.Answers++
			if p.version != "" {
				r.sum.Versions[p.version]++
			}
			t.answers++
		case p.whole:
			r.sum.Wrong++
		case p.outcome == "not_run":
			r.sum.Refused[p.code]++
		case p.outcome == "unknown":
			r.sum.Unknown++
			r.sum.Refused["unknown_"+p.code]++
		case r.GatewaysDie && (p.code == codeConnection || p.code == codeTruncated):
			r.sum.Cut++
		default:
			r.sum.Lost++
			r.sum.Refused["lost_"+p.code]++
		}
		t.notRun = t.notRun && p.outcome == "not_run"
	}
	r.told[q.ref] = t
}

func (r *Run) one(ctx context.Context, q query, gw string) reply {
	req, prompt, err := r.request(ctx, q, gw)
	if err != nil {
		return reply{code: "request"}
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	for tries := 0; refusedDial(err) && tries < len(r.Gateways); tries++ {
		// As a balancer does: nobody listens there, so nothing was sent.
		if req, prompt, err = r.request(ctx, q, r.Gateways[tries]); err != nil {
			return reply{code: "request"}
		}
		resp, err = r.client.Do(req)
	}
	if err != nil {
		return reply{code: codeConnection}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(gateway.HeaderOutcome) != "ran" {
		return refusal(resp)
	}
	p := reply{version: resp.Header.Get(gateway.HeaderVersion)}
	var text string
	switch q.kind {
	case kindStream:
		text, p = r.readStream(resp.Body, began, p)
	case kindWhole:
		text, p = r.readChat(resp.Body, began, p)
	default:
		var a standin.PlainAnswer
		if json.NewDecoder(resp.Body).Decode(&a) != nil {
			return reply{code: codeTruncated}
		}
		p.whole = true
		p.right = a.Service == q.service && a.Echo == standin.Answer(prompt, q.service, "", standin.PlainTokens)
	}
	if p.whole && q.kind <= kindStream {
		if p.version == "" {
			p.version = p.code // From the answer itself.
		}
		_, adapter, _ := strings.Cut(q.service, ":")
		p.right = text == standin.Answer(prompt, p.version, adapter, q.tokens)
	}
	r.record(func() { _ = r.whole.RecordValue(time.Since(began).Microseconds()) })
	return p
}

// Codes of replies that are neither answers nor typed refusals.
const (
	codeConnection = "connection"
	codeTruncated  = "truncated"
)

// refusedDial reports whether a connection could not be made at all.
func refusedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Run) record(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// request makes the HTTP request and returns the text that its answer is a
// function of.
func (r *Run) request(ctx context.Context, q query, gw string) (*http.Request, string, error) {
	var body any
	path := "/services/" + q.service + "/run"
	chat := standin.ChatRequest{
		Model: q.service, Messages: []standin.Message{{Role: "user", Content: q.prompt}},
		MaxTokens: q.tokens, Stream: q.kind == kindStream, User: q.ref,
	}
	if q.system != "" {
		chat.Messages = append([]standin.Message{{Role: "system", Content: q.system}}, chat.Messages...)
	}
	body = chat
	if q.kind <= kindStream {
		path = "/v1/chat/completions"
	} else {
		body = map[string]string{"user": q.ref, "text": q.prompt}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, "", fault.Wrap(fault.Internal, err, "body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, gw+path, bytes.NewReader(data))
	if err != nil {
		return nil, "", fault.Wrap(fault.BadRequest, err, gw)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(gateway.HeaderOrganisation, q.organisation)
	req.Header.Set(gateway.HeaderTimeout, r.Timeout.String())
	if q.kind == kindPlain {
		req.Header.Set(gateway.HeaderUnsafe, "false")
	}
	if q.kind == kindKeyed {
		req.Header.Set(gateway.HeaderKey, q.ref)
	}
	if q.kind <= kindStream {
		return req, chat.Prompt(), nil
	}
	return req, string(data), nil
}

func refusal(resp *http.Response) reply {
	var e gateway.ErrorBody
	if json.NewDecoder(resp.Body).Decode(&e) != nil {
		return reply{code: resp.Status}
	}
	return reply{outcome: e.Error.Outcome, code: string(e.Error.Code)}
}

func (r *Run) readChat(body io.Reader, began time.Time, p reply) (string, reply) {
	var c standin.Completion
	if json.NewDecoder(body).Decode(&c) != nil || len(c.Choices) != 1 || c.Choices[0].Message == nil {
		return "", reply{code: codeTruncated}
	}
	r.record(func() { _ = r.first.RecordValue(time.Since(began).Microseconds()) })
	p.whole, p.code = true, c.Model
	return c.Choices[0].Message.Content, p
}

// readStream collects a streamed answer. It is whole only with its last event.
func (r *Run) readStream(body io.Reader, began time.Time, p reply) (string, reply) {
	var text strings.Builder
	last := began
	sc := bufio.NewScanner(body)
	failing := false
	for sc.Scan() {
		line := sc.Text()
		if line == "event: error" {
			failing = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failing {
			var e gateway.ErrorBody
			if json.Unmarshal([]byte(data), &e) == nil {
				return "", reply{outcome: e.Error.Outcome, code: string(e.Error.Code)}
			}
		}
		if data == "[DONE]" {
			p.whole = true
			continue
		}
		var c standin.Completion
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 || c.Choices[0].Delta == nil {
			return "", reply{whole: true} // A broken event is a wrong answer.
		}
		now := time.Now()
		r.sample(text.Len() == 0, now.Sub(last))
		last = now
		text.WriteString(c.Choices[0].Delta.Content)
		p.code = c.Model
	}
	if err := sc.Err(); err != nil && !errors.Is(err, io.EOF) && !p.whole {
		return "", reply{code: codeTruncated}
	}
	if !p.whole {
		return "", reply{code: "no_last_event"}
	}
	return text.String(), p
}

func (r *Run) sample(first bool, d time.Duration) {
	r.record(func() {
		h := r.gap
		if first {
			h = r.first
		}
		_ = h.RecordValue(d.Microseconds())
	})
}
