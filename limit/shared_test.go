package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// bucket is a token bucket: what each gateway would have if it enforced its part of a limit on
// its own.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// strategy reports whether one of the gateways may send a request now.
type strategy func(now time.Time, gateway int) bool

// splitEvenly splits the limit between the first k gateways.
func splitEvenly(start time.Time, perSecond float64, k int) strategy {
	buckets := make([]bucket, k)
	for i := range buckets {
		buckets[i] = bucket{rate: perSecond / float64(k), burst: 1, tokens: 1, at: start}
	}
	return func(now time.Time, gateway int) bool { return gateway < k && buckets[gateway].take(now) }
}

// centralLimiter has one gateway enforce the limit. The others request permits from it unless
// it has just answered that none is available. A round trip takes a while; permits are granted
// when the request for one arrives.
func centralLimiter(perSecond float64, n int) strategy {
	const roundTrip = 5 * time.Millisecond
	var p Permits
	deniedUntil := make([]time.Time, n)
	return func(now time.Time, gateway int) bool {
		if now.Before(deniedUntil[gateway]) {
			return false
		}
		ok, next := p.Take(now.Add(roundTrip), perSecond, 0)
		deniedUntil[gateway] = next
		return ok
	}
}

// simulate returns the largest number of requests sent in any 4 s, and the total number sent
// relative to the limit.
func simulate(r *rand.Rand, maySend strategy, perSecond float64, n int, oneGateway bool) (worst int, used float64) {
	const duration, demand = 3 * time.Minute, 3.0 // demand is relative to the limit.
	began := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	busyGateway := r.IntN(n)
	var sent []time.Time
	for now := began; now.Sub(began) < duration; {
		now = now.Add(time.Duration(r.ExpFloat64() / (demand * perSecond) * float64(time.Second)))
		gateway := r.IntN(n)
		if oneGateway {
			gateway = busyGateway
		}
		if maySend(now, gateway) {
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
	return worst, float64(len(sent)) / (perSecond * duration.Seconds())
}

// A limit shared by many gateways is enforced, and can be used up wherever the callers are, if
// one gateway grants permits. Splitting it between all gateways exceeds it if there are many,
// and leaves most of it unused if all callers are at one gateway. Splitting it between a few
// gateways enforces it, but only callers at those gateways can use it.
func TestSharedLimitStrategies(t *testing.T) {
	const runs = 40
	start := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		gateways  int
		perSecond float64
	}{{6, 1.3}, {15, 1.7}, {46, 1.3}, {46, 20}} {
		allowed := 6*tc.perSecond + 5
		holders := min(tc.gateways, int(math.Floor(2*tc.perSecond+5)))
		for _, oneGateway := range []bool{false, true} {
			for _, w := range []struct {
				name     string
				make     func() strategy
				enforces bool
			}{
				{"parts", func() strategy { return splitEvenly(start, tc.perSecond, tc.gateways) }, false},
				{"holders", func() strategy { return splitEvenly(start, tc.perSecond, holders) }, false},
				{"limiter", func() strategy { return centralLimiter(tc.perSecond, tc.gateways) }, true},
			} {
				r := rand.New(rand.NewPCG(1, 2))
				worst, used := 0, 0.0
				for range runs {
					n, u := simulate(r, w.make(), tc.perSecond, tc.gateways, oneGateway)
					worst, used = max(worst, n), used+u/runs
				}
				t.Logf("%2d gateways, %4.1f a second, one-sided %5v, %-7s: at most %3d in 4 s of %5.1f, %.2f used", tc.gateways, tc.perSecond, oneGateway, w.name, worst, allowed, used)
				if w.enforces && (float64(worst) > allowed || used < 0.85) {
					t.Errorf("%d in 4 s, allowed %.1f; %.2f used", worst, allowed, used)
				}
			}
		}
	}
}
