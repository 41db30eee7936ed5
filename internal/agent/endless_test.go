package agent

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/bounded/boundedtest"
	"github.com/poststand/poststand/internal/settings"
)

// executeEndless has an agent run a request on an engine that answers without end.
func executeEndless(t *testing.T, k boundedtest.Kind, stream bool) error {
	a, err := New(&settings.Agent{Engine: "http://" + boundedtest.Serve(t, k)}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d := &dispatch.Dispatch{Method: "POST", Path: "/", Stream: stream}
	return a.execute(ctx, &dispatch.Record{Dispatch: d, Answer: &dispatch.Answer{}})
}

// Headers of an engine and of the origin were read for 10 MB.
func TestHeadersWithoutEndAreBrokenOff(t *testing.T) {
	for _, k := range boundedtest.Heads {
		t.Run(k.Name, func(t *testing.T) {
			is := is.New(t)
			limit := strconv.Itoa(bounded.MaxHeader)
			err := executeEndless(t, k, false)
			is.True(err != nil && strings.Contains(err.Error(), limit))

			a, err := New(&settings.Agent{Origin: "http://" + boundedtest.Serve(t, k)}, Options{})
			is.NoErr(err)
			defer a.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = a.exchange.FetchOrigin(ctx, "digest")
			is.True(err != nil && strings.Contains(err.Error(), limit))
		})
	}
}
