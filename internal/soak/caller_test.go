package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is what a caller received for one request.
type reply struct {
	status int // 0 if the connection ended without a header.
	header http.Header
	body   string
	err    error // How the answer broke off; nil if it is whole.
	took   time.Duration
}

// whole reports whether the request got a complete answer of any status.
func (r *reply) whole() bool { return r.status != 0 && r.err == nil }

func (r *reply) String() string {
	return fmt.Sprintf("status=%d bytes=%d err=%v took=%v", r.status, len(r.body), r.err, r.took.Round(time.Millisecond))
}

// caller is a client with one connection, which it uses until the other side closes it.
type caller struct {
	addr string
	body string // Of each request; "body" if empty.
	// readPause, if set, is the pause after each small part of an answer that is read.
	readPause time.Duration
	conn      net.Conn
	r         *bufio.Reader
}

// errNotConnected is returned for requests that could not be sent, since no process listens.
var errNotConnected = errors.New("not connected")

// send sends a request and reads its answer. It connects if the gateway has closed the connection
// since the last answer.
func (c *caller) send(id, target string, timeout time.Duration, header ...string) *reply {
	began := time.Now()
	rep := c.exchange(id, target, timeout, header)
	rep.took = time.Since(began)
	return rep
}

func (c *caller) exchange(id, target string, timeout time.Duration, header []string) *reply {
	if c.conn != nil && c.closedByPeer() {
		c.close()
	}
	if c.conn == nil {
		nc, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return &reply{err: fmt.Errorf("%w: %w", errNotConnected, err)}
		}
		c.conn, c.r = nc, bufio.NewReader(nc)
		if c.readPause > 0 {
			c.r = bufio.NewReader(&slowReader{nc, c.readPause})
		}
	}
	const slack = 3 * time.Second
	_ = c.conn.SetDeadline(time.Now().Add(timeout + slack))
	body := c.body
	if body == "" {
		body = "body"
	}
	lines := append([]string{
		"POST " + target + " HTTP/1.1", "Host: h.example", "X-Attempt-Id: " + id, "Authorization: Bearer k",
		fmt.Sprintf("X-Deadline-Ms: %d", timeout.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(body)),
	}, header...)
	if _, err := io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+body); err != nil {
		c.close()
		return &reply{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.close()
		return &reply{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// slowReader reads from a connection in small parts, with a pause after each.
type slowReader struct {
	conn  net.Conn
	pause time.Duration
}

func (s *slowReader) Read(b []byte) (int, error) {
	const part = 64
	n, err := s.conn.Read(b[:min(len(b), part)])
	if n > 0 {
		time.Sleep(s.pause)
	}
	return n, err
}

// closedByPeer reports whether the other side has closed the connection, which was idle.
func (c *caller) closedByPeer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	var ne net.Error
	return !(errors.As(err, &ne) && ne.Timeout())
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// events returns the events from to to of a stream of platformtest.Replica.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}
