package simnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
)

// A reset that looked like an end in order, or was reported to every caller, hid faults of readers.
func TestResetIsReportedOnce(t *testing.T) {
	type linger interface{ SetLinger(seconds int) error }
	for _, tc := range []struct {
		name  string
		reset func(n *simnet.Network, nc net.Conn)
	}{
		{"aborted", func(_ *simnet.Network, nc net.Conn) {
			_, _ = nc.Write([]byte("x"))
			time.Sleep(time.Second)
			_ = nc.(linger).SetLinger(0)
			_ = nc.Close()
		}},
		{"with the last bytes", func(_ *simnet.Network, nc net.Conn) {
			_ = nc.(interface{ WriteAndReset(b []byte) error }).WriteAndReset([]byte("x"))
		}},
		{"by the network", func(n *simnet.Network, nc net.Conn) {
			_, _ = nc.Write([]byte("x"))
			time.Sleep(time.Second)
			n.Reset(nil)
		}},
	} {
		for _, looks := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n := &simnet.Network{}
					n.Add(&simnet.End{Name: "a", Up: &simnet.Link{}, Down: &simnet.Link{}})
					n.Add(&simnet.End{Name: "b", Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: func(_ context.Context, nc net.Conn) { tc.reset(n, nc) }})
					c, err := n.Dial(t.Context(), "a", "b")
					is.NoErr(err)
					b := make([]byte, 1)
					_, err = c.Read(b)
					is.NoErr(err)
					time.Sleep(2 * time.Second)
					if looks {
						is.True(!c.(interface{ Quiet() bool }).Quiet())
					} else {
						_, err = c.Read(b)
						is.True(errors.Is(err, syscall.ECONNRESET))
					}
					_, err = c.Read(b)
					is.True(err == io.EOF || errors.Is(err, io.ErrClosedPipe))
					n.Remove("a")
					n.Remove("b")
				})
			})
		}
	}
}
