// Package engine implements the protocol between the agent of a box and its model
// engine: orders, state, requests and weights.
//
// A Client sends orders and requests to an engine and reads its State. Only the
// agent of the box sends orders. Each Order carries a Fence, and an engine that
// checks fences refuses an order that is older than its last one. An engine pulls
// weights from the source that the order names, with Pull.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

// Headers between agent and engine.
const (
	HeaderRequest = "X-Engine-Request" // ID by which the request is cancelled or resumed.
	HeaderAdapter = "X-Engine-Adapter"
	HeaderResume  = "X-Engine-Resume-From" // Number of the first event that is missing.
	HeaderDigest  = "X-Engine-Digest"      // Digest of the version that answers.
)

// maxState limits the state that is read, in bytes.
const maxState = 256 << 10

// Fence determines which of two orders is newer: first by the incarnation of the agent,
// then by the revision of the configuration, then by the number of the order.
type Fence struct {
	Revision    uint64 `json:"revision"`
	Incarnation uint64 `json:"incarnation"`     // Increases with each start of the agent.
	Order       uint64 `json:"order,omitempty"` // Increases with each order of an agent: a box may be assigned anew at one revision.
}

// Before reports whether f is older than g.
func (f Fence) Before(g Fence) bool {
	if f.Incarnation != g.Incarnation {
		return f.Incarnation < g.Incarnation
	}
	if f.Revision != g.Revision {
		return f.Revision < g.Revision
	}
	return f.Order < g.Order
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order instructs an engine to load or unload a version, or to change its role.
type Order struct {
	Kind     OrderKind         `json:"kind"`
	Fence    Fence             `json:"fence"`
	Digest   string            `json:"digest,omitempty"`
	Adapters map[string]string `json:"adapters,omitempty"` // Digests by name.
	Role     string            `json:"role,omitempty"`
	Source   string            `json:"source,omitempty"` // URL from which the engine pulls weights.
}

// State is the state that an engine reports.
type State struct {
	Digest   string            `json:"digest"` // Digest of the loaded version, or empty.
	Adapters map[string]string `json:"adapters"`
	Role     string            `json:"role"`
	Fence    Fence             `json:"fence"`
	Running  int               `json:"running"` // Requests in progress; may be out of date.
}

// Client is a client of one engine.
type Client struct {
	URL  string
	HTTP *http.Client
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return bounded.DefaultClient
	}
	return c.HTTP
}

// Order sends an order and returns the state of the engine after it.
func (c *Client) Order(ctx context.Context, o Order) (*State, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "order")
	}
	return c.state(ctx, http.MethodPost, "/orders", b)
}

// State returns the current state of the engine.
func (c *Client) State(ctx context.Context) (*State, error) {
	return c.state(ctx, http.MethodGet, "/state", nil)
}

func (c *Client) state(ctx context.Context, method, path string, body []byte) (*State, error) {
	resp, err := c.do(ctx, method, path, body, nil, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, fault.New(fault.FencedOrder, path)
	default:
		return nil, fault.New(fault.UpstreamFailed, path+": "+resp.Status)
	}
	var s State
	if err := bounded.DecodeJSON(resp.Body, maxState, "engine state", &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header, once bool) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, path)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if once && methodIsRepeated(method) {
		req.Body, req.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, path)
	}
	return resp, nil
}

// methodIsRepeated reports whether http.Transport sends a request with the method again if its connection
// closes before an answer, unless its body can't be read a second time.
func methodIsRepeated(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// Run sends a request to the engine or plain service. Once it is called, the
// request may have run, even if it returns an error. If once is set, it has run at most once.
func (c *Client) Run(ctx context.Context, method, path string, body []byte, header http.Header, once bool) (*http.Response, error) {
	return c.do(ctx, method, path, body, header, once)
}

// Cancel cancels a request for whose answer no process waits any more. It ignores errors.
func (c *Client) Cancel(ctx context.Context, id string) {
	resp, err := c.do(ctx, http.MethodPost, "/cancel/"+id, nil, nil, false)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Pull downloads a manifest or chunk, of at most maxBytes, from the source of an order. Engines use it.
func Pull(c *http.Client, source, digest string, maxBytes int) ([]byte, error) {
	if c == nil {
		c = bounded.DefaultClient
	}
	resp, err := c.Get(source + "/blobs/" + digest)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, source)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.NotHeld, digest)
	}
	return bounded.ReadAll(resp.Body, int64(maxBytes), digest)
}
