package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
)

// A gateway that is told of a naming takes it to be as old as may be, tells its agents at
// once, and learns a moment later when it was made. Agents are to be told that too: they
// would bring their replicas to the version in what is left of a time that is too short.
func TestAssignmentOfAnotherTimeIsNotTheSame(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	assign := func(ago time.Duration) *Assignment {
		return Assign(&catalog.Catalog{
			Config:  &config.Config{Services: map[string]config.Service{"llm": {Model: "m"}}},
			Targets: map[string]catalog.Target{"m": catalog.Target{}.With(catalog.TargetChange{Version: 2, SetAt: now.Add(-ago)})},
		}, "llm", now)
	}
	first, mended := assign(5500*time.Millisecond), assign(200*time.Millisecond)
	is.Equal(first.Steps[0].Age-mended.Steps[0].Age, 5300*time.Millisecond)
	is.True(!mended.SameForAgent(first))
}
