package cmd

import (
	"context"
	"net/http"
	"testing"

	"github.com/poststand/poststand/internal/bounded/boundedtest"
)

// A status without end was cut and taken for whole, and its header was read for 10 MB.
func TestStatusWithoutEndIsBrokenOff(t *testing.T) {
	boundedtest.Run(t, maxStatus, func(ctx context.Context, c *http.Client, addr string) error {
		_, err := fetchStatus(ctx, c, addr)
		return err
	})
}
