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

// onTheWay counts the bytes of weights that were sent to the last box of a site and are
// not kept there yet.
func (s *site) onTheWay() func() int {
	sent, kept := 0, 0
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
	tell := x.Event
	x.Event = func(e weights.Event) {
		s.mu.Lock()
		if e.Kind == weights.EventPeerInHall {
			kept += e.Bytes
		}
		s.mu.Unlock()
		tell(e)
	}
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return sent - kept
	}
}

// Near the end of the time of the version that a box's replica serves, no more weights
// are on their way to the box than its link carries in the margin that gateways keep, if
// it narrows just then; and they still come in time if it doesn't.
//
// The story: of dalbit-prod, links of replicas' boxes were narrowed to 0.3 Mbit/s about a
// second before gateways stopped sending on the older version, while the newer one was on
// its way there. Gateways hear of a slow link 0.5 to 1.2 s after it narrows; a request that
// one of them sent before that stood behind 60 to 100 KB of pieces for 1.7 to 2.7 s, was
// given up in time, and began all the same, up to 9.4 s after the newer version was named
// instead of 8: the word that it was given up stood behind it in the same queue. 7 of 18
// drawn days broke the rule.
func TestLittleIsOnItsWayNearAVersionsEnd(t *testing.T) {
	const (
		named    = 4800 * time.Millisecond // Ago, when the box begins to fetch.
		narrowed = 0.3 * bitsPerMega / bitsPerByte
		margin   = time.Second // Of gateways, from the last request that they send to the end.
		step     = 5 * time.Millisecond
	)
	for _, tc := range []struct {
		name    string
		narrows bool
	}{{"usual link", false}, {"link that narrows", true}} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(_ *is.I, s *site) {
				for range 8 {
					s.add(t, withVersion(2))
				}
				s.assign(1, 2, peers.Step{Version: 2, Age: named - 2*time.Second})
				time.Sleep(2 * time.Second)
				s.add(t, withVersion(1))
				most, count := 0, s.onTheWay()
				s.assign(2, 2, peers.Step{Version: 2, Age: named})
				down := s.down(len(s.agents) - 1)
				for range time.Second / step {
					time.Sleep(step)
					most = max(most, count())
					if n := s.missing(8, "m/2"); tc.narrows && n > 0 && n < pieceCount {
						down.SetRate(narrowed)
					}
				}
				if carried := int(narrowed * margin.Seconds()); most == 0 || most > carried {
					t.Errorf("%d bytes were on their way at most, want some and no more than %d", most, carried)
				}
				if n := s.missing(8, "m/2"); !tc.narrows && n > 0 {
					t.Errorf("%d pieces lacked at the end", n)
				}
			})
		})
	}
}

// down is the link over which a box is sent things.
func (s *site) down(i int) *simnet.Link { return s.ends[i].Down }

// missing is how many pieces of an artifact a box lacks: all while it has not begun to
// fetch them.
func (s *site) missing(i int, artifact string) int {
	if t := s.agents[i].exchange.Transfer(artifact); t != nil {
		if chunks, missing := t.Progress(); chunks > 0 {
			return missing
		}
	}
	return pieceCount
}
