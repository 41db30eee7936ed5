package stager

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/wire"
)

// Many gateways query an agent at once. Its replica must not get a request for each, but no
// answer may rest on a report that is older than some milliseconds.
func TestLoadQueriesShareReports(t *testing.T) {
	const reportTime = 4 * time.Millisecond
	for name, tc := range map[string]struct {
		at      []time.Duration // When the queries arrive.
		reports int
		err     error
	}{
		"together":            {[]time.Duration{0, 0, 0, 3 * time.Millisecond}, 1, nil},
		"reused":              {[]time.Duration{0, 8 * time.Millisecond, 14 * time.Millisecond}, 1, nil},
		"too old":             {[]time.Duration{0, 15 * time.Millisecond}, 2, nil},
		"failures not reused": {[]time.Duration{0, 3 * time.Millisecond, 5 * time.Millisecond}, 2, fault.New(fault.Unreachable, "replica")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var s sharedReport
				var mu sync.Mutex
				var done sync.WaitGroup
				requests := 0
				for _, at := range tc.at {
					done.Go(func() {
						time.Sleep(at)
						rep, err := s.get(t.Context(), func() (Report, error) {
							time.Sleep(reportTime)
							mu.Lock()
							defer mu.Unlock()
							requests++
							return Report{Running: 7}, tc.err
						})
						is.Equal(err, tc.err)
						is.Equal(rep.Running, 7)
					})
				}
				done.Wait()
				is.Equal(requests, tc.reports)
			})
		})
	}
}

// A query that its gateway has given up must not end the report that others wait for.
func TestCancelledLoadQueryLeavesTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s sharedReport
		request := func() (Report, error) {
			time.Sleep(20 * time.Millisecond)
			return Report{Queued: 3}, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		_, err := s.get(ctx, request)
		is.Equal(fault.CodeOf(err), fault.Timeout)
		rep, err := s.get(t.Context(), request)
		is.NoErr(err)
		is.Equal(rep.Queued, 3)
	})
}

// queryLoad queries the load of a replica over a new connection.
func (s *testCluster) queryLoad(ctx context.Context, replica string) (*peers.LoadAnswer, error) {
	pool := &wire.Pool{
		Local: wire.Hello{Cluster: "c", Box: "gateway", Hall: "h", Role: "gateway", Incarnation: 9}, Codec: Codec, Handlers: &wire.Handlers{},
		Lifetime: ctx, Dial: func(ctx context.Context, to string) (net.Conn, error) { return s.net.Dial(ctx, ip(0)+":7", to) },
	}
	c, err := pool.Get(ctx, ip(0)+":7")
	if err != nil {
		return nil, err
	}
	return peers.QueryLoad(ctx, c, replica)
}

// An answer must be the replica's load at the time of the query, not that of the agent's last
// report, which may be 0.1 s old, and contain what the agent itself knows of a coming change.
func TestAgentAnswersLoadQueries(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := &fakeReplica{report: Report{Model: "m", Version: 1, Running: 2}}
		s.add(t, r)
		time.Sleep(150 * time.Millisecond) // The next periodic report is 50 ms away.
		r.mu.Lock()
		r.report.Queued, r.report.Running, r.report.Slowdown = 5, 12, 2.5
		r.mu.Unlock()
		s.agents[0].status.set(func(st *peers.Status) { st.MissingChunks, st.Changing = 4, true })
		a, err := s.queryLoad(ctx, ip(0)+":80")
		is.NoErr(err)
		is.Equal(*a, peers.LoadAnswer{Version: 1, Changing: true, Queued: 5, Running: 12, Pace: 2.5, FetchingWeights: true, Reached: true})

		_, err = s.queryLoad(ctx, "10.0.0.77:80")
		is.Equal(fault.CodeOf(err), fault.BadRequest)
	})
}

// A replica that has accepted an order takes no new requests, also while the agent's status does not
// show it yet. Without a report, only the load is unknown.
func TestLoadAnswer(t *testing.T) {
	status := peers.Status{Version: 1, ChangeIn: time.Second, Queued: 9, Pace: 3, SlowLink: true}
	for name, tc := range map[string]struct {
		report Report
		err    error
		want   peers.LoadAnswer
	}{
		"usual":         {Report{Version: 2, Queued: 1, Running: 4, Slowdown: 1.5}, nil, peers.LoadAnswer{Version: 2, ChangeIn: time.Second, Queued: 1, Running: 4, Pace: 1.5, SlowLink: true, Reached: true}},
		"order pending": {Report{Version: 1, OrderPending: true}, nil, peers.LoadAnswer{Version: 1, Changing: true, ChangeIn: time.Second, SlowLink: true, Reached: true}},
		"not reached":   {Report{}, fault.New(fault.Unreachable, "replica"), peers.LoadAnswer{Version: 1, ChangeIn: time.Second, SlowLink: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(*loadAnswer(&status, tc.report, tc.err), tc.want)
		})
	}
}

// A replica that asked its agent for a backoff must get no request for the sake of a load query.
func TestLoadQueryRespectsTheBackoff(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := &fakeReplica{report: Report{Model: "m", Version: 1, Running: 2}}
		s.add(t, r)
		time.Sleep(150 * time.Millisecond)
		_ = s.agents[0].backoff.observe(&fault.Error{Code: fault.Throttled, RetryAt: time.Now().Add(time.Second)})
		a, err := s.queryLoad(ctx, ip(0)+":80")
		is.NoErr(err)
		is.Equal(a.Reached, false)
		time.Sleep(1100 * time.Millisecond)
		a, err = s.queryLoad(ctx, ip(0)+":80")
		is.NoErr(err)
		is.Equal(a.Reached, true)
	})
}
