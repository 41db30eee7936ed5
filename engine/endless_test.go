package engine

import (
	"context"
	"net/http"
	"testing"

	"github.com/poststand/poststand/internal/bounded/boundedtest"
)

// What an engine, or the source of its weights, sent was read for 10 MB, or without end.
func TestBytesWithoutEndAreBrokenOff(t *testing.T) {
	t.Run("state", func(t *testing.T) {
		boundedtest.Run(t, maxState, func(ctx context.Context, c *http.Client, addr string) error {
			_, err := (&Client{URL: "http://" + addr, HTTP: c}).State(ctx)
			return err
		})
	})
	t.Run("order", func(t *testing.T) {
		boundedtest.Run(t, maxState, func(ctx context.Context, c *http.Client, addr string) error {
			_, err := (&Client{URL: "http://" + addr, HTTP: c}).Order(ctx, Order{})
			return err
		})
	})
	t.Run("pull", func(t *testing.T) {
		const size = 24 << 10
		boundedtest.Run(t, size, func(_ context.Context, c *http.Client, addr string) error {
			_, err := Pull(c, "http://"+addr, "digest", size)
			return err
		})
	})
}

// A state that stopped amid its head or its body must not be taken for one with less in it.
func TestStateThatIsCutIsNoState(t *testing.T) {
	const state = `{"digest":"sha256:12","adapters":{"a":"sha256:1"},"role":"both","fence":{"revision":12,"incarnation":12},"running":12}`
	for name, call := range map[string]boundedtest.Call{
		"state": func(ctx context.Context, c *http.Client, addr string) error {
			_, err := (&Client{URL: "http://" + addr, HTTP: c}).State(ctx)
			return err
		},
		"order": func(ctx context.Context, c *http.Client, addr string) error {
			_, err := (&Client{URL: "http://" + addr, HTTP: c}).Order(ctx, Order{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { boundedtest.RunCut(t, state, call) })
	}
}
