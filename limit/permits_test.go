package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

// Whatever the order and ranks of requests and the changes of the limit, no time span has more
// permits than the limit allows in it plus the burst.
func TestPermitsHoldTheLimitInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 4 * time.Second
		var p Permits
		now := epoch
		highest := 0.0
		var given []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			perSecond := rapid.SampledFrom([]float64{0, 0.4, 1.3, 1.7, 20}).Draw(t, "limit")
			highest = max(highest, perSecond)
			ok, next := p.Take(now, perSecond, rapid.IntRange(-1, NumRanks).Draw(t, "rank"))
			if ok {
				given = append(given, now)
			} else if !next.After(now) {
				t.Fatal("permit denied although one is available at once")
			}
		}
		most := span.Seconds()*max(minRate, highest) + max(minBurst, burstSeconds*highest)
		for i, from := range given {
			n := 0
			for i+n < len(given) && given[i+n].Sub(from) < span {
				n++
			}
			if float64(n) > most {
				t.Fatalf("%d permits within %v, of %.1f", n, span, most)
			}
		}
	})
}

// A permit is available at the time that was returned for it, if nobody else took it.
func TestPermitIsFreeWhenItIsSaidToBe(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1.3, 20, 1e6} {
		is := is.New(t)
		var p Permits
		ok, next := p.Take(epoch, perSecond, 3)
		is.True(!ok) // It is not known what was sent before.
		ok, _ = p.Take(next.Add(-time.Microsecond), perSecond, 3)
		is.True(!ok)
		ok, _ = p.Take(next.Add(time.Microsecond), perSecond, 3)
		is.True(ok)
	}
}

// While a more urgent request was recently denied a permit, the last available permit is
// reserved for it.
func TestMostUrgentRequestsHaveThePermits(t *testing.T) {
	const perSecond = 2.0
	is := is.New(t)
	var p Permits
	got := map[int]int{}
	for i := range 600 { // 20 a second.
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		rank := []int{7, 7, 1}[i%3]
		if ok, _ := p.Take(now, perSecond, rank); ok {
			got[rank]++
		}
	}
	is.True(got[1] >= 57) // Of 60 in 30 s.
	is.True(got[7] <= 2)
	ok := false
	for i := range 200 { // Without urgent requests, the others get all permits.
		now := epoch.Add(time.Minute + time.Duration(i)*50*time.Millisecond)
		ok, _ = p.Take(now, perSecond, 7)
		if ok {
			got[7]++
		}
	}
	is.True(got[7] >= 20)
}
