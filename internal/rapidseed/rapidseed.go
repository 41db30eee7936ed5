// Package rapidseed fixes the seed of property-based tests, so that a run gives
// the same verdict each time. POSTSTAND_RANDOM=1 draws anew.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Main is the TestMain of packages with properties.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv("POSTSTAND_RANDOM") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
