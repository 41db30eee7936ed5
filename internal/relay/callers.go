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
	"github.com/poststand/poststand/internal/telemetry"
)

// bearer precedes a key.
const bearer = "Bearer "

// ServeHTTP answers one request of a caller.
func (g *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	rq, err := g.readRequest(w, r, began)
	if err != nil {
		g.refuse(w, r, rq, dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.CodeOf(err)}, err)
		return
	}
	out := &answer{relay: g, w: w, rq: rq}
	res := g.process(r.Context(), rq, out)
	g.Metrics.Whole(time.Since(began).Seconds())
	g.Metrics.Outcome(res.Outcome.String(), res.Reason)
	g.logRequest(rq, out, res)
	if res.Outcome == dispatch.Done {
		return
	}
	if out.started {
		// Part of the answer is with the caller; it must look cut short.
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, r, rq, res, nil)
}

// readRequest takes a request in and finds out what it may do. The request it returns
// with an error has only what was known by then.
func (g *Relay) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*request, error) {
	d := g.headers
	rq := &request{
		id: r.Header.Get(d.RequestID), method: r.Method, target: r.RequestURI, host: r.Host,
		catalog: g.catalog.Get(), arrivedAt: now, lastEventID: r.Header.Get(d.LastEventID),
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
		return rq, fault.New(fault.BadRequest, "no "+d.RequestID)
	}
	wait := rq.route.Timeout
	if v := r.Header.Get(d.Deadline); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 || n > math.MaxInt32 {
			return rq, fault.New(fault.BadRequest, d.Deadline)
		}
		left := time.Duration(n * float64(time.Millisecond))
		rq.retried = g.timeouts.isRetry(rq.routeName, left)
		wait = min(wait, left)
	}
	rq.deadline = now.Add(wait)
	rq.service = chooseService(rq.route.Services)
	rq.work = parseWork(d, r.Header, c.Config.Services[rq.service].Engine)
	rq.header = rq.forwardedHeader(d, r.Header)
	if err := rq.readBody(w, r, c.Config.Callers.BodyBytes); err != nil {
		return rq, err
	}
	rq.key = rq.quarantineKey()
	return rq, nil
}

// authenticate finds the organisation that a request is of.
func (rq *request) authenticate(authorization string) error {
	rq.rank = rq.route.Rank
	t := rq.catalog.Routing
	if rq.route.Public || !t.Keyed {
		return nil
	}
	key, ok := strings.CutPrefix(authorization, bearer)
	owner, known := t.Owner(strings.TrimSpace(key))
	if !ok || !known {
		return fault.New(fault.UnknownKey, "")
	}
	rq.organisation = owner
	if o := rq.catalog.Config.Organisations[owner]; o.Ranked {
		rq.rank = o.Rank
	}
	return nil
}

// readBody takes the whole body, so that the request can be sent again and the
// caller's going away is noticed.
func (rq *request) readBody(w http.ResponseWriter, r *http.Request, most int) error {
	const defaultMost = 4 << 20
	if most <= 0 {
		most = defaultMost
	}
	if r.ContentLength > int64(most) {
		return fault.New(fault.TooLarge, "body")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(rq.deadline)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var err error
	if rq.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, int64(most))); err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.Wrap(fault.TooLarge, err, "body")
	case isTimeout(err):
		return fault.Wrap(fault.Timeout, err, "body")
	}
	return fault.Wrap(fault.BadRequest, err, "body")
}

// hostOf returns a host without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// chooseService draws one of the services of a route by their weights.
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
	at := rand.IntN(total)
	for name, w := range weights {
		if at -= max(0, w); at < 0 {
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

// refuse gives a caller its refusal, at once.
func (g *Relay) refuse(w http.ResponseWriter, r *http.Request, rq *request, res dispatch.Result, err error) {
	g.Metrics.Refused(res.Reason)
	status := statusOf(res)
	h := w.Header()
	if rq != nil && rq.id != "" {
		h.Set(g.headers.RequestID, rq.id)
	}
	if status == http.StatusServiceUnavailable {
		if res.RetryAt.IsZero() {
			res.RetryAt = g.retryTime(time.Now(), rq, 0)
		}
		h.Set("Retry-After", strconv.FormatFloat(max(0, time.Until(res.RetryAt).Seconds()), 'f', 2, 64))
	}
	if err != nil {
		telemetry.Log("refused", "id", rq.id, "status", status, "reason", res.Reason, "detail", err.Error(),
			"host", r.Host, "route", rq.routeName, "revision", rq.catalog.Position, "version", rq.catalog.Version)
	}
	h.Set("Content-Length", "0")
	g.setConnectionClose(h)
	w.WriteHeader(status)
}

// setConnectionClose has a caller use its connection no more once the process drains.
func (g *Relay) setConnectionClose(h http.Header) {
	if g.draining() {
		h.Set("Connection", "close")
	}
}
