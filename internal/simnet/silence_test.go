package simnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
)

// echo returns a Serve function that sends back what it receives, and reports how the connection
// ended.
func echo(ended chan<- error) func(ctx context.Context, nc net.Conn) {
	return func(_ context.Context, nc net.Conn) {
		_, err := io.Copy(nc, nc)
		ended <- err
	}
}

// A silent connection loses all data, and closing it does not reach the other side. Connections
// that are opened afterwards, or not selected, work.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &simnet.Network{}
		ended := make(chan error, 3)
		n.Add(&simnet.End{Name: "a", Up: &simnet.Link{}, Down: &simnet.Link{}})
		for _, to := range []string{"b", "c"} {
			n.Add(&simnet.End{Name: to, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: echo(ended)})
		}
		roundTrip := func(c net.Conn) error {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			if _, err := c.Write([]byte("x")); err != nil {
				return err
			}
			_, err := c.Read(make([]byte, 1))
			return err
		}
		dial := func(to string) net.Conn {
			c, err := n.Dial(t.Context(), "a", to)
			is.NoErr(err)
			return c
		}
		old, other := dial("b"), dial("c")
		is.NoErr(roundTrip(old))
		n.Silence(func(_, to string) bool { return to == "b" })
		is.True(errors.Is(roundTrip(old), os.ErrDeadlineExceeded))
		is.NoErr(roundTrip(other))
		fresh := dial("b")
		is.NoErr(roundTrip(fresh))

		is.NoErr(old.Close())
		is.True(errors.Is(roundTrip(old), net.ErrClosed))
		time.Sleep(time.Minute)
		is.Equal(len(ended), 0) // The listener's side is still waiting.
		is.NoErr(fresh.Close())
		is.NoErr(other.Close())
		time.Sleep(time.Second)
		is.Equal(len(ended), 2)
		n.Remove("a")
		n.Remove("b")
		n.Remove("c")
	})
}
