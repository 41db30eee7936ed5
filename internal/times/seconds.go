package times

import (
	"math"
	"strconv"
	"time"

	"github.com/poststand/poststand/internal/decimal"
)

// MaxDuration is the longest duration that ParseSeconds returns.
const MaxDuration = 10 * 365 * 24 * time.Hour

// ParseSeconds parses a decimal number of seconds, such as the value of a Retry-After
// header, and rounds it up to a nanosecond. Longer times than MaxDuration become
// MaxDuration. It reports false if s is not a number or is negative.
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

// FormatSeconds formats a duration as a decimal number of seconds, rounded up to a hundredth:
// whoever waits that long does not come too early. A negative duration is 0.
func FormatSeconds(d time.Duration) string {
	const unit = 10 * time.Millisecond
	hundredths := (max(0, d) + unit - 1) / unit
	return strconv.FormatFloat(float64(hundredths)/100, 'f', 2, 64)
}
