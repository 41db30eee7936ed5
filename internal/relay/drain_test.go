package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipeListener accepts what its test dials.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// lateConn hands on what it read only some time later, as when a process has taken
// bytes from the kernel and has not come to look at them.
type lateConn struct {
	net.Conn
	by time.Duration
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 { // One byte is the server's look for a caller that goes away.
		time.Sleep(c.by)
	}
	return n, err
}

const request = "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer k\r\n\r\n"

// A gateway that is told to stop answers each request that it has read, and ends
// connections only while no request is under way on them.
func TestStoppingGatewayAnswersWhatItHasRead(t *testing.T) {
	cases := []struct {
		name   string
		rests  bool          // An answer was given on the connection before.
		asks   time.Duration // When the request is sent after the stop; negative is before.
		late   time.Duration // For how long it lies read.
		answer bool
	}{
		{"read as the process is told to stop", true, -10 * time.Millisecond, 50 * time.Millisecond, true},
		{"first of its connection, read as the process is told to stop", false, -10 * time.Millisecond, 50 * time.Millisecond, true},
		{"on a new connection while the balancer has not noticed", false, time.Second, 0, true},
		{"read as a new connection's time ends", false, 3190 * time.Millisecond, 100 * time.Millisecond, true},
		{"on a connection that rested", true, time.Second, 0, false},
		{"on a new connection that rested", false, 4 * time.Second, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 1, plain(1), func(is *is.I, w *world) {
				ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				stop, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := make(chan error, 1)
				go func() { done <- w.gateways[0].ServeCallers(stop, context.Background(), ln) }()
				caller, server := net.Pipe()
				defer func() { _ = caller.Close() }()
				ln.conns <- &lateConn{server, tc.late}
				r := bufio.NewReader(caller)
				if tc.rests {
					is.NoErr(exchange(caller, r))
				}
				if tc.asks < 0 {
					time.AfterFunc(-tc.asks, cancel)
				} else {
					cancel()
					time.Sleep(tc.asks)
				}
				began := time.Now()
				err := exchange(caller, r)
				is.Equal(err == nil, tc.answer)
				is.True(time.Since(began) < time.Second)
				_, err = r.ReadByte()
				is.Equal(err, io.EOF) // The connection ends after it.
				is.NoErr(<-done)
			})
		})
	}
}

// exchange sends one request and reads its whole answer.
func exchange(c net.Conn, r *bufio.Reader) error {
	if _, err := io.Copy(c, strings.NewReader(request)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	return err
}
