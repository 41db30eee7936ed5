// Package decimal parses decimal numbers of HTTP headers.
package decimal

import (
	"errors"
	"strconv"
	"strings"
)

// Parse parses a non-negative decimal number. It reports false for any other text, such as
// a negative number, NaN, Inf or a number in another base. A number that is too large for
// a float64 gives positive infinity.
func Parse(s string) (float64, bool) {
	s = strings.TrimSpace(s)
	if s == "" || strings.Trim(s, "0123456789.eE+") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return v, true
}
