package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
)

// writer writes the answer to one caller: a buffered answer once it is complete, a
// streamed answer as it arrives.
type writer struct {
	gateway *Gateway
	w       http.ResponseWriter
	rq      *request
	head    *dispatch.AnswerHead
	buf     bytes.Buffer
	started bool // Parts of a streamed answer have been sent to the caller.
}

func (o *writer) sink() *sink {
	return &sink{
		head: func(h *dispatch.AnswerHead) error {
			o.head = h
			o.buf.Reset()
			return nil
		},
		data:    o.data,
		started: func() bool { return o.started },
	}
}

func (o *writer) streams() bool { return o.rq.d.Stream && o.head.Status == http.StatusOK }

func (o *writer) data(b []byte) error {
	if !o.streams() {
		if o.buf.Len()+len(b) > o.gateway.Settings.MaxAnswer {
			return fault.New(fault.TooLarge, "answer")
		}
		o.buf.Write(b)
		return nil
	}
	if !o.started {
		o.started = true
		o.headers("ran")
		o.w.WriteHeader(http.StatusOK)
	}
	rc := http.NewResponseController(o.w)
	if err := setWriteDeadline(o.w, o.rq.d.Deadline.Add(time.Second)); err != nil {
		return err
	}
	if _, err := o.w.Write(b); err != nil {
		return fault.Wrap(fault.ConnectionLost, err, "caller")
	}
	if err := rc.Flush(); err != nil {
		return fault.Wrap(fault.ConnectionLost, err, "caller")
	}
	return nil
}

// answerWriteTimeout is how long a caller may take to read a complete answer.
const answerWriteTimeout = 30 * time.Second

// setWriteDeadline bounds how long a caller that does not read can block a write.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) error {
	err := http.NewResponseController(w).SetWriteDeadline(deadline)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fault.Wrap(fault.ConnectionLost, err, "caller")
	}
	return nil
}

func (o *writer) headers(outcome string) {
	h := o.w.Header()
	h.Set("Content-Type", o.head.ContentType)
	h.Set(HeaderOutcome, outcome)
	h.Set(HeaderRevision, strconv.FormatUint(o.rq.d.Revision, 10))
	if o.rq.version != "" {
		h.Set(HeaderVersion, o.rq.version)
	}
}

// finish ends the answer. An incomplete stream ends with an error event and an
// aborted body, so that no caller can mistake it for a complete one.
func (o *writer) finish(res dispatch.Result) {
	switch {
	case res.Outcome != dispatch.Done && o.started:
		o.gateway.Metrics.Refused(res.Reason)
		o.gateway.Metrics.Event("answer_broken", string(res.Reason))
		telemetry.Log("answer_broken", "id", o.rq.inFlight.ID, "service", o.rq.d.Service, "reason", res.Reason, "attempts", o.rq.d.ID.Attempt+1,
			"left_ms", time.Until(o.rq.d.Deadline).Milliseconds())
		b, _ := json.Marshal(errorBody(res))
		_, _ = fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", b)
		_ = http.NewResponseController(o.w).Flush()
		panic(http.ErrAbortHandler)
	case res.Outcome != dispatch.Done:
		o.gateway.writeError(o.w, res)
	case !o.started:
		_ = setWriteDeadline(o.w, time.Now().Add(answerWriteTimeout))
		o.headers("ran")
		o.w.Header().Set("Content-Length", strconv.Itoa(o.buf.Len()))
		o.w.WriteHeader(o.head.Status)
		_, _ = o.w.Write(o.buf.Bytes())
	}
}

// ErrorBody is the JSON body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal and whether the request may have run.
type ErrorDetail struct {
	Code         fault.Code `json:"code"`
	Outcome      string     `json:"outcome"` // "not_run" or "unknown".
	Message      string     `json:"message"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
}

func errorBody(res dispatch.Result) ErrorBody {
	d := ErrorDetail{Code: res.Reason, Outcome: res.Outcome.String(), Message: message(res)}
	if !res.RetryAt.IsZero() {
		d.RetryAfterMS = max(1, time.Until(res.RetryAt).Milliseconds())
	}
	return ErrorBody{d}
}

func message(res dispatch.Result) string {
	if res.Outcome == dispatch.NotRun {
		return "The request was not run."
	}
	return "The request may have run; its answer could not be had."
}

// writeError sends a refusal to the caller.
func (g *Gateway) writeError(w http.ResponseWriter, res dispatch.Result) {
	g.Metrics.Refused(res.Reason)
	b := errorBody(res)
	h := w.Header()
	_ = setWriteDeadline(w, time.Now().Add(answerWriteTimeout))
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, b.Error.Outcome)
	if b.Error.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(b.Error.RetryAfterMS)/1000))))
	}
	w.WriteHeader(statusOf(res))
	_ = json.NewEncoder(w).Encode(b)
}

// statusOf returns the HTTP status for a refusal.
func statusOf(res dispatch.Result) int {
	switch res.Reason {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.NoService:
		return http.StatusNotFound
	case fault.RateLimited:
		return http.StatusTooManyRequests
	case fault.KeyReused:
		return http.StatusUnprocessableEntity
	case fault.PastDeadline, fault.Timeout:
		return http.StatusGatewayTimeout
	}
	if res.Outcome == dispatch.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
