package peers

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
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

// Three agents are queried for each request, so a query and its answer must stay small.
func TestLoadMessagesAreSmall(t *testing.T) {
	const limit = 75 // Bytes of both, without the headers of frames.
	is := is.New(t)
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	is.NoErr(enc.Encode(&LoadQuery{"10.12.103.114:8080"}))
	is.NoErr(enc.Encode(&LoadAnswer{Version: 12, Queued: 2, Running: 12, Pace: 2.5, Reached: true}))
	is.True(buf.Len() <= limit)
}

// A report with absurd values must not make a replica look idle, nor hold up later ones.
func TestImplausibleReportsAreInvalid(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, r := range []Report{{Pace: math.NaN()}, {Pace: 1e300}, {Pace: -1}, {Queued: -1}, {Running: 1 << 40}, {Age: -time.Hour}} {
		is.True(!r.Valid())
		s := Status{Queued: r.Queued, Running: r.Running, Pace: r.Pace}
		is.Equal(s.Valid(), r.Age < 0)
	}
	is.True((&Report{Queued: 3, Running: 12, Pace: 1.5, Age: time.Second}).Valid())
}
