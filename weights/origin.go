package weights

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/kernel"
)

// OriginClient fetches chunks and manifests from the origin over HTTP.
type OriginClient struct {
	URL  string
	HTTP *http.Client
}

// Get fetches the data with the given digest, of at most maxBytes. If the origin answers 429 or 503, Get waits for
// the time in Retry-After, bounded by a few seconds, and fails with fault.Throttled, so that
// the plan can use another source.
func (o *OriginClient) Get(ctx context.Context, digest string, maxBytes int) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.URL+"/blobs/"+digest, nil)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, digest)
	}
	c := o.HTTP
	if c == nil {
		c = bounded.DefaultClient
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, "origin")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kernel.Sleep(ctx, retryAfter(resp))
		return nil, fault.New(fault.Throttled, "origin")
	default:
		return nil, fault.New(fault.UpstreamFailed, "origin: "+resp.Status)
	}
	return bounded.ReadAll(resp.Body, int64(maxBytes), "origin")
}

func retryAfter(resp *http.Response) time.Duration {
	const most = 5 * time.Second
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return min(most, time.Duration(s)*time.Second)
}
