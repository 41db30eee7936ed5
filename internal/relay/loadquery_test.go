package relay_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/platform/platformtest"
	"github.com/poststand/poststand/wire"
)

const testAgentPort = 7

// loadAgent is a fake agent that answers load queries.
type loadAgent struct {
	answer  peers.LoadAnswer
	delay   time.Duration // Before each answer.
	unknown bool          // It is of a build that does not know the queries.
	lost    bool          // Its box does not exist.

	mu      sync.Mutex
	queries int
	dials   int
}

// setAnswer changes the answer.
func (a *loadAgent) setAnswer(answer peers.LoadAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answer = answer
}

// counts returns how many queries arrived, and how many connections gateways opened.
func (a *loadAgent) counts() (queries, dials int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, a.dials
}

func agentAddr(r *platformtest.Replica) string {
	host, _, _ := net.SplitHostPort(r.Addr)
	return net.JoinHostPort(host, "7")
}

// startLoadAgents starts an agent for each replica.
func (cl *testCluster) startLoadAgents(agents []*loadAgent) {
	byAddr := map[string]*loadAgent{}
	for i, a := range agents {
		addr := agentAddr(cl.replicas[i])
		byAddr[addr] = a
		if a.lost {
			continue
		}
		hs := &wire.Handlers{}
		if !a.unknown {
			wire.On(hs, func(ctx context.Context, s *wire.Stream, _ *peers.LoadQuery) {
				a.mu.Lock()
				a.queries++
				answer := a.answer
				a.mu.Unlock()
				time.Sleep(a.delay)
				_ = s.SendLast(ctx, &answer)
			})
		}
		srv := &wire.Server{Local: wire.Hello{Cluster: "c", Box: addr, Hall: "h1", Role: "agent", Incarnation: 7}, Codec: relay.Codec, Handlers: hs}
		cl.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: srv.ServeConn})
		cl.stops = append(cl.stops, func() { cl.net.Remove(addr) })
	}
	cl.onDial = func(to string) {
		if a := byAddr[to]; a != nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.dials++
		}
	}
}

// Answers of agents.
var (
	idleLoad = peers.LoadAnswer{Version: 1, Pace: 1, Reached: true}
	busyLoad = peers.LoadAnswer{Version: 1, Pace: 1, Queued: 2, Running: 8, Reached: true}
)

// Gateways must choose by the load that agents answer with, and serve requests as before, with
// little delay, if agents fail, do not know the queries or are not to be queried.
func TestLoadIsQueriedBeforeTheChoice(t *testing.T) {
	// A request takes over 100 ms, so that an agent is queried by every third one if there is a pause
	// of 300 ms after each failure.
	const requests, interval = 30, 20 * time.Millisecond
	const usualTime = 2*50*time.Millisecond + 5*time.Millisecond // Two events, with the network.
	answering := func(first peers.LoadAnswer) []*loadAgent {
		return []*loadAgent{{answer: first}, {answer: busyLoad}, {answer: busyLoad}}
	}
	failing := func(a *loadAgent) []*loadAgent { return []*loadAgent{a, {answer: idleLoad}, {answer: idleLoad}} }
	for name, tc := range map[string]struct {
		gateways  int
		agentPort int
		target    string
		agents    []*loadAgent
		first     func(runs int) bool // Of the first replica.
		queries   func(n int) bool    // Of the first agent.
		dials     func(n int) bool
		delay     time.Duration // The longest of a request.
	}{
		"one is idle": {
			13, testAgentPort, "/s/x", answering(idleLoad),
			equalTo(requests), equalTo(requests), equalTo(1), 6 * time.Millisecond,
		},
		"one is about to change its version": {
			13, testAgentPort, "/s/x",
			[]*loadAgent{{answer: peers.LoadAnswer{Version: 1, Changing: true, Reached: true}}, {answer: busyLoad}, {answer: busyLoad}},
			equalTo(0), atLeast(1), equalTo(1), 6 * time.Millisecond,
		},
		"replica not reached": {
			13, testAgentPort, "/s/x", failing(&loadAgent{}),
			equalTo(0), atLeast(1), equalTo(1), 6 * time.Millisecond,
		},
		"absurd answer": {
			13, testAgentPort, "/s/x", failing(&loadAgent{answer: peers.LoadAnswer{Version: 1, Queued: -5, Reached: true}}),
			equalTo(0), between(5, 12), equalTo(1), 6 * time.Millisecond,
		},
		"agent is slow": {
			13, testAgentPort, "/s/x", failing(&loadAgent{answer: idleLoad, delay: 40 * time.Millisecond}),
			equalTo(0), between(5, 12), equalTo(1), 31 * time.Millisecond,
		},
		"agent is lost": {
			13, testAgentPort, "/s/x", failing(&loadAgent{lost: true}),
			equalTo(0), equalTo(0), between(5, 12), 31 * time.Millisecond,
		},
		"all agents are lost": {
			13, testAgentPort, "/s/x",
			[]*loadAgent{{lost: true}, {lost: true}, {lost: true}},
			between(0, requests-1), equalTo(0), between(5, 12), 31 * time.Millisecond,
		},
		"all agents are of an older build": {
			13, testAgentPort, "/s/x",
			[]*loadAgent{{unknown: true}, {unknown: true}, {unknown: true}},
			between(0, requests-1), equalTo(0), equalTo(1), 6 * time.Millisecond,
		},
		"few gateways":  {12, testAgentPort, "/s/x", answering(idleLoad), between(0, requests-1), equalTo(0), equalTo(0), 0},
		"no agent port": {13, 0, "/s/x", answering(idleLoad), between(0, requests-1), equalTo(0), equalTo(0), 0},
	} {
		t.Run(name, func(t *testing.T) {
			rs := engines(3, 2)
			var runs, queries, dials int
			var longest time.Duration
			runCluster(t, 0, rs, func(is *is.I, cl *testCluster) {
				cl.agentPort = tc.agentPort
				cl.startLoadAgents(tc.agents)
				for i := range tc.gateways {
					cl.addGateway(i, cl.store)
				}
				time.Sleep(5 * time.Second)
				for range requests {
					start := time.Now()
					is.Equal(cl.send(5, "POST", tc.target, nil).status, 200)
					longest = max(longest, time.Since(start))
					time.Sleep(interval)
				}
				runs = len(rs[0].Runs())
				queries, dials = tc.agents[0].counts()
			})
			t.Logf("%d runs, %d queries, %d dials, longest request %v", runs, queries, dials, longest)
			is := is.New(t)
			is.True(tc.first(runs))
			is.True(tc.queries(queries))
			is.True(tc.dials(dials))
			is.True(longest <= usualTime+tc.delay)
		})
	}
}

func equalTo(want int) func(int) bool      { return func(n int) bool { return n == want } }
func atLeast(want int) func(int) bool      { return func(n int) bool { return n >= want } }
func between(low, high int) func(int) bool { return func(n int) bool { return n >= low && n <= high } }

// A frozen agent answers nothing, but its connection stays open. Its queries must time out, and be
// answered again on the same connection when it goes on.
func TestFrozenAgentIsQueriedAgain(t *testing.T) {
	rs := engines(2, 1)
	runCluster(t, 0, rs, func(is *is.I, cl *testCluster) {
		cl.agentPort = testAgentPort
		agents := []*loadAgent{{answer: idleLoad}, {answer: busyLoad}}
		cl.startLoadAgents(agents)
		for i := range 13 {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(5 * time.Second)
		send := func(n int) {
			for range n {
				is.Equal(cl.send(5, "POST", "/s/x", nil).status, 200)
				time.Sleep(50 * time.Millisecond)
			}
		}
		send(10)
		is.Equal(len(rs[0].Runs()), 10)
		cl.net.Stall(gatewayAddr(5), agentAddr(rs[0]), true)
		send(10)
		is.Equal(len(rs[0].Runs()), 10) // The other one answers.
		cl.net.Stall(gatewayAddr(5), agentAddr(rs[0]), false)
		time.Sleep(400 * time.Millisecond)
		send(10)
		is.Equal(len(rs[0].Runs()), 20)
		_, dials := agents[0].counts()
		is.Equal(dials, 1)
	})
}

// While its own replicas are full a hall must send requests to others rather than refuse them, and
// to its own again when they have room: neither needs reports, which come late.
func TestFullHallUsesOthersUntilItHasRoom(t *testing.T) {
	rs := engines(2, 1)
	rs[1].Hall = "h2"
	runCluster(t, 0, rs, func(is *is.I, cl *testCluster) {
		cl.agentPort, cl.hallCount = testAgentPort, 2
		agents := []*loadAgent{{answer: idleLoad}, {answer: idleLoad}}
		cl.startLoadAgents(agents)
		for i := range 14 {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(5 * time.Second)
		send := func(own, other int) {
			before := [2]int{len(rs[0].Runs()), len(rs[1].Runs())}
			for range own + other {
				is.Equal(cl.send(4, "POST", "/s/x", nil).status, 200)
			}
			is.Equal([2]int{len(rs[0].Runs()) - before[0], len(rs[1].Runs()) - before[1]}, [2]int{own, other})
		}
		send(10, 0)
		agents[0].setAnswer(peers.LoadAnswer{Version: 1, Pace: 1, Queued: 20, Running: 16, Reached: true})
		send(0, 10)
		agents[0].setAnswer(idleLoad)
		time.Sleep(50 * time.Millisecond)
		send(10, 0)
		queries, _ := agents[1].counts()
		is.Equal(queries, 0) // Agents of other halls are too far away.
	})
}

// Connections to agents must cost little while they are idle, and those that are no longer used
// must be closed.
func TestIdleLoadConnections(t *testing.T) {
	rs := engines(1, 1)
	runCluster(t, 0, rs, func(is *is.I, cl *testCluster) {
		cl.agentPort = testAgentPort
		agents := []*loadAgent{{answer: idleLoad}}
		cl.startLoadAgents(agents)
		for i := range 13 {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(5 * time.Second)
		is.Equal(cl.send(5, "POST", "/s/x", nil).status, 200)
		time.Sleep(25 * time.Second)
		is.Equal(cl.send(5, "POST", "/s/x", nil).status, 200)
		_, dials := agents[0].counts()
		is.Equal(dials, 1)
		time.Sleep(32 * time.Second)
		is.Equal(cl.send(5, "POST", "/s/x", nil).status, 200)
		_, dials = agents[0].counts()
		is.Equal(dials, 2)
	})
}

// Operators must see how often agents are queried, how often they do not answer, and how far
// predictions are off.
func TestLoadQueriesAreCounted(t *testing.T) {
	rs := engines(2, 1)
	runCluster(t, 0, rs, func(is *is.I, cl *testCluster) {
		cl.agentPort = testAgentPort
		cl.startLoadAgents([]*loadAgent{{answer: idleLoad}, {answer: idleLoad, delay: time.Second}})
		for i := range 13 {
			cl.addGateway(i, cl.store)
		}
		time.Sleep(5 * time.Second)
		is.Equal(cl.send(5, "POST", "/s/x", nil).status, 200)
		rec := httptest.NewRecorder()
		cl.gateways[5].Metrics.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
		for _, want := range []string{
			`poststand_events_total{event="load_query",otel_scope_name="poststand",otel_scope_schema_url="",otel_scope_version="",reason=""} 2`,
			`poststand_events_total{event="load_query_failed",otel_scope_name="poststand",otel_scope_schema_url="",otel_scope_version="",reason="deadline_exceeded"} 1`,
			`poststand_prediction_error_seconds_count{basis="load_query",`,
		} {
			is.True(strings.Contains(rec.Body.String(), want))
		}
	})
}
