package relay

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/drain"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
)

// bearer is the prefix of an API key in the Authorization header.
const bearer = "Bearer "

// ServeHTTP handles one request of a caller.
func (g *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	rq, err := g.readRequest(w, r, began)
	if err != nil {
		g.refuse(w, r, rq, dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.CodeOf(err)}, err)
		return
	}
	rq.inFlight = drain.Request{ID: rq.id, Service: rq.service, ArrivedAt: rq.arrivedAt, Deadline: rq.deadline}
	defer g.inFlight.Add(&rq.inFlight)()
	defer g.logPanic(rq.id)
	out := &answer{relay: g, w: w, rq: rq}
	res := g.process(r.Context(), rq, out)
	_ = out.closeBuffer() // The response ends with this call, also where the answer is cut.
	g.Metrics.FullAnswer(time.Since(began).Seconds())
	g.Metrics.Outcome(res.Outcome.String(), res.Reason)
	g.logRequest(rq, out, res)
	g.logBroken(rq, out, res)
	if res.Outcome == dispatch.Done {
		g.recordCompletion(rq, res)
		return
	}
	if out.started {
		// Part of the answer has been sent; the abort shows the caller that it is truncated.
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, r, rq, res, nil)
}

// readRequest reads and checks a request and determines its route, organisation, deadline and
// service. If it returns an error, only the fields set by then are filled in.
func (g *Relay) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*request, error) {
	names := g.headers
	rq := &request{
		id: r.Header.Get(names.RequestID), method: r.Method, target: r.RequestURI, host: r.Host,
		catalog: g.catalog.Get(), arrivedAt: now, lastEventID: r.Header.Get(names.LastEventID),
	}
	c := rq.catalog
	if c.Config == nil {
		return rq, fault.New(fault.NotReady, "no configuration")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var ok bool
	if rq.routeName, rq.route, ok = c.Routing.Find(hostOf(r.Host), path); !ok {
		return rq, fault.New(fault.NoService, path)
	}
	if err := rq.authenticate(r.Header.Get("Authorization")); err != nil {
		return rq, err
	}
	if rq.id == "" {
		return rq, fault.New(fault.BadRequest, "missing header "+names.RequestID)
	}
	timeout := rq.route.Timeout
	if v := r.Header.Get(names.Deadline); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 || n > math.MaxInt32 {
			return rq, fault.New(fault.BadRequest, names.Deadline)
		}
		left := time.Duration(n * float64(time.Millisecond))
		timeout = min(timeout, left)
	}
	rq.deadline = now.Add(timeout)
	rq.service = chooseService(rq.route.Services)
	rq.workload = parseWorkload(names, r.Header, c.Config.Services[rq.service].Engine)
	if rq.runsModel() {
		rq.parts = sharedParts(r.Header.Get(names.PromptParts))
	}
	rq.header = rq.forwardedHeader(names, r.Header)
	if err := rq.readBody(w, r, c.Config.Callers.BodyBytes); err != nil {
		return rq, err
	}
	rq.setKeys()
	rq.attempt = g.recogniseRetry(now, rq.key)
	return rq, nil
}

// authenticate determines the organisation of a request by its API key.
func (rq *request) authenticate(authorization string) error {
	rq.rank = rq.route.Priority
	routing := rq.catalog.Routing
	if rq.route.Public || !routing.KeyRequired {
		return nil
	}
	key, ok := strings.CutPrefix(authorization, bearer)
	owner, known := routing.Owner(strings.TrimSpace(key))
	if !ok || !known {
		return fault.New(fault.UnknownKey, "")
	}
	rq.organisation = owner
	if o := rq.catalog.Config.Organisations[owner]; o.HasPriority {
		rq.rank = o.Priority
	}
	return nil
}

// readBody reads the whole body, so that the request can be sent more than once and a
// disconnect of the caller is detected.
func (rq *request) readBody(w http.ResponseWriter, r *http.Request, maxBytes int) error {
	const defaultMaxBytes = 4 << 20
	if maxBytes <= 0 {
		maxBytes = defaultMaxBytes
	}
	if r.ContentLength > int64(maxBytes) {
		return fault.New(fault.TooLarge, "request body exceeds the size limit")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(rq.deadline)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var err error
	if rq.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBytes))); err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.Wrap(fault.TooLarge, err, "reading the request body")
	case isTimeout(err):
		return fault.Wrap(fault.Timeout, err, "reading the request body")
	}
	return fault.Wrap(fault.BadRequest, err, "reading the request body")
}

// hostOf returns a host without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// chooseService picks one of a route's services at random by weight.
func chooseService(weights map[string]int) string {
	total := 0
	for _, w := range weights {
		total += max(0, w)
	}
	if total == 0 {
		for name := range weights {
			return name
		}
		return ""
	}
	n := rand.IntN(total)
	for name, w := range weights {
		if n -= max(0, w); n < 0 {
			return name
		}
	}
	return ""
}

// statusOf maps a refusal to an HTTP status.
func statusOf(res dispatch.Result) int {
	switch res.Reason {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.UnknownKey:
		return http.StatusUnauthorized
	case fault.NoService:
		return http.StatusNotFound
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case res.Outcome == dispatch.NotRun:
		return http.StatusServiceUnavailable
	case res.Reason == fault.Timeout || res.Reason == fault.PastDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse sends the refusal of a request to its caller.
func (g *Relay) refuse(w http.ResponseWriter, r *http.Request, rq *request, res dispatch.Result, err error) {
	g.Metrics.Refused(res.Reason)
	status := statusOf(res)
	h := w.Header()
	if rq != nil && rq.id != "" {
		h.Set(g.headers.RequestID, rq.id)
	}
	if status == http.StatusServiceUnavailable {
		if res.RetryAt.IsZero() {
			res.RetryAt = g.retryTime(time.Now(), rq, res.Reason)
		}
		if r.Context().Err() == nil { // A caller that has gone does not learn when to retry.
			g.expectRetry(time.Now(), rq, res.RetryAt)
		}
		h.Set("Retry-After", times.FormatSeconds(time.Until(res.RetryAt)))
	}
	if err != nil {
		telemetry.Log("refused", "id", rq.id, "status", status, "reason", res.Reason, "detail", err.Error(),
			"host", r.Host, "route", rq.routeName, "revision", rq.catalog.Position, "version", rq.catalog.Version)
	}
	h.Set("Content-Length", "0")
	g.setConnectionClose(h)
	w.WriteHeader(status)
}

// setConnectionClose asks the caller not to reuse its connection while the process drains.
func (g *Relay) setConnectionClose(h http.Header) {
	if g.draining() {
		h.Set("Connection", "close")
	}
}
