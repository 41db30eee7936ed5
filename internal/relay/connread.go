package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/poststand/poststand/fault"
)

// A waitNotingReader reads like a net.Conn and calls waits when there is no data and the connection is
// open. Connections of tests implement it.
type waitNotingReader interface {
	ReadNotingWait(p []byte, waits func()) (int, error)
}

// Read implements io.Reader. It fails with fault.AnswerTooLarge beyond the limit on headers.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == nil {
		return c.readNotingWait(p)
	}
	if *c.headLeft <= 0 {
		return 0, errHeadTooLarge()
	}
	n, err := c.readNotingWait(p[:min(len(p), *c.headLeft)])
	*c.headLeft -= n
	return n, err
}

func errHeadTooLarge() error {
	return fault.New(fault.AnswerTooLarge, "header exceeds the size limit")
}

// readNotingWait reads and notes in waitedAt when it has to wait. The kernel gives the error of a
// connection to one caller only, so nothing but reading may look at it while an answer is read.
func (c *conn) readNotingWait(p []byte) (int, error) {
	if r, ok := c.Conn.(waitNotingReader); ok {
		return r.ReadNotingWait(p, func() { c.waitedAt = time.Now() })
	}
	raw, err := c.rawConn()
	if err != nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		at := time.Now() // The process may stand still after the read.
		n, readErr = readIgnoringEINTR(int(fd), p)
		if errors.Is(readErr, syscall.EAGAIN) {
			c.waitedAt = at
			return false
		}
		return true
	})
	switch {
	case err != nil: // The deadline passed, or the connection was closed on this side.
		return 0, err
	case readErr != nil:
		return 0, c.readError(readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// rawConn returns the connection's socket, or an error if it has none.
func (c *conn) rawConn() (syscall.RawConn, error) {
	if c.raw != nil {
		return c.raw, nil
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	c.raw = raw
	return raw, err
}

// readError wraps an error of the socket as net.Conn does.
func (c *conn) readError(err error) error {
	local, remote := c.LocalAddr(), c.RemoteAddr()
	return &net.OpError{Op: "read", Net: remote.Network(), Source: local, Addr: remote, Err: os.NewSyscallError("read", err)}
}

func readIgnoringEINTR(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
