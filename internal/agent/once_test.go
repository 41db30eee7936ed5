package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/settings"
)

// dyingService answers the first request of each connection, and closes it once it has read the second.
type dyingService struct{ received atomic.Int64 }

func (s *dyingService) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	for range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if s.received.Add(1)%2 == 1 {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// An unsafe request whose connection closed before an answer was sent a second time, if its method was GET, HEAD or OPTIONS.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost} {
		for _, body := range []string{"", "body"} {
			is := is.New(t)
			var s dyingService
			client := bounded.HTTP(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go s.serve(far)
				return near, nil
			}})
			a, err := New(&settings.Agent{Engine: "http://service"}, Options{Engine: client})
			is.NoErr(err)
			run := func(method string) error {
				d := &dispatch.Dispatch{Method: method, Path: "/", Body: []byte(body), Unsafe: true}
				return a.execute(t.Context(), &dispatch.Record{Dispatch: d, Answer: &dispatch.Answer{}})
			}
			is.NoErr(run(http.MethodPost))
			is.True(run(method) != nil)
			is.Equal(s.received.Load(), int64(2))
			a.Close()
			client.CloseIdleConnections()
		}
	}
}
