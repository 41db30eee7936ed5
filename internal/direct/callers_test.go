package direct_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

// Parameters of callers' requests.
const (
	callerTimeout = 6 * time.Second
	answerTokens  = 90 // Tokens, five per event.
	answerEvents  = answerTokens / 5
	// fullCapacity is the number of requests that all replicas together can serve in a second.
	fullCapacity = halls * boxesPerHall * slotsPerReplica / 0.95
)

// answerCounts counts the answers that callers received, by outcome.
type answerCounts struct{ complete, refused, failed, truncated atomic.Int64 }

// generateLoad sends requests to random gateways, at load times the capacity of the replicas,
// until the world is closed.
func (w *world) generateLoad(load float64, counts *answerCounts) {
	r := w.rand // No other goroutine uses it once the load has begun.
	for n := 0; ; n++ {
		if !w.sleep(time.Duration(r.ExpFloat64() / (load * fullCapacity) * float64(time.Second))) {
			return
		}
		target := []string{"/s/", "/s/", "/s/", "/s/", "/s/", "/once/", "/plain/safe/", "/plain/unsafe/"}[r.IntN(8)]
		g := w.gateways[r.IntN(len(w.gateways))]
		go w.sendRequest(g, fmt.Sprintf("a%d", n), target, 200+r.IntN(1600), counts)
	}
}

// callerRequest is one request of a caller to a gateway.
type callerRequest struct {
	id, target, body string
	promptTokens     int // Tokens.
	// onHeader, if set, is called with the header of the answer when it is written.
	onHeader func(g *gateway, h http.Header)
}

func (c *callerRequest) headerWritten(g *gateway, rec *httptest.ResponseRecorder) {
	if c.onHeader != nil {
		c.onHeader(g, rec.Header())
	}
}

// headerRecorder is a ResponseRecorder that calls onHeader when the header is written.
type headerRecorder struct {
	*httptest.ResponseRecorder
	onHeader func()
}

// WriteHeader implements http.ResponseWriter.
func (h *headerRecorder) WriteHeader(status int) {
	h.ResponseRecorder.WriteHeader(status)
	h.onHeader()
}

// send passes a request to the gateway and records its answer. truncated reports whether the
// handler aborted the answer. ok is false if the gateway is not running, or was killed before
// it had answered.
func (g *gateway) send(c callerRequest) (rec *httptest.ResponseRecorder, truncated, ok bool) {
	g.mu.Lock()
	handler, lifetime := g.relay, g.lifetime
	g.mu.Unlock()
	if handler == nil {
		return nil, false, false
	}
	ctx, cancel := context.WithTimeout(lifetime, callerTimeout)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example"+c.target, strings.NewReader(c.body))
	r.RequestURI = c.target
	for k, v := range map[string]string{
		"X-Attempt-Id": c.id, "X-Deadline-Ms": fmt.Sprint(callerTimeout.Milliseconds()), "Authorization": "Bearer k", "X-Model": "m",
		"X-Token-Count": fmt.Sprintf("%d,%d", c.promptTokens, answerTokens),
	} {
		r.Header.Set(k, v)
	}
	rec = httptest.NewRecorder()
	truncated = serve(handler, &headerRecorder{ResponseRecorder: rec, onHeader: func() { c.headerWritten(g, rec) }}, r)
	return rec, truncated, lifetime.Err() == nil
}

// sendRequest sends one request, counts its outcome and passes it to the checker.
func (w *world) sendRequest(g *gateway, id, target string, prompt int, counts *answerCounts) {
	rec, truncated, ok := g.send(callerRequest{id: id, target: target, body: "body", promptTokens: prompt, onHeader: w.recordForwarded})
	if !ok {
		return
	}
	violation := ""
	switch {
	case truncated:
		counts.truncated.Add(1)
	case rec.Code == http.StatusOK:
		counts.complete.Add(1)
		violation = checkAnswer(rec)
	case isQuarantined(rec):
		violation = "was quarantined"
	case rec.Code == http.StatusServiceUnavailable:
		counts.refused.Add(1)
	default:
		counts.failed.Add(1)
	}
	w.checker.checkOutcome(id, target, rec.Code, violation)
}

// serve calls the handler and reports whether it aborted the answer.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (truncated bool) {
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			truncated = true
		}
	}()
	h.ServeHTTP(w, r)
	return false
}

// checkAnswer returns what is wrong with a complete answer, or an empty string. A correct answer
// is signed and has every event once, all of the version that its header reports.
func checkAnswer(rec *httptest.ResponseRecorder) string {
	var want strings.Builder
	version := rec.Header().Get("X-Weight-Versions")
	for i := 1; i <= answerEvents; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: e%d of %s\n\n", i, i, version)
	}
	if got := rec.Body.String(); got != want.String() {
		return fmt.Sprintf("answer of version %q is %q", version, got)
	}
	if rec.Header().Get("X-Replica-Signature") == "" {
		return "answer without a signature"
	}
	return ""
}
