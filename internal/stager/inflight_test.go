package stager

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/weights"
)

// inFlight returns a function that counts the bytes of weights that were sent to the last
// box and are not stored there yet.
func (s *testCluster) inFlight() func() int {
	sent, stored := 0, 0
	last := len(s.agents) - 1
	for _, a := range s.agents[:last] {
		pace := a.exchange.Pace
		a.exchange.Pace = func(ctx context.Context, n int) error {
			s.mu.Lock()
			sent += n
			s.mu.Unlock()
			return pace(ctx, n)
		}
	}
	x := s.agents[last].exchange
	event := x.Event
	x.Event = func(e weights.Event) {
		s.mu.Lock()
		if e.Kind == weights.EventPeerInHall {
			stored += e.Bytes
		}
		s.mu.Unlock()
		event(e)
	}
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return sent - stored
	}
}

// Shortly before the version of a box's replica expires, no more weights may be in flight
// to the box than its link carries within the margin that gateways keep, even if the link
// slows down at that moment. If it does not, the weights must still arrive in time.
//
// The test guards against requests that start on an expired version. A link slowed down to
// 0.3 Mbit/s about a second before gateways stopped sending requests for the older version,
// while the newer one was being transferred. Gateways learn of a slow link 0.5 to 1.2 s
// late. A request sent before that queued behind 60 to 100 KB of chunks for 1.7 to 2.7 s;
// its cancellation queued behind it, so it started up to 9.4 s after the newer version was
// published instead of at most 8 s.
func TestLittleIsOnItsWayNearAVersionsEnd(t *testing.T) {
	const (
		publishedAgo = 4800 * time.Millisecond // Time since publication when the box starts to fetch.
		slowRate     = 0.3 * bitsPerMega / bitsPerByte
		margin       = time.Second // Gateways send no requests for a version this long before it expires.
		step         = 5 * time.Millisecond
	)
	for _, tc := range []struct {
		name      string
		slowsDown bool
	}{{"usual link", false}, {"link that slows down", true}} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, func(_ *is.I, s *testCluster) {
				for range 8 {
					s.add(t, withVersion(2))
				}
				s.assign(1, 2, peers.Step{Version: 2, Age: publishedAgo - 2*time.Second})
				time.Sleep(2 * time.Second)
				s.add(t, withVersion(1))
				peak, count := 0, s.inFlight()
				s.assign(2, 2, peers.Step{Version: 2, Age: publishedAgo})
				down := s.down(len(s.agents) - 1)
				for range time.Second / step {
					time.Sleep(step)
					peak = max(peak, count())
					if n := s.missing(8, "m/2"); tc.slowsDown && n > 0 && n < pieceCount {
						down.SetRate(slowRate)
					}
				}
				if carried := int(slowRate * margin.Seconds()); peak == 0 || peak > carried {
					t.Errorf("at most %d bytes were in flight, want more than 0 and no more than %d", peak, carried)
				}
				if n := s.missing(8, "m/2"); !tc.slowsDown && n > 0 {
					t.Errorf("%d pieces were missing at the end", n)
				}
			})
		})
	}
}

// down returns the incoming link of a box.
func (s *testCluster) down(i int) *simnet.Link { return s.endpoints[i].Down }

// missing returns how many chunks of an artifact are not on a box: all of them if it has not
// started to fetch any.
func (s *testCluster) missing(i int, artifact string) int {
	if t := s.agents[i].exchange.Transfer(artifact); t != nil {
		if chunks, missing := t.Progress(); chunks > 0 {
			return missing
		}
	}
	return pieceCount
}
