package times

import (
	"math"
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
