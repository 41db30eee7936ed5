package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/bounded"
)

// maxList limits a head or list of the platform, in bytes.
const maxList = 8 << 20

// PlatformHead is the platform's answer to a request for the configuration.
type PlatformHead struct {
	Revision uint64            `json:"revision"`
	Docs     map[string]string `json:"docs"` // Digests by document name.
}

// PlatformFleet is the platform's answer to a request for the fleet list.
type PlatformFleet struct {
	Version uint64               `json:"version"`
	Boxes   map[string]fleet.Box `json:"boxes"`
}

// Platform is a read-only client of the platform's service.
type Platform struct {
	URL    string // Such as "http://127.0.0.1:7000".
	Client *http.Client
}

// Head returns the head of the configuration. It waits up to wait for a revision other
// than known.
func (p *Platform) Head(ctx context.Context, known uint64, wait time.Duration) (*PlatformHead, error) {
	var h PlatformHead
	return &h, p.get(ctx, fmt.Sprintf("/v1/config?known=%d&wait=%s", known, wait), &h)
}

// Fleet returns the fleet list. It waits up to wait for a version other than known.
func (p *Platform) Fleet(ctx context.Context, known uint64, wait time.Duration) (*PlatformFleet, error) {
	var f PlatformFleet
	return &f, p.get(ctx, fmt.Sprintf("/v1/fleet?known=%d&wait=%s", known, wait), &f)
}

// Doc returns the document with the digest.
func (p *Platform) Doc(ctx context.Context, digest string) ([]byte, error) {
	data, err := p.fetch(ctx, "/v1/docs/"+digest, config.MaxDocument)
	if err != nil {
		return nil, err
	}
	if config.DocumentDigest(data) != digest {
		return nil, fault.New(fault.DigestMismatch, digest)
	}
	return data, nil
}

func (p *Platform) get(ctx context.Context, path string, out any) error {
	data, err := p.fetch(ctx, path, maxList)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(fault.Garbage, err, "platform")
	}
	return nil
}

func (p *Platform) fetch(ctx context.Context, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+path, nil)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, path)
	}
	c := p.Client
	if c == nil {
		c = bounded.DefaultClient
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, "platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		code := fault.UpstreamFailed
		if resp.StatusCode == http.StatusTooManyRequests {
			code = fault.Throttled
		}
		return nil, fault.New(code, "platform answered "+strconv.Itoa(resp.StatusCode))
	}
	return bounded.ReadAll(resp.Body, limit, "platform")
}
