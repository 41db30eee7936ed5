package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// runCaller sends requests one after the other until done is closed. It keeps its connection until
// the gateway closes it.
func (s *soak) runCaller(n int, r *rand.Rand, done <-chan struct{}) {
	c := &caller{}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(r.IntN(400)) * time.Millisecond):
		}
		if c.conn == nil {
			c.addr = s.balancer.pick(s.gateways).callers()
		}
		s.sendOne(c, fmt.Sprintf("a%d-%d", n, i), r)
	}
}

// sendOne sends a request and checks its answer.
func (s *soak) sendOne(c *caller, id string, r *rand.Rand) {
	target := []string{"/s/", "/s/", "/s/", "/once/", "/plain/safe/", "/plain/unsafe/"}[r.IntN(6)]
	eventCount := 4 + r.IntN(40)
	prompt := 100 + r.IntN(1500)
	s.sent.Add(1)
	got := c.send(id, target, callerTimeout, fmt.Sprintf("X-Token-Count: %d,%d", prompt, eventCount*tokensPerStep))
	switch {
	case got.whole() && got.status == 200:
		s.whole.Add(1)
		if !oneVersion(got.body, eventCount) {
			s.violate("%s %s: not the whole answer of one version: %q", id, target, got.body)
		}
	case got.whole() && got.status == 503:
		s.refused.Add(1)
		if s.runsOf(id) > 0 {
			s.violate("%s %s: refused as not run, but it ran", id, target)
		}
		time.Sleep(retryAfter(got))
	case got.whole():
		s.failed.Add(1)
		if got.status != 504 && !s.withFaults {
			s.violate("%s %s by %s: %v", id, target, c.addr, got)
		}
	case errors.Is(got.err, errNotConnected):
		s.unread.Add(1)
		time.Sleep(redialDelay)
	case got.status == 0 && s.runsOf(id) == 0 && got.took < lossSlack:
		s.unread.Add(1) // It crossed the close of the connection.
	case got.took < callerTimeout && !s.withFaults:
		s.violate("%s %s by %s: broken off: %v, %d runs", id, target, c.addr, got, s.runsOf(id))
	}
	if n := s.runsOf(id); n > 1 && (target == "/once/" || target == "/plain/unsafe/") {
		s.violate("%s %s ran %d times", id, target, n)
	}
}

func retryAfter(r *reply) time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Second, time.Duration(seconds*float64(time.Second)))
}

// oneVersion reports whether body has n events in order, all of one version.
func oneVersion(body string, n int) bool {
	var first, version int
	if _, err := fmt.Sscanf(body, "id: %d\ndata: e1 of %d\n\n", &first, &version); err != nil {
		return false
	}
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: e%d of %d\n\n", i, i, version)
	}
	return body == want.String()
}
