package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// bucket gives permits at a rate, and has most of them free at once. It is what each gateway
// would have if it held its part of a limit alone.
type bucket struct {
	rate, most, free float64
	at               time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.free = min(b.most, b.free+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.free < 1 {
		return false
	}
	b.free--
	return true
}

// way reports whether one of n gateways may send a request now.
type way func(now time.Time, gateway int) bool

// byParts has k of n gateways hold a part of the limit each.
func byParts(start time.Time, perSecond float64, k int) way {
	parts := make([]bucket, k)
	for i := range parts {
		parts[i] = bucket{rate: perSecond / float64(k), most: 1, free: 1, at: start}
	}
	return func(now time.Time, gateway int) bool { return gateway < k && parts[gateway].take(now) }
}

// byLimiter has one gateway keep the limit, and each other ask it unless it was just told that
// there is no permit. An answer takes a while; permits are given when the question comes.
func byLimiter(perSecond float64, n int) way {
	const trip = 5 * time.Millisecond
	var p Permits
	none := make([]time.Time, n)
	return func(now time.Time, gateway int) bool {
		if now.Before(none[gateway]) {
			return false
		}
		ok, next := p.Take(now.Add(trip), perSecond, 0)
		none[gateway] = next
		return ok
	}
}

// playWay returns the most that was sent in some 4 s, and what was sent in all, over the limit.
func playWay(r *rand.Rand, w way, perSecond float64, n int, oneSided bool) (worst int, used float64) {
	const lasting, demand = 3 * time.Minute, 3.0 // Times the limit.
	began := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	only := r.IntN(n)
	var sent []time.Time
	for now := began; now.Sub(began) < lasting; {
		now = now.Add(time.Duration(r.ExpFloat64() / (demand * perSecond) * float64(time.Second)))
		gateway := r.IntN(n)
		if oneSided {
			gateway = only
		}
		if w(now, gateway) {
			sent = append(sent, now)
		}
	}
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= 4*time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst, float64(len(sent)) / (perSecond * lasting.Seconds())
}

// A limit that many gateways hold is kept, and used wherever the callers are, by one of them
// that gives permits. By parts it is broken where there are many, and hardly used where one has
// the callers; a few holders of parts keep it, and use it only where they have callers.
func TestWaysToHoldALimitTogether(t *testing.T) {
	const plays = 40
	start := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		gateways  int
		perSecond float64
	}{{6, 1.3}, {15, 1.7}, {46, 1.3}, {46, 20}} {
		allowed := 6*tc.perSecond + 5
		holders := min(tc.gateways, int(math.Floor(2*tc.perSecond+5)))
		for _, oneSided := range []bool{false, true} {
			for _, w := range []struct {
				name  string
				make  func() way
				holds bool
			}{
				{"parts", func() way { return byParts(start, tc.perSecond, tc.gateways) }, false},
				{"holders", func() way { return byParts(start, tc.perSecond, holders) }, false},
				{"limiter", func() way { return byLimiter(tc.perSecond, tc.gateways) }, true},
			} {
				r := rand.New(rand.NewPCG(1, 2))
				worst, used := 0, 0.0
				for range plays {
					n, u := playWay(r, w.make(), tc.perSecond, tc.gateways, oneSided)
					worst, used = max(worst, n), used+u/plays
				}
				t.Logf("%2d gateways, %4.1f a second, one-sided %5v, %-7s: at most %3d in 4 s of %5.1f, %.2f used", tc.gateways, tc.perSecond, oneSided, w.name, worst, allowed, used)
				if w.holds && (float64(worst) > allowed || used < 0.85) {
					t.Errorf("%d in 4 s, allowed %.1f; %.2f used", worst, allowed, used)
				}
			}
		}
	}
}
