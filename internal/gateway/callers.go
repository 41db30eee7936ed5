package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

// Headers of requests from callers and of the answers to them.
const (
	HeaderOrganisation = "Poststand-Organisation"
	HeaderPriority     = "Poststand-Priority" // 0 to 9; 5 by default.
	HeaderTimeout      = "Poststand-Timeout"  // A duration such as 5s.
	HeaderKey          = "Idempotency-Key"
	HeaderUnsafe       = "Poststand-Unsafe"  // "true" or "false".
	HeaderOutcome      = "Poststand-Outcome" // Set on answers: ran, not_run or unknown.
	HeaderVersion      = "Poststand-Version" // Set on answers: digest of the version that answered.
	HeaderRevision     = "Poststand-Revision"
)

const (
	defaultPriority = 5
	maxPriority     = 9
	maxKeyBytes     = 256
	chatPath        = "/v1/chat/completions"
)

// CallerHandler returns the HTTP handler for callers.
func (g *Gateway) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, g.serveChat)
	mux.HandleFunc("/services/{service}/{path...}", g.servePlain)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.writeError(w, refusal(fault.New(fault.NoService, r.URL.Path), time.Time{}))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

// chat is the part of a chat completion request that a gateway reads.
type chat struct {
	Model    string `json:"model"` // "service" or "service:adapter".
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (g *Gateway) serveChat(w http.ResponseWriter, r *http.Request) {
	d, err := g.readRequest(w, r)
	var c chat
	if err == nil {
		if jerr := json.Unmarshal(d.Body, &c); jerr != nil {
			err = fault.Wrap(fault.BadRequest, jerr, "body")
		}
	}
	if err != nil {
		g.writeError(w, refusal(err, time.Time{}))
		return
	}
	d.Service, d.Adapter, _ = strings.Cut(c.Model, ":")
	d.Path, d.Stream = chatPath, c.Stream
	g.serveRequest(w, r, d, config.KindModel)
}

func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	d, err := g.readRequest(w, r)
	if err != nil {
		g.writeError(w, refusal(err, time.Time{}))
		return
	}
	d.Service = r.PathValue("service")
	d.Path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		d.Path += "?" + r.URL.RawQuery
	}
	if r.Header.Get(HeaderUnsafe) == "" {
		d.Unsafe = !idempotentMethod(r.Method)
	}
	g.serveRequest(w, r, d, config.KindPlain)
}

// idempotentMethod reports whether HTTP defines a method as idempotent.
func idempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// readRequest reads the parts that all requests have in common.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request) (*dispatch.Dispatch, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(g.Settings.MaxBody)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, fault.Wrap(fault.TooLarge, err, "body")
		}
		return nil, fault.Wrap(fault.BadRequest, err, "body")
	}
	d := &dispatch.Dispatch{
		Method: r.Method, ContentType: r.Header.Get("Content-Type"), Body: body,
		Organisation: r.Header.Get(HeaderOrganisation), Priority: defaultPriority,
	}
	if v := r.Header.Get(HeaderPriority); v != "" {
		if d.Priority, err = strconv.Atoi(v); err != nil || d.Priority < 0 || d.Priority > maxPriority {
			return nil, fault.New(fault.BadRequest, HeaderPriority+": want 0 to 9")
		}
	}
	if v := r.Header.Get(HeaderUnsafe); v != "" {
		if d.Unsafe, err = strconv.ParseBool(v); err != nil {
			return nil, fault.New(fault.BadRequest, HeaderUnsafe+": want true or false")
		}
	}
	if err := g.readKey(r, d); err != nil {
		return nil, err
	}
	return d, g.readDeadline(r, d)
}

func (g *Gateway) readKey(r *http.Request, d *dispatch.Dispatch) error {
	key := r.Header.Get(HeaderKey)
	if key == "" {
		return nil
	}
	if len(key) > maxKeyBytes {
		return fault.New(fault.BadRequest, HeaderKey+": over 256 bytes")
	}
	d.Key = d.Organisation + "\x00" + key
	d.KeyDigest = weights.Digest([]byte(r.Method + " " + r.URL.RequestURI() + "\n" + string(d.Body)))
	return nil
}

func (g *Gateway) readDeadline(r *http.Request, d *dispatch.Dispatch) error {
	cfg := g.holder.Get().Config
	if cfg == nil {
		return fault.New(fault.NotReady, "no configuration received")
	}
	timeout := cfg.Limits.Deadline
	if v := r.Header.Get(HeaderTimeout); v != "" {
		t, err := time.ParseDuration(v)
		if err != nil || t <= 0 {
			return fault.New(fault.BadRequest, HeaderTimeout+": want a duration such as 5s")
		}
		timeout = t
	}
	d.Deadline = time.Now().Add(timeout).Round(0)
	return nil
}

// serveRequest processes a request and sends the final answer to its caller.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request, d *dispatch.Dispatch, kind string) {
	rq, err := g.newRequest(*d)
	if err == nil && rq.service.Kind != kind {
		err = fault.New(fault.NoService, d.Service+" is not a "+kind+" service")
	}
	if err == nil && d.Adapter != "" && !slices.Contains(rq.service.Adapters, d.Adapter) {
		err = fault.New(fault.NoService, d.Service+" has no adapter "+d.Adapter)
	}
	if err == nil {
		err = checkOrganisation(rq)
	}
	if err != nil {
		g.writeError(w, refusal(err, time.Time{}))
		return
	}
	// A caller that disconnects cancels its request, unless the request is unsafe.
	ctx := r.Context()
	if rq.d.Unsafe {
		ctx = context.WithoutCancel(ctx)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	out := &writer{gateway: g, w: w, rq: rq}
	res := g.process(ctx, rq, out.sink())
	g.Metrics.FullAnswer(time.Since(rq.arrived).Seconds())
	g.Metrics.Outcome(res.Outcome.String(), res.Reason)
	out.finish(res)
}

// checkOrganisation returns an error for an undeclared organisation, unless the
// configuration declares none at all.
func checkOrganisation(rq *request) error {
	orgs := rq.view.Config.Organisations
	if _, ok := orgs[rq.d.Organisation]; !ok && len(orgs) > 0 {
		return fault.New(fault.BadRequest, HeaderOrganisation+": organisation not declared")
	}
	return nil
}

// promptPrefix returns the part of a prompt that requests are likely to share in an
// engine's prefix cache: the first message if there are several, or else the first
// 256 bytes. It returns an empty string if there is no such part.
func promptPrefix(d *dispatch.Dispatch) string {
	const prefixBytes = 256
	var c chat
	if d.Path != chatPath || json.Unmarshal(d.Body, &c) != nil || len(c.Messages) == 0 {
		return ""
	}
	first := c.Messages[0].Content
	if len(c.Messages) == 1 {
		if len(first) < prefixBytes {
			return ""
		}
		first = first[:prefixBytes]
	}
	return d.Organisation + "/" + first
}
