// Package boundedtest serves answers without end, for tests of processes that read what others send.
package boundedtest

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

// MaxRead returns how many bytes a client with a limit may read: 8 bytes go with each chunk of 4 KiB, and its
// buffers and a header before a body need some.
func MaxRead(limit int64) int64 { return limit + limit>>9 + 64<<10 }

const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// A Kind is a kind of answer without end: Begin, and then Repeat again and again.
type Kind struct {
	Name, Begin, Repeat string
}

// Heads are answers whose header has no end.
var Heads = []Kind{
	{"status line", "HTTP/1.1 200 ", "a"},
	{"header line", ok + "X-A: ", "a"},
	{"header lines", ok, "X-A: b\r\n"},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
}

// Bodies are answers whose body has no end and is neither a JSON value nor known to be none.
var Bodies = []Kind{
	{"blanks", ok + "\r\n", " "},
	{"empty lines", ok + "\r\n", "\r\n"},
	{"string", ok + "\r\n\"", "a"},
	{"chunk", ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", " "},
	{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat(" ", 0x1000) + "\r\n"},
}

// Framings are answers of which something around the body has no end.
var Framings = []Kind{
	{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
	{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "a"},
	{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
}

// A Call calls the process at addr. If c is nil, it uses the client that the product uses by default.
type Call func(ctx context.Context, c *http.Client, addr string) error

// Run checks that a call breaks off every kind of answer without end: headers after bounded.MaxHeader, by its
// default client, and bodies with fault.TooLarge after limit bytes. The calls have no deadline: one without a limit
// reads all that Serve sends.
func Run(t *testing.T, limit int64, call Call) {
	for _, k := range Heads {
		t.Run(k.Name, func(t *testing.T) {
			err := call(context.Background(), nil, Serve(t, k))
			if err == nil || !strings.Contains(err.Error(), strconv.Itoa(bounded.MaxHeader)) {
				t.Errorf("error %v doesn't name the limit on headers", err)
			}
		})
	}
	for _, k := range slices.Concat(Bodies, Framings) {
		t.Run(k.Name, func(t *testing.T) {
			var read atomic.Int64
			err := call(context.Background(), &http.Client{Transport: CountingTransport(&read)}, Serve(t, k))
			switch {
			case err == nil:
				t.Errorf("not broken off: %v", err)
			case slices.Contains(Bodies, k) && !fault.Is(err, fault.TooLarge):
				t.Errorf("got %v; want %s", err, fault.TooLarge)
			}
			if n := read.Load(); n > MaxRead(limit) {
				t.Errorf("read %d bytes; want at most %d", n, MaxRead(limit))
			}
		})
	}
}

// Serve answers each connection with k, up to 96 MB, and returns its address.
func Serve(t testing.TB, k Kind) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go send(nc, k)
		}
	}()
	return ln.Addr().String()
}

func send(nc net.Conn, k Kind) {
	const piece, total = 64 << 10, 96 << 20
	defer func() { _ = nc.Close() }()
	_, _ = nc.Read(make([]byte, piece)) // The request.
	text := []byte(strings.Repeat(k.Repeat, piece/len(k.Repeat)))
	sent := 0
	for next := []byte(k.Begin); sent < total; next = text {
		n, err := nc.Write(next)
		if err != nil {
			return
		}
		sent += n
	}
}

// CountingTransport returns a transport that adds the bytes that it reads to read.
func CountingTransport(read *atomic.Int64) *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return &countingConn{nc, read}, err
		},
	}
}

// A CountingListener accepts connections that add the bytes that they read to Read.
type CountingListener struct {
	net.Listener
	Read atomic.Int64
}

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &countingConn{nc, &l.Read}, err
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
