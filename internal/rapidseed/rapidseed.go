// Package rapidseed fixes the seed of property-based tests, so that every run gives the
// same result. POSTSTAND_RANDOM=1 uses a random seed instead.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Main is the TestMain of packages with property-based tests.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv("POSTSTAND_RANDOM") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
