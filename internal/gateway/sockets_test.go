package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/gateway"
)

// Garbage, silence, and requests that are cut short, on every port, are ended by
// the process; and meanwhile others are served.
func TestBadInputOnEveryPort(t *testing.T) {
	at := overLoopback(t)
	callers := strings.TrimPrefix(at.through, "http://")
	cases := []struct {
		name, addr, bytes string
	}{
		{"garbage to the gateway's peers", at.gateway, "GET / HTTP/1.1\r\n\r\n"},
		{"a frame over the bound", at.gateway, "\xff\xff\xff\xff\x01\x00\x00\x00\x00\x00\x00\x00\x00"},
		{"garbage to the agent's peers", at.agent, strings.Repeat("\x00", 64)},
		{"silence to the agent's peers", at.agent, ""},
		{"half a header of a caller", callers, "POST /v1/chat/completions HTTP/1.1\r\nHo"},
		{"half a body of a caller", callers, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"},
		{"garbage of a caller", callers, "\x16\x03\x01\x02\x00\x01\x00"},
		{"half a header to the admin port", at.admin, "GET /sta"},
		{"garbage to the source of weights", at.agentHTTP, "nonsense\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", tc.addr)
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = nc.Write([]byte(tc.bytes))
			is.NoErr(err)
			resp, err := http.Post(at.through+"/v1/chat/completions", "application/json",
				strings.NewReader(`{"model":"chat","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`))
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK) // Another caller is served meanwhile.
			is.NoErr(nc.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err = io.Copy(io.Discard, nc)
			is.True(!isTimeout(err)) // The process ended it, by itself.
		})
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// A caller that sends less than it promised is told so, in the usual form.
func TestTruncatedBodyIsRefusedInForm(t *testing.T) {
	is := is.New(t)
	at := overLoopback(t)
	nc, err := net.Dial("tcp", strings.TrimPrefix(at.through, "http://"))
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	_, err = fmt.Fprint(nc, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\"")
	is.NoErr(err)
	is.NoErr(nc.(*net.TCPConn).CloseWrite())
	data, err := io.ReadAll(nc)
	is.NoErr(err)
	_, body, ok := strings.Cut(string(data), "\r\n\r\n")
	is.True(ok)
	var e gateway.ErrorBody
	is.NoErr(json.Unmarshal([]byte(body), &e))
	is.Equal(e.Error.Outcome, "not_run")
}
