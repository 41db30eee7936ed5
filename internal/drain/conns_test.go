package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
)

const request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// The server has read one byte of the next request when the answer to the last one is complete,
// and the drain looks for idle connections before it reads on.
func TestRequestThatWasReadAheadIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var conns Conns
		const answerTime = time.Second
		srv := &http.Server{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(answerTime) }),
			ConnState: func(nc net.Conn, st http.ConnState) {
				conns.TrackState(nc, st)
				if st == http.StateIdle {
					conns.CloseIdle(true)
				}
			},
		}
		ln := simnet.NewListener()
		go func() { _ = srv.Serve(conns.Listener(ln)) }()
		caller, server := net.Pipe()
		ln.Offer(server)
		_, err := io.WriteString(caller, request)
		is.NoErr(err)
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(caller, request)
			sent <- err
		}()
		r := bufio.NewReader(caller)
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
		}
		is.NoErr(<-sent)
		_, err = r.ReadByte()
		is.Equal(err, io.EOF) // The connection was idle after the second answer.
		is.Equal(conns.Wait(context.Background(), time.Now().Add(time.Minute)), 0)
		_ = srv.Close()
	})
}
