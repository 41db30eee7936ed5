package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// No span of the window's length has more retries than the limit allows for the requests of
// twice that span, however both are distributed in time.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, slack = 10 * time.Second, 5.0
		var w RetryWindow
		l := RetryLimit{Window: length, Ratio: 0.2, Slack: slack}
		now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
		var requests, sends []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now, length)
				requests = append(requests, now)
			} else if w.TrySpend(now, l, 0) {
				sends = append(sends, now)
			}
		}
		for _, end := range sends {
			in := func(ts []time.Time, span time.Duration) (n int) {
				for _, at := range ts {
					if !at.After(end) && end.Sub(at) < span {
						n++
					}
				}
				return n
			}
			if n := in(sends, length); float64(n) > knownShare*(0.2*float64(in(requests, 2*length))+slack) {
				t.Fatalf("%d retries in a span", n)
			}
		}
	})
}
