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

// A connection that sends garbage, nothing or a truncated request must be closed by
// the process, on every port, and other callers must be served meanwhile.
func TestBadInputOnEveryPort(t *testing.T) {
	at := startLoopback(t)
	callers := strings.TrimPrefix(at.gatewayURL, "http://")
	cases := []struct {
		name, addr, bytes string
	}{
		{"garbage to the gateway's peer port", at.gatewayAddr, "GET / HTTP/1.1\r\n\r\n"},
		{"frame over the size limit", at.gatewayAddr, "\xff\xff\xff\xff\x01\x00\x00\x00\x00\x00\x00\x00\x00"},
		{"garbage to the agent's peer port", at.agentAddr, strings.Repeat("\x00", 64)},
		{"silence to the agent's peer port", at.agentAddr, ""},
		{"truncated header from a caller", callers, "POST /v1/chat/completions HTTP/1.1\r\nHo"},
		{"truncated body from a caller", callers, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"},
		{"garbage from a caller", callers, "\x16\x03\x01\x02\x00\x01\x00"},
		{"truncated header to the admin port", at.adminAddr, "GET /sta"},
		{"garbage to the weights source", at.sourceAddr, "nonsense\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", tc.addr)
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = nc.Write([]byte(tc.bytes))
			is.NoErr(err)
			resp, err := http.Post(at.gatewayURL+"/v1/chat/completions", "application/json",
				strings.NewReader(`{"model":"chat","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`))
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK) // Other callers are still served.
			is.NoErr(nc.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err = io.Copy(io.Discard, nc)
			is.True(!isTimeout(err)) // The process closed the connection.
		})
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// A request whose body is shorter than its Content-Length must be refused with the
// usual JSON error body.
func TestTruncatedBodyIsRefusedWithErrorBody(t *testing.T) {
	is := is.New(t)
	at := startLoopback(t)
	nc, err := net.Dial("tcp", strings.TrimPrefix(at.gatewayURL, "http://"))
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
