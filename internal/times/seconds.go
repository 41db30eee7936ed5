package times

import (
	"math"
	"time"

	"github.com/poststand/poststand/internal/decimal"
)

// Longest is the longest time that Seconds returns.
const Longest = 10 * 365 * 24 * time.Hour

// Seconds parses a time in seconds, fractions included, as headers tell it. One that is too
// long to be told apart from forever is Longest. It reports false for what is no number,
// and for one below zero.
func Seconds(s string) (time.Duration, bool) {
	v, ok := decimal.Parse(s)
	if !ok {
		return 0, false
	}
	if v >= Longest.Seconds() {
		return Longest, true
	}
	return time.Duration(math.Ceil(v * float64(time.Second))), true
}
