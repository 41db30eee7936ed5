// Package engine speaks to the model engine of a box: orders, state, weights
// and requests. The agent of the box is the only one to give orders; an order
// carries a fence, and an engine that checks orders refuses an older one.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/poststand/poststand/fault"
)

// Headers between agent and engine.
const (
	HeaderRequest = "X-Engine-Request" // The id to cancel or resume by.
	HeaderAdapter = "X-Engine-Adapter"
	HeaderResume  = "X-Engine-Resume-From" // The first event that is missing.
	HeaderDigest  = "X-Engine-Digest"      // The version that answers.
)

// Fence orders the orders: by revision, then by the agent's start.
type Fence struct {
	Revision    uint64 `json:"revision"`
	Incarnation uint64 `json:"incarnation"` // Rises with each start of an agent.
}

// Before reports whether f is older than g.
func (f Fence) Before(g Fence) bool {
	if f.Incarnation != g.Incarnation {
		return f.Incarnation < g.Incarnation
	}
	return f.Revision < g.Revision
}

// OrderKind is what an order asks.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells an engine what to load or to be.
type Order struct {
	Kind     OrderKind         `json:"kind"`
	Fence    Fence             `json:"fence"`
	Digest   string            `json:"digest,omitempty"`
	Adapters map[string]string `json:"adapters,omitempty"` // Digests by name.
	Role     string            `json:"role,omitempty"`
	Source   string            `json:"source,omitempty"` // Where the engine pulls weights from.
}

// State is what an engine says of itself.
type State struct {
	Digest   string            `json:"digest"` // The version that is loaded, or empty.
	Adapters map[string]string `json:"adapters"`
	Role     string            `json:"role"`
	Fence    Fence             `json:"fence"`
	Running  int               `json:"running"` // Lags.
}

// Client speaks to one engine.
type Client struct {
	URL  string
	HTTP *http.Client
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// Order gives an order and returns the engine's state after it.
func (c *Client) Order(ctx context.Context, o Order) (*State, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "order")
	}
	return c.state(ctx, http.MethodPost, "/orders", b)
}

// State asks the engine how it stands.
func (c *Client) State(ctx context.Context) (*State, error) {
	return c.state(ctx, http.MethodGet, "/state", nil)
}

func (c *Client) state(ctx context.Context, method, path string, body []byte) (*State, error) {
	resp, err := c.do(ctx, method, path, body, nil)
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
	const maxState = 1 << 20
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s); err != nil {
		return nil, fault.Wrap(fault.Garbage, err, "engine state")
	}
	return &s, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, path)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.UpstreamFailed, err, path)
	}
	return resp, nil
}

// Run sends a request to the engine or plain service. Once it is called, the
// request may have run, whatever it returns.
func (c *Client) Run(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	return c.do(ctx, method, path, body, header)
}

// Cancel tells the engine that nobody waits for a request any more.
func (c *Client) Cancel(ctx context.Context, id string) {
	resp, err := c.do(ctx, http.MethodPost, "/cancel/"+id, nil, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Pull fetches a manifest or chunk from an order's source, for engines.
func Pull(c *http.Client, source, digest string) ([]byte, error) {
	if c == nil {
		c = http.DefaultClient
	}
	resp, err := c.Get(source + "/blobs/" + digest)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, source)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.NotHeld, digest)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fault.Wrap(fault.Closed, err, digest)
	}
	return data, nil
}
