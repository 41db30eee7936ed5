// Package decimal reads numbers as headers tell them.
package decimal

import (
	"errors"
	"strconv"
	"strings"
)

// Parse reads a decimal number that is not below zero. It reports false for what is none:
// signs, names of numbers and other bases among them. One that is too large for a float64
// is positive infinity.
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
