package peers

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An answer of another build, or a broken one, must not make a replica look idle or busy.
func TestImplausibleLoadAnswersAreInvalid(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(a *LoadAnswer)
		valid  bool
	}{
		"plausible":          {func(*LoadAnswer) {}, true},
		"no pace":            {func(a *LoadAnswer) { a.Pace = 0 }, true},
		"negative queue":     {func(a *LoadAnswer) { a.Queued = -1 }, false},
		"negative running":   {func(a *LoadAnswer) { a.Running = -1 }, false},
		"absurd queue":       {func(a *LoadAnswer) { a.Queued = 1 << 40 }, false},
		"pace not a number":  {func(a *LoadAnswer) { a.Pace = math.NaN() }, false},
		"infinite pace":      {func(a *LoadAnswer) { a.Pace = math.Inf(1) }, false},
		"negative pace":      {func(a *LoadAnswer) { a.Pace = -1 }, false},
		"change in the past": {func(a *LoadAnswer) { a.ChangeIn = -time.Second }, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := LoadAnswer{Version: 1, Queued: 3, Running: 12, Pace: 1.5, ChangeIn: time.Second, Reached: true}
			tc.change(&a)
			is.New(t).Equal(a.Valid(), tc.valid)
		})
	}
}
