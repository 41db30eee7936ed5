package boundedtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/poststand/poststand/internal/bounded"
)

// framings are the ways in which an answer tells where its body ends.
var framings = []struct {
	name  string
	frame func(body string) string
}{
	{"length", func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }},
	{"chunks", func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}},
	{"connection", func(body string) string { return "\r\n" + body }},
}

// RunCut checks that a call succeeds on an answer with the given JSON object, and fails on one that is cut
// anywhere before the object's end, where its connection is closed or reset then.
func RunCut(t *testing.T, object string, call Call) {
	client := bounded.HTTP(&http.Transport{DisableKeepAlives: true})
	for _, f := range framings {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", f.name, resets), func(t *testing.T) {
				whole := ok + f.frame(object)
				end := len(whole)
				for whole[end-1] != '}' {
					end--
				}
				for cut := range end {
					if call(t.Context(), client, ServeOnce(t, whole[:cut], resets)) == nil {
						t.Errorf("cut after %q: taken for an answer", whole[:cut])
					}
				}
				if err := call(t.Context(), client, ServeOnce(t, whole, false)); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// ServeOnce answers one request with the given bytes, closes or resets its connection, and returns the address.
func ServeOnce(t *testing.T, answer string, resets bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = ln.Close() }()
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		_, _ = nc.Write([]byte(answer))
		if resets {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
	}()
	return ln.Addr().String()
}
