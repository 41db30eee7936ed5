//go:build !race

package relay_test

const raceDetector = false
