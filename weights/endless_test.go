package weights

import (
	"context"
	"net/http"
	"testing"

	"github.com/poststand/poststand/internal/bounded/boundedtest"
)

// A chunk that the origin sent without end was cut and taken for whole, and a header was read for 10 MB.
func TestOriginBytesWithoutEndAreBrokenOff(t *testing.T) {
	const size = 24 << 10
	boundedtest.Run(t, size, func(ctx context.Context, c *http.Client, addr string) error {
		_, err := (&OriginClient{URL: "http://" + addr, HTTP: c}).Get(ctx, "digest", size)
		return err
	})
}
