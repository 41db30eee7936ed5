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
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/internal/standin"
)

// reply is the result of one HTTP request.
type reply struct {
	complete bool // The answer arrived to its end.
	correct  bool
	version  string
	outcome  string // The outcome of a refusal: "not_run" or "unknown".
	code     string
}

func (r *Run) send(ctx context.Context, q requestSpec) {
	gateways := []string{q.gateway}
	if q.kind == kindKeyed {
		gateways = append(gateways, q.repeatGateway)
	}
	replies := make([]reply, len(gateways))
	var wg sync.WaitGroup
	for i, g := range gateways {
		wg.Go(func() { replies[i] = r.sendTo(ctx, q, g) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := requestResult{unsafe: q.kind >= kindUnsafe, notRun: true}
	for _, p := range replies {
		r.summary.Sent++
		switch {
		case p.complete && p.correct:
			r.summary.Answers++
			if p.version != "" {
				r.summary.Versions[p.version]++
			}
			t.answers++
		case p.complete:
			r.summary.Wrong++
		case p.outcome == "not_run":
			r.summary.Refused[p.code]++
		case p.outcome == "unknown":
			r.summary.Unknown++
			r.summary.Refused["unknown_"+p.code]++
		case r.GatewaysMayCrash && (p.code == codeConnection || p.code == codeTruncated):
			r.summary.Cut++
		default:
			r.summary.Lost++
			r.summary.Refused["lost_"+p.code]++
		}
		t.notRun = t.notRun && p.outcome == "not_run"
	}
	r.results[q.ref] = t
}

// maxAnswer limits what is read of an answer, in bytes.
const maxAnswer = 4 << 20

func (r *Run) sendTo(ctx context.Context, q requestSpec, gw string) reply {
	req, prompt, err := r.newRequest(ctx, q, gw)
	if err != nil {
		return reply{code: "request"}
	}
	start := time.Now()
	resp, err := r.client.Do(req)
	for attempt := 0; dialFailed(err) && attempt < len(r.Gateways); attempt++ {
		// No connection was made, so nothing was sent and another gateway is safe to try, as
		// a load balancer does.
		if req, prompt, err = r.newRequest(ctx, q, r.Gateways[attempt]); err != nil {
			return reply{code: "request"}
		}
		resp, err = r.client.Do(req)
	}
	if err != nil {
		return reply{code: codeConnection}
	}
	defer func() { _ = resp.Body.Close() }()
	body := bounded.NewReader(resp.Body, maxAnswer, "answer")
	if resp.Header.Get(gateway.HeaderOutcome) != "ran" {
		return readRefusal(resp.Status, body)
	}
	p := reply{version: resp.Header.Get(gateway.HeaderVersion)}
	var text string
	switch q.kind {
	case kindStream:
		text, p = r.readStream(body, start, p)
	case kindWhole:
		text, p = r.readChat(body, start, p)
	default:
		var a standin.PlainAnswer
		if json.NewDecoder(body).Decode(&a) != nil {
			return reply{code: codeTruncated}
		}
		p.complete = true
		p.correct = a.Service == q.service && a.Echo == standin.Answer(prompt, q.service, "", standin.PlainTokens)
	}
	if p.complete && q.kind <= kindStream {
		if p.version == "" {
			p.version = p.code // The version from the body of the answer.
		}
		_, adapter, _ := strings.Cut(q.service, ":")
		p.correct = text == standin.Answer(prompt, p.version, adapter, q.tokens)
	}
	r.withLock(func() { _ = r.fullAnswer.RecordValue(time.Since(start).Microseconds()) })
	return p
}

// Codes of replies that are neither answers nor errors with an outcome.
const (
	codeConnection = "connection"
	codeTruncated  = "truncated"
)

// dialFailed reports whether err means that no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Run) withLock(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// newRequest builds the HTTP request and returns the text from which the expected answer
// is computed.
func (r *Run) newRequest(ctx context.Context, q requestSpec, gw string) (*http.Request, string, error) {
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

func readRefusal(status string, body io.Reader) reply {
	var e gateway.ErrorBody
	if json.NewDecoder(body).Decode(&e) != nil {
		return reply{code: status}
	}
	return reply{outcome: e.Error.Outcome, code: string(e.Error.Code)}
}

func (r *Run) readChat(body io.Reader, start time.Time, p reply) (string, reply) {
	var c standin.Completion
	if json.NewDecoder(body).Decode(&c) != nil || len(c.Choices) != 1 || c.Choices[0].Message == nil {
		return "", reply{code: codeTruncated}
	}
	r.withLock(func() { _ = r.firstEvent.RecordValue(time.Since(start).Microseconds()) })
	p.complete, p.code = true, c.Model
	return c.Choices[0].Message.Content, p
}

// readStream reads a streamed answer, which is complete only with its last event.
func (r *Run) readStream(body io.Reader, start time.Time, p reply) (string, reply) {
	var text strings.Builder
	last := start
	sc := bufio.NewScanner(body)
	inError := false
	for sc.Scan() {
		line := sc.Text()
		if line == "event: error" {
			inError = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if inError {
			var e gateway.ErrorBody
			if json.Unmarshal([]byte(data), &e) == nil {
				return "", reply{outcome: e.Error.Outcome, code: string(e.Error.Code)}
			}
		}
		if data == "[DONE]" {
			p.complete = true
			continue
		}
		var c standin.Completion
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 || c.Choices[0].Delta == nil {
			return "", reply{complete: true} // An invalid event counts as a wrong answer.
		}
		now := time.Now()
		r.recordEventDelay(text.Len() == 0, now.Sub(last))
		last = now
		text.WriteString(c.Choices[0].Delta.Content)
		p.code = c.Model
	}
	if err := sc.Err(); err != nil && !errors.Is(err, io.EOF) && !p.complete {
		return "", reply{code: codeTruncated}
	}
	if !p.complete {
		return "", reply{code: "no_last_event"}
	}
	return text.String(), p
}

func (r *Run) recordEventDelay(first bool, d time.Duration) {
	r.withLock(func() {
		h := r.eventGap
		if first {
			h = r.firstEvent
		}
		_ = h.RecordValue(d.Microseconds())
	})
}
