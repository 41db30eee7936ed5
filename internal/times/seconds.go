package times

import (
	"math"
	"time"

	"github.com/poststand/poststand/internal/decimal"
)

// MaxDuration is the longest time that Seconds returns.
const MaxDuration = 10 * 365 * 24 * time.Hour

// ParseSeconds parses a time in seconds, fractions included, as headers tell it. One that is too
// long to be told apart from forever is Longest. It reports false for what is no number,
// and for one below zero.
func ParseSeconds(s string) (time.Duration, bool) {
	v, ok := decimal.Parse(s)
	if !ok {
		return 0, false
	}
	if v >= MaxDuration.Seconds() {
		return MaxDuration, true
	}
	return time.Duration(math.Ceil(v * float64(time.Second))), true
}
