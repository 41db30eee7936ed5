package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/platform/platformtest"
)

// loadGateway is the gateway that the tests of queries send to.
const loadGateway = 5

// startGatewaysWithQueries starts gateways that query agents for load.
func (cl *testCluster) startGatewaysWithQueries(gateways int) {
	cl.agentPort = testAgentPort
	for i := range gateways {
		cl.addGateway(i, cl.store)
	}
	time.Sleep(5 * time.Second)
}

// stallAgents stalls or resumes the connections of a gateway to the agents of all replicas.
func (cl *testCluster) stallAgents(gateway int, stalled bool) {
	for _, r := range cl.replicas {
		cl.net.Stall(gatewayAddr(gateway), agentAddr(r), stalled)
	}
}

// runsOf returns the number of runs of each replica.
func runsOf(rs []*platformtest.Replica) (out []int) {
	for _, r := range rs {
		out = append(out, len(r.Runs()))
	}
	return out
}

// sendInTurn sends requests one after the other, and returns their statuses, the longest time that
// one took, and how many more each replica ran.
func (cl *testCluster) sendInTurn(gateway, n int) (statuses map[int]int, longest time.Duration, ran []int) {
	statuses, before := map[int]int{}, runsOf(cl.replicas)
	for i := range n {
		began := time.Now()
		statuses[cl.send(gateway, "POST", "/s/x", map[string]string{"X-Attempt-Id": fmt.Sprint("q", i)}).status]++
		longest = max(longest, time.Since(began))
		time.Sleep(20 * time.Millisecond)
	}
	for i, runs := range runsOf(cl.replicas) {
		ran = append(ran, runs-before[i])
	}
	return statuses, longest, ran
}

// Load answers that stop, then reports that stop: the choice must fall back to what is still known,
// with no more delay than the timeout of a query, and no request may be refused while there is room.
func TestChoiceFallsBackWhenLoadIsUnknown(t *testing.T) {
	const usualTime = 50*time.Millisecond + 5*time.Millisecond // An event, with the network.
	const requests = 20
	served := map[int]int{http.StatusOK: requests}
	rs := engines(2, 1)
	runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
		is := is.NewRelaxed(cl.t)
		agents := []*loadAgent{{answer: idleLoad}, {answer: busyLoad}}
		cl.startLoadAgents(agents)
		cl.startGatewaysWithQueries(13)
		var stopped atomic.Bool
		cl.sendReports(loadGateway, func() []peers.Status {
			if stopped.Load() {
				return nil
			}
			return []peers.Status{ // The reports are older than what the agents answer.
				{Addr: rs[0].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true, Queued: 4, Running: 12},
				{Addr: rs[1].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true},
			}
		})
		time.Sleep(500 * time.Millisecond)
		statuses, longest, ran := cl.sendInTurn(loadGateway, requests)
		is.Equal(statuses, served)
		is.Equal(ran, []int{requests, 0}) // By the answers.
		is.True(longest <= usualTime+5*time.Millisecond)

		cl.stallAgents(loadGateway, true)
		time.Sleep(500 * time.Millisecond)
		statuses, longest, ran = cl.sendInTurn(loadGateway, requests)
		is.Equal(statuses, served)
		is.Equal(ran, []int{0, requests}) // By the reports.
		is.True(longest <= usualTime+35*time.Millisecond)

		stopped.Store(true)
		time.Sleep(4 * time.Second) // Reports expire.
		statuses, longest, _ = cl.sendInTurn(loadGateway, requests)
		is.Equal(statuses, served)
		is.True(longest <= usualTime+35*time.Millisecond)

		cl.stallAgents(loadGateway, false)
		time.Sleep(500 * time.Millisecond)
		statuses, _, ran = cl.sendInTurn(loadGateway, requests)
		is.Equal(statuses, served)
		is.Equal(ran, []int{requests, 0})
	})
}

// The wait that is allowed must not depend on whether load is known: a burst is sent up to the same
// number of requests by answers, by reports and by what the gateway has in flight itself, and the
// others are refused as not run after the same wait.
func TestAllowedWaitStaysWhenLoadIsUnknown(t *testing.T) {
	const burst, runTime = 60, 2 * time.Second
	sent := map[string]int{}
	for name, tc := range map[string]struct{ answers, reports bool }{
		"answers and reports": {true, true},
		"answers stop":        {false, true},
		"reports stop":        {true, false},
		"both stop":           {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			rs := engines(1, 1)
			rs[0].EventInterval = runTime // No request ends, or makes room, during the burst.
			runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t)
				cl.startLoadAgents([]*loadAgent{{answer: idleLoad}})
				cl.startGatewaysWithQueries(13)
				var stopped atomic.Bool
				cl.sendReports(loadGateway, func() []peers.Status {
					if stopped.Load() {
						return nil
					}
					return []peers.Status{{Addr: rs[0].Addr, Hall: "h1", Model: "m", Version: 1, Reached: true}}
				})
				time.Sleep(500 * time.Millisecond)
				cl.stallAgents(loadGateway, !tc.answers)
				stopped.Store(!tc.reports)
				time.Sleep(4 * time.Second)
				var wg sync.WaitGroup
				var served, refused atomic.Int64
				for i := range burst {
					wg.Go(func() {
						began := time.Now()
						switch got := cl.send(loadGateway, "POST", fmt.Sprintf("/s/%d", i), map[string]string{"X-Attempt-Id": fmt.Sprint("b", i)}); got.status {
						case http.StatusOK:
							served.Add(1)
						case http.StatusServiceUnavailable:
							refused.Add(1)
							took := time.Since(began)
							is.True(took >= waitAtMost && took <= waitAtMost+slack)
						}
					})
					time.Sleep(time.Millisecond)
				}
				wg.Wait()
				is.Equal(served.Load()+refused.Load(), int64(burst))
				is.True(served.Load() > 0 && refused.Load() > 0)
				is.Equal(int64(countRuns(rs)), served.Load()) // What was refused did not run.
				sent[name] = int(served.Load())
			})
		})
	}
	is := is.New(t)
	t.Log(sent)
	for _, n := range sent {
		is.Equal(n, sent["answers and reports"])
	}
}

// A hall that is cut off goes on by itself: requests are served within the hall, by load answers if
// it has enough gateways for queries, and else by reports. Replicas elsewhere, which seem idle by
// their last reports, cost no request more than the timeouts of the connections to them.
func TestCutOffHallServesByItsOwnLoad(t *testing.T) {
	for name, tc := range map[string]struct {
		gateways int
		queries  bool // In the hall, after the others were found to be lost.
	}{
		"many gateways in the hall": {26, true},
		"few gateways in the hall":  {14, false},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 20
			const usualTime = 55 * time.Millisecond
			served := map[int]int{http.StatusOK: requests}
			rs := engines(4, 1)
			rs[2].Hall, rs[3].Hall = "h2", "h2"
			runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t)
				cl.hallCount = 2
				agents := []*loadAgent{{answer: idleLoad}, {answer: busyLoad}, {answer: idleLoad}, {answer: idleLoad}}
				cl.startLoadAgents(agents)
				cl.startGatewaysWithQueries(tc.gateways)
				const gateway = 4 // Of h1.
				cl.sendReports(gateway, func() (all []peers.Status) {
					for i, r := range rs {
						st := peers.Status{Addr: r.Addr, Hall: r.Hall, Model: "m", Version: 1, Reached: true}
						if i == 1 {
							st.Queued, st.Running = 2, 8
						}
						all = append(all, st)
					}
					return all
				})
				time.Sleep(500 * time.Millisecond)
				cl.stallHall("h1", true)
				for i := range cl.gateways {
					for j, r := range rs {
						if cl.hallOf(i) != r.Hall {
							cl.net.Stall(gatewayAddr(i), rs[j].Addr, true)
							cl.net.Stall(gatewayAddr(i), agentAddr(r), true)
						}
					}
				}
				check := func() {
					statuses, longest, ran := cl.sendInTurn(gateway, requests)
					is.Equal(statuses, served)
					is.Equal(ran, []int{requests, 0, 0, 0})
					is.True(longest <= usualTime+35*time.Millisecond)
				}
				check() // At once.
				time.Sleep(10 * time.Second)
				before, _ := agents[0].counts()
				check() // After the other gateways were found to be lost.
				after, _ := agents[0].counts()
				is.Equal(after > before, tc.queries)
				for _, a := range agents[2:] {
					queries, _ := a.counts()
					is.Equal(queries, 0)
				}
				cl.stallHall("h1", false)
			})
		})
	}
}

// While the store is unavailable, requests wait for room, are refused and return as before: none of
// that rests on the store.
func TestWaitsAndReturnsWithoutTheStore(t *testing.T) {
	for name, since := range map[string]time.Duration{"just now": 0, "for a while": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			rs := engines(2, 2)
			runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t)
				var unavailable atomic.Bool
				for i := range 2 {
					cl.addGateway(i, cl.interruptibleStore(&unavailable))
				}
				time.Sleep(3 * time.Second)
				var queued atomic.Int64
				cl.reportQueues(&queued)
				unavailable.Store(true)
				time.Sleep(since)

				queued.Store(busy)
				time.Sleep(300 * time.Millisecond)
				began := time.Now()
				got := cl.send(0, "POST", "/s/", nil)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(time.Since(began), waitAtMost)
				is.Equal(countRuns(rs), 0)
				told := time.Duration(got.retryAfter(cl.t) * float64(time.Second))
				is.True(told >= 350*time.Millisecond && told <= 2*time.Second)

				is.Equal(cl.metric(0, `poststand_events_total{event="request_waited"`), 1.0)

				// Reports are 100 ms apart: it may have to wait for the one that shows the room.
				time.AfterFunc(told-10*time.Millisecond, func() { queued.Store(0) })
				time.Sleep(told)
				is.Equal(cl.send(1, "POST", "/s/", nil).status, http.StatusOK)
				is.Equal(cl.expectedRetries(1, "on_time"), 1)
				is.Equal(countRuns(rs), 1)
				unavailable.Store(false)
			})
		})
	}
}

// Gateways whose reports differ choose the same replica by what its agent answers, rather than each
// another one.
func TestGatewaysWithDifferentReportsChooseByTheSameLoad(t *testing.T) {
	for name, tc := range map[string]struct {
		agentPort int
		first     func(gateway int) bool // Whether the first replica is to be chosen.
	}{
		"queries":            {testAgentPort, func(int) bool { return true }},
		"no queries, so not": {0, func(gateway int) bool { return gateway%2 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 10
			rs := engines(2, 1)
			runCluster(t, 0, rs, func(_ *is.I, cl *testCluster) {
				is := is.NewRelaxed(cl.t)
				cl.startLoadAgents([]*loadAgent{{answer: idleLoad}, {answer: busyLoad}})
				cl.agentPort = tc.agentPort
				for i := range 13 {
					cl.addGateway(i, cl.store)
				}
				time.Sleep(5 * time.Second)
				for _, gateway := range []int{loadGateway, loadGateway + 1} {
					cl.sendReports(gateway, func() (all []peers.Status) {
						for i, r := range rs {
							st := peers.Status{Addr: r.Addr, Hall: "h1", Model: "m", Version: 1, Reached: true}
							if (gateway+i)%2 == 1 {
								st.Queued, st.Running = 4, 12
							}
							all = append(all, st)
						}
						return all
					})
				}
				time.Sleep(500 * time.Millisecond)
				for _, gateway := range []int{loadGateway, loadGateway + 1} {
					_, _, ran := cl.sendInTurn(gateway, requests)
					want := []int{0, requests}
					if tc.first(gateway) {
						want = []int{requests, 0}
					}
					is.Equal(ran, want)
				}
			})
		})
	}
}
