package weights

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
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

// A spoilt chunk that was longer than its manifest says counted as an outage of the origin.
func TestChunkThatIsTooLargeIsCorrupt(t *testing.T) {
	x := &Exchange{FetchOrigin: func(context.Context, string, int) ([]byte, error) { return nil, fault.New(fault.TooLarge, "chunk") }}
	_, _, err := (&Transfer{Exchange: x}).fetch(t.Context(), Action{From: Origin}, Chunk{Size: 1}, nil)
	is.New(t).Equal(fault.CodeOf(err), fault.Corrupt)
}
