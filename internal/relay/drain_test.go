package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
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

// A gateway that is told to stop begins nothing that it may have to cut. On a deployment
// where the gateways of a hall were told to stop 0.6 s apart, the balancer went on using
// them all, and a stream that was sent 3.04 s after the stop was begun. Its replica ran it
// for 4.3 to 4.6 s, and 7.7 s after the stop the gateway left and cut it. A caller that is turned
// away goes to another gateway at once, so what it is told must be true: it was not run.
func TestStoppingGatewayBeginsNothingThatItMayCut(t *testing.T) {
	const late = 3040 * time.Millisecond
	cases := []struct {
		name   string
		path   string
		asks   time.Duration // When the request is sent after the stop.
		waits  time.Duration // For how long its caller waits for it.
		events int           // Of a stream, 50 ms apart.
		silent bool          // The replica gives no answer.
		status int
		runs   int
	}{
		{"a stream, early", "/s/", time.Second, 6 * time.Second, 60, false, http.StatusOK, 1},
		{"a stream, as late as one that may be cut", "/s/", 2600 * time.Millisecond, 6 * time.Second, 60, false, http.StatusOK, 1},
		{"a long stream, late", "/s/", late, 6 * time.Second, 100, false, http.StatusServiceUnavailable, 0},
		{"a stream that might be long, late", "/s/", late, 6 * time.Second, 4, false, http.StatusServiceUnavailable, 0},
		{"a stream whose caller waits no longer than the gateway stays, late", "/s/", late, 4 * time.Second, 60, false, http.StatusOK, 1},
		{"a plain request, late", "/safe/", late, 6 * time.Second, 0, false, http.StatusOK, 1},
		{"a plain request that gets no answer, late", "/unsafe/", late, 6 * time.Second, 0, true, http.StatusGatewayTimeout, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			replicas := plain(1)
			if tc.events > 0 {
				replicas = engines(1, tc.events)
			}
			replicas[0].Handle = func(int, *platformtest.Exchange) bool { return tc.silent }
			run(t, 1, replicas, func(_ *is.I, w *world) {
				is := is.NewRelaxed(w.t) // What fails is told, and the rest is played to its end.
				ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				stop, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go func() { done <- w.gateways[0].ServeCallers(stop, context.Background(), ln) }()
				cancel()
				time.Sleep(tc.asks)
				caller, server := net.Pipe()
				defer func() { _ = caller.Close() }()
				ln.conns <- server
				asked := time.Now()
				_, err := fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: %d\r\n"+
					"Authorization: Bearer k\r\nContent-Length: 4\r\n\r\nbody", tc.path, tc.waits.Milliseconds())
				is.NoErr(err)
				r := bufio.NewReader(caller)
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				if err != nil {
					is.NoErr(<-done)
					return
				}
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err) // It is whole.
				is.Equal(resp.StatusCode, tc.status)
				is.Equal(runs(replicas), tc.runs)
				is.True(resp.Close) // The caller uses the connection no more.
				if tc.status == http.StatusOK && tc.events > 0 {
					is.Equal(string(body), events(1, tc.events))
				}
				if tc.status == http.StatusServiceUnavailable {
					is.True(time.Since(asked) < 50*time.Millisecond)
					back, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
					is.NoErr(err)
					is.True(back <= 200*time.Millisecond) // Other gateways are ready.
				}
				_, err = r.ReadByte()
				is.Equal(err, io.EOF)
				is.NoErr(<-done)
			})
		})
	}
}
