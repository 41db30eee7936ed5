package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
)

const rawRequest = "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer k\r\n\r\n"

// A stopping gateway answers each request that it has read, and closes connections only while no
// request is in progress on them.
func TestStoppingGatewayAnswersWhatItHasRead(t *testing.T) {
	cases := []struct {
		name      string
		reused    bool          // A request has been answered on the connection before.
		sendAfter time.Duration // When the request is sent, relative to the stop.
		readDelay time.Duration // How long the request is delayed after it has been read.
		answered  bool
	}{
		{"read just before the stop", true, -10 * time.Millisecond, 50 * time.Millisecond, true},
		{"first on its connection, read just before the stop", false, -10 * time.Millisecond, 50 * time.Millisecond, true},
		{"on a new connection before the load balancer notices", false, time.Second, 0, true},
		{"read as a new connection is about to be closed", false, 3190 * time.Millisecond, 100 * time.Millisecond, true},
		{"on an idle connection", true, time.Second, 0, false},
		{"on a new connection that was idle too long", false, 4 * time.Second, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, 1, plainReplicas(1), func(is *is.I, cl *testCluster) {
				ln := simnet.NewListener()
				stop, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := make(chan error, 1)
				go func() { done <- cl.gateways[0].ServeCallers(stop, context.Background(), ln) }()
				caller, server := net.Pipe()
				defer func() { _ = caller.Close() }()
				ln.Offer(&simnet.DelayedConn{Conn: server, Delay: func() { time.Sleep(tc.readDelay) }})
				r := bufio.NewReader(caller)
				if tc.reused {
					is.NoErr(roundTrip(caller, r))
				}
				if tc.sendAfter < 0 {
					time.AfterFunc(-tc.sendAfter, cancel)
				} else {
					cancel()
					time.Sleep(tc.sendAfter)
				}
				began := time.Now()
				err := roundTrip(caller, r)
				is.Equal(err == nil, tc.answered)
				is.True(time.Since(began) < time.Second)
				_, err = r.ReadByte()
				is.Equal(err, io.EOF) // The connection is closed after the response.
				is.NoErr(<-done)
			})
		})
	}
}

// roundTrip sends one request and reads its complete response.
func roundTrip(c net.Conn, r *bufio.Reader) error {
	if _, err := io.Copy(c, strings.NewReader(rawRequest)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	return err
}

// A stopping gateway starts no request that it may have to abort. When the gateways of a hall
// were stopped 0.6 s apart, the load balancer continued to use all of them. A stream that was
// sent 3.04 s after the stop was started; its replica ran it for 4.3 to 4.6 s, and the gateway
// aborted it when it exited 7.7 s after the stop. A refused caller retries at another gateway at
// once, so a refused request must not have run.
func TestStoppingGatewayBeginsNothingThatItMayCut(t *testing.T) {
	const late = 3040 * time.Millisecond
	cases := []struct {
		name      string
		path      string
		sendAfter time.Duration // When the request is sent, after the stop.
		timeout   time.Duration // How long the caller waits.
		events    int           // Events of a stream, 50 ms apart; 0 for a plain request.
		silent    bool          // The replica does not respond.
		status    int
		runs      int
	}{
		{"early stream", "/s/", time.Second, 6 * time.Second, 60, false, http.StatusOK, 1},
		{"stream just before the cut-off", "/s/", 2600 * time.Millisecond, 6 * time.Second, 60, false, http.StatusOK, 1},
		{"late, long stream", "/s/", late, 6 * time.Second, 100, false, http.StatusServiceUnavailable, 0},
		{"late, short stream that might have been long", "/s/", late, 6 * time.Second, 4, false, http.StatusServiceUnavailable, 0},
		{"late stream whose caller times out before the gateway exits", "/s/", late, 4 * time.Second, 60, false, http.StatusOK, 1},
		{"late plain request", "/safe/", late, 6 * time.Second, 0, false, http.StatusOK, 1},
		{"late plain request without a response", "/unsafe/", late, 6 * time.Second, 0, true, http.StatusGatewayTimeout, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			replicas := plainReplicas(1)
			if tc.events > 0 {
				replicas = engines(1, tc.events)
			}
			replicas[0].Handle = func(int, *platformtest.Exchange) bool { return tc.silent }
			runCluster(t, 1, replicas, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t) // Failures are reported, and the test continues to its end.
				ln := simnet.NewListener()
				stop, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go func() { done <- cl.gateways[0].ServeCallers(stop, context.Background(), ln) }()
				cancel()
				time.Sleep(tc.sendAfter)
				caller, server := net.Pipe()
				defer func() { _ = caller.Close() }()
				ln.Offer(server)
				sentAt := time.Now()
				_, err := fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: %d\r\n"+
					"Authorization: Bearer k\r\nContent-Length: 4\r\n\r\nbody", tc.path, tc.timeout.Milliseconds())
				is.NoErr(err)
				r := bufio.NewReader(caller)
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				if err != nil {
					is.NoErr(<-done)
					return
				}
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err) // The body is complete.
				is.Equal(resp.StatusCode, tc.status)
				is.Equal(countRuns(replicas), tc.runs)
				is.True(resp.Close) // The caller must not reuse the connection.
				if tc.status == http.StatusOK && tc.events > 0 {
					is.Equal(string(body), events(1, tc.events))
				}
				if tc.status == http.StatusServiceUnavailable {
					is.True(time.Since(sentAt) < 50*time.Millisecond)
					retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
					is.NoErr(err)
					is.True(retryAfter <= 200*time.Millisecond) // Other gateways are ready, so the caller may retry at once.
				}
				_, err = r.ReadByte()
				is.Equal(err, io.EOF)
				is.NoErr(<-done)
			})
		})
	}
}
