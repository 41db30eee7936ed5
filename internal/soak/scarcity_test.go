package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Load of a soak with scarcity.
const (
	scarceGateways  = 14 // One may be stopped, and there are still enough for load queries.
	extraCallers    = 90 // Beside the usual callers, while there is too much load.
	slowCallerEvery = 6
	slowReadPause   = 10 * time.Millisecond
	waitShare       = 3 // Callers wait for a third of the time that they have left.
)

// overload sends more requests than the engines can run, in the middle half of a duration.
func (s *soak) overload(duration time.Duration, done <-chan struct{}) {
	const quarters = 4
	select {
	case <-time.After(duration / quarters):
	case <-done:
		return
	}
	end := make(chan struct{})
	var callers sync.WaitGroup
	for n := range extraCallers {
		callers.Go(func() { s.runCaller(soakCallers+n, rand.New(rand.NewPCG(uint64(n), 2)), end) })
	}
	select {
	case <-time.After(duration / 2):
	case <-done:
	}
	close(end)
	callers.Wait()
}

// metric returns the sum of a gateway's metrics whose lines begin with a prefix and contain a text.
func (g *gateway) metric(prefix, text string) (total float64) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/metrics", g.ip, adminPort))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, prefix) && strings.Contains(line, text) {
			var v float64
			_, _ = fmt.Sscanf(line[strings.LastIndex(line, " "):], "%g", &v)
			total += v
		}
	}
	return total
}

// checkScarcity checks that what the soak is to test took place, by the metrics of the gateways that
// run at the end.
func (s *soak) checkScarcity() {
	counts := map[string]float64{}
	for _, g := range s.gateways {
		for name, event := range map[string]string{
			"queries": `event="load_query",`, "unanswered": `event="load_query_failed",`, "waited": `event="request_waited",`,
		} {
			counts[name] += g.metric("poststand_events_total{", event)
		}
		counts["on time"] += g.metric(`poststand_events_total{event="expected_retry"`, `reason="on_time"`)
		counts["refused for a long wait"] += g.metric(`poststand_not_admitted_total{cause="long_wait"`, "")
	}
	s.t.Logf("metrics: %v", counts)
	for _, l := range s.lost {
		s.t.Logf("lost: %s", l)
	}
	if n := len(s.lost); float64(n) > s.maxLost*float64(s.sent.Load()) {
		s.violate("%d of %d requests got neither an answer nor a refusal", n, s.sent.Load())
	}
	for name, n := range counts {
		if n == 0 && name != "unanswered" {
			s.violate("no %s by the metrics", name)
		}
	}
}

// More requests than can run, beside planned work: answers are whole and of one version, what was
// refused did not run, whether it waited, returned or was read slowly, and what may run once only does.
// Very few may end as failures, see TestScarcityLosesNoRequest.
func TestScarcityMakesNoAnswerFalse(t *testing.T) {
	const maxLost = 0.01
	playSeeds(t, func(t *testing.T, seed uint64) *soak {
		s := newSoak(t, seed, false, true)
		s.maxLost = maxLost
		return s
	})
}

// More requests than can run, beside planned work: each gets an answer or a refusal. One that is sent
// right before its replica begins to change its version may be given up at the end of that version's
// time, and is a failure then.
func TestScarcityLosesNoRequest(t *testing.T) {
	playSeeds(t, func(t *testing.T, seed uint64) *soak { return newSoak(t, seed, false, true) })
}
