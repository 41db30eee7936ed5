// Package times compares points in time and parses durations given in seconds.
package times

import "time"

// Later returns the later of two times; the zero time is the earliest.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Earlier returns the earlier of two times; the zero time is the earliest.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
