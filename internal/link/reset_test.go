package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The rest of a call that was given up arrived after its connection had been closed.
func TestUnsentDataIsDroppedAtClose(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	c, err := DialReset(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	served, err := ln.Accept()
	is.NoErr(err)
	defer func() { _ = served.Close() }()
	const fillTime = 200 * time.Millisecond // Until the buffers of both sides are full.
	is.NoErr(c.SetWriteDeadline(time.Now().Add(fillTime)))
	sent, err := c.Write(make([]byte, 64<<20))
	is.True(err != nil)
	is.NoErr(c.Close())
	received, _ := io.Copy(io.Discard, served)
	is.True(int(received) < sent) // The rest was dropped.
}
