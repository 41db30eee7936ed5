package telemetry_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/bounded/boundedtest"
	"github.com/poststand/poststand/internal/telemetry"
)

// The servers of health, metrics and weights held 1 MB of each request's header.
func TestRequestHeaderWithoutEndIsBrokenOff(t *testing.T) {
	const readAhead = 8 << 10 // Bytes of buffers, and what net/http adds to the limit.
	for name, line := range map[string]string{"one line": "a", "lines": "X-A: b\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			ln := &boundedtest.CountingListener{Listener: inner}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- telemetry.ServeHTTP(ctx, ln, &http.Server{Handler: http.NotFoundHandler()}) }()
			nc, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			const most = 4 << 20
			_, err = nc.Write([]byte("GET / HTTP/1.1\r\nX-A: "))
			for sent := 0; err == nil && sent < most; sent += 64 << 10 {
				_, err = nc.Write([]byte(strings.Repeat(line, 64<<10/len(line))))
			}
			_ = nc.Close()
			cancel()
			is.NoErr(<-ended)
			is.True(ln.Read.Load() <= bounded.MaxHeader+readAhead)
		})
	}
}
