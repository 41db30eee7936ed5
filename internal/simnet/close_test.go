package simnet_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
)

// Bytes that were written right before Close were lost at times.
func TestCloseDeliversWhatWasWritten(t *testing.T) {
	const rounds = 5000
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := &simnet.Network{}
			n.Add(&simnet.End{Name: "a", Up: &simnet.Link{}, Down: &simnet.Link{}})
			n.Add(&simnet.End{Name: "b", Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: func(_ context.Context, nc net.Conn) {
				_, _ = nc.Write([]byte("x"))
				_ = nc.Close()
			}})
			c, err := n.Dial(t.Context(), "a", "b")
			is.NoErr(err)
			got, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(string(got), "x")
			n.Remove("a")
			n.Remove("b")
		})
		if t.Failed() {
			return
		}
	}
}
