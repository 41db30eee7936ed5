package feed

import (
	"context"
	"net/http"
	"testing"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/bounded/boundedtest"
)

// A header that the platform sent without end was read for 10 MB.
func TestPlatformBytesWithoutEndAreBrokenOff(t *testing.T) {
	t.Run("head", func(t *testing.T) {
		boundedtest.Run(t, maxList, func(ctx context.Context, c *http.Client, addr string) error {
			_, err := (&Platform{URL: "http://" + addr, Client: c}).Head(ctx, 0, 0)
			return err
		})
	})
	t.Run("document", func(t *testing.T) {
		boundedtest.Run(t, config.MaxDocument, func(ctx context.Context, c *http.Client, addr string) error {
			_, err := (&Platform{URL: "http://" + addr, Client: c}).Doc(ctx, "digest")
			return err
		})
	})
}
