package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The expected time of completion follows the rate since the last pause. With an outage of the
// origin counted in, a version that arrived 2 s after it was expected 15 s later, and so were the
// replicas that wait for it.
func TestCompleteByAfterAPause(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		name     string
		arrivals []time.Duration // Of chunks, of ten.
		want     time.Duration   // Zero if not known.
	}{
		{"no chunk", nil, 0},
		{"two chunks in half a second", []time.Duration{0, 500 * time.Millisecond}, 2500 * time.Millisecond},
		{"after a pause", []time.Duration{0, 100 * time.Millisecond, 6 * time.Second, 6200 * time.Millisecond}, 6800 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &Plan{Self: "a", Strategy: Swarm, Chunks: 10}
			p.Init(nil, []string{"a"})
			tr := &Transfer{plan: p}
			now := start
			for i, d := range tc.arrivals {
				now = start.Add(d)
				p.MarkHeld(i)
				tr.recordArrival(now)
			}
			by := tr.CompleteBy(now)
			is := is.New(t)
			is.Equal(by.IsZero(), tc.want == 0)
			if !by.IsZero() {
				is.Equal(by.Sub(start), tc.want)
			}
		})
	}
}
