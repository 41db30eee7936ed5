package gateway

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

	"github.com/poststand/poststand/internal/drain"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
)

// roundTrip sends a request to a gateway without a configuration, which refuses it.
func roundTrip(c net.Conn, r *bufio.Reader) (status int, err error) {
	if _, err := io.WriteString(c, "GET /services/s/x HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func TestStoppingGatewayAnswersWhatItHasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const linger, readDelay = time.Second, 100 * time.Millisecond
		g, err := New(&settings.Gateway{LingerPeriod: linger, Common: settings.Common{DrainTimeout: 5 * time.Second}}, Options{})
		is.NoErr(err)
		defer g.Close()
		ln := simnet.NewListener()
		stop, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- g.serveCallers(stop, t.Context(), &http.Server{Handler: g.CallerHandler()}, ln)
		}()
		caller, server := net.Pipe()
		delay := time.Duration(0)
		ln.Offer(&simnet.DelayedConn{Conn: server, Delay: func() { time.Sleep(delay) }})
		r := bufio.NewReader(caller)
		status, err := roundTrip(caller, r)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		cancel()
		time.Sleep(linger - readDelay/2)
		delay = readDelay // The next request is read before the gateway stops listening, and handled after.
		status, err = roundTrip(caller, r)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		_, err = r.ReadByte()
		is.Equal(err, io.EOF)
		is.NoErr(<-done)
	})
}

// A request that a gateway of another hall has forwarded has no connection of a caller here.
func TestStoppingGatewayWaitsForForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const answerTime = 3 * time.Second
		g, err := New(&settings.Gateway{Common: settings.Common{DrainTimeout: 10 * time.Second}}, Options{})
		is.NoErr(err)
		defer g.Close()
		stop, cancel := context.WithCancel(t.Context())
		done := make(chan time.Time, 1)
		go func() {
			_ = g.serveCallers(stop, t.Context(), &http.Server{Handler: g.CallerHandler()}, simnet.NewListener())
			done <- time.Now()
		}()
		ended := g.inFlight.Add(&drain.Request{ID: "forwarded"})
		time.AfterFunc(answerTime, ended)
		began := time.Now()
		cancel()
		is.True((<-done).Sub(began) >= answerTime)
	})
}
