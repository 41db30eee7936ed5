//go:build race

package relay_test

// raceDetector reports whether the race detector is on, with which tests take several times as long.
const raceDetector = true
