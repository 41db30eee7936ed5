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

// Headers that callers may set and read.
const (
	HeaderOrganisation = "Poststand-Organisation"
	HeaderPriority     = "Poststand-Priority" // 0 to 9; 5 without it.
	HeaderTimeout      = "Poststand-Timeout"  // Such as 5s.
	HeaderKey          = "Idempotency-Key"
	HeaderUnsafe       = "Poststand-Unsafe"  // "true" or "false".
	HeaderOutcome      = "Poststand-Outcome" // Of the answer: ran, not_run or unknown.
	HeaderVersion      = "Poststand-Version" // Digest of the version that answered.
	HeaderRevision     = "Poststand-Revision"
)

const (
	defaultPriority = 5
	maxPriority     = 9
	maxKey          = 256
	chatPath        = "/v1/chat/completions"
)

// Callers returns the interface for callers.
func (g *Gateway) Callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, g.serveChat)
	mux.HandleFunc("/services/{service}/{path...}", g.servePlain)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.fail(w, refused(fault.New(fault.NoService, r.URL.Path), time.Time{}))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

// chat is what a gateway reads of a chat completion request.
type chat struct {
	Model    string `json:"model"` // A service, or "service:adapter".
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (g *Gateway) serveChat(w http.ResponseWriter, r *http.Request) {
	d, err := g.read(w, r)
	var c chat
	if err == nil {
		if jerr := json.Unmarshal(d.Body, &c); jerr != nil {
			err = fault.Wrap(fault.BadRequest, jerr, "body")
		}
	}
	if err != nil {
		g.fail(w, refused(err, time.Time{}))
		return
	}
	d.Service, d.Adapter, _ = strings.Cut(c.Model, ":")
	d.Path, d.Stream = chatPath, c.Stream
	g.answer(w, r, d, config.KindModel)
}

func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	d, err := g.read(w, r)
	if err != nil {
		g.fail(w, refused(err, time.Time{}))
		return
	}
	d.Service = r.PathValue("service")
	d.Path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		d.Path += "?" + r.URL.RawQuery
	}
	if r.Header.Get(HeaderUnsafe) == "" {
		d.Unsafe = !safeMethod(r.Method)
	}
	g.answer(w, r, d, config.KindPlain)
}

// safeMethod reports whether HTTP itself says that a method may be repeated.
func safeMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// read takes what all requests have in common.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request) (*dispatch.Dispatch, error) {
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
	if len(key) > maxKey {
		return fault.New(fault.BadRequest, HeaderKey+": over 256 bytes")
	}
	d.Key = d.Organisation + "\x00" + key
	d.KeyDigest = weights.Digest([]byte(r.Method + " " + r.URL.RequestURI() + "\n" + string(d.Body)))
	return nil
}

func (g *Gateway) readDeadline(r *http.Request, d *dispatch.Dispatch) error {
	cfg := g.holder.Get().Config
	if cfg == nil {
		return fault.New(fault.NotReady, "no configuration")
	}
	wait := cfg.Limits.Deadline
	if v := r.Header.Get(HeaderTimeout); v != "" {
		t, err := time.ParseDuration(v)
		if err != nil || t <= 0 {
			return fault.New(fault.BadRequest, HeaderTimeout+": want a duration such as 5s")
		}
		wait = t
	}
	d.Deadline = time.Now().Add(wait).Round(0)
	return nil
}

// answer runs a request and gives its caller the one final answer.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, d *dispatch.Dispatch, kind string) {
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
		g.fail(w, refused(err, time.Time{}))
		return
	}
	// A caller that goes away ends the request only if it is safe to do so.
	ctx := r.Context()
	if rq.d.Unsafe {
		ctx = context.WithoutCancel(ctx)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	out := &writer{gateway: g, w: w, rq: rq}
	res := g.process(ctx, rq, out.sink())
	g.Metrics.Whole(time.Since(rq.arrived).Seconds())
	g.Metrics.Outcome(res.Outcome.String(), res.Reason)
	out.finish(res)
}

// checkOrganisation refuses organisations that are not declared, if any are.
func checkOrganisation(rq *request) error {
	orgs := rq.view.Config.Organisations
	if _, ok := orgs[rq.d.Organisation]; !ok && len(orgs) > 0 {
		return fault.New(fault.BadRequest, HeaderOrganisation+": not declared")
	}
	return nil
}

// prefixOf is the part of a prompt that an engine's prefix cache would share:
// the first message when there are several, else the first bytes.
func prefixOf(d *dispatch.Dispatch) string {
	const shared = 256
	var c chat
	if d.Path != chatPath || json.Unmarshal(d.Body, &c) != nil || len(c.Messages) == 0 {
		return ""
	}
	first := c.Messages[0].Content
	if len(c.Messages) == 1 {
		if len(first) < shared {
			return ""
		}
		first = first[:shared]
	}
	return d.Organisation + "/" + first
}
