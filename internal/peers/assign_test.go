package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
)

// A gateway that receives a new target version first assumes the greatest age for the change,
// and a moment later learns its actual age. The corrected time must reach the agents: with the
// first one, they would load the version in too short a time.
func TestAssignmentOfAnotherTimeIsNotTheSame(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	assign := func(ago time.Duration) *Assignment {
		return Assign(&catalog.Catalog{
			Config:  &config.Config{Services: map[string]config.Service{"llm": {Model: "m"}}},
			Targets: map[string]catalog.Target{"m": catalog.Target{}.With(catalog.TargetChange{Version: 2, SetAt: now.Add(-ago)})},
		}, "llm", now)
	}
	first, corrected := assign(5500*time.Millisecond), assign(200*time.Millisecond)
	is.Equal(first.Steps[0].Age-corrected.Steps[0].Age, 5300*time.Millisecond)
	is.True(!corrected.SameForAgent(first))
}
