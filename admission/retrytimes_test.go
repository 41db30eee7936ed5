package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// completeSteadily records a number of completed requests in each interval of a time.
func completeSteadily(t *RetryTimes, from time.Time, lasts time.Duration, each int) {
	for at := from; at.Before(from.Add(lasts)); at = at.Add(retryInterval) {
		for range each {
			t.Complete(at, "s")
		}
	}
}

// reserveAll reserves places for n requests of a level that are refused now, and returns their
// times.
func reserveAll(t *RetryTimes, now time.Time, level, n int) (times []time.Time) {
	for range n {
		r := t.Reserve(now, RetryRequest{Service: "s", Level: level, Earliest: now.Add(350 * time.Millisecond), Latest: now.Add(2 * time.Second)})
		if !r.At.IsZero() {
			times = append(times, r.At)
		}
	}
	return times
}

// Of what was completed recently, half is for retries: the most urgent rank may use all of that,
// and each other one half of the places of the one before. More callers told to return would be
// refused again.
func TestRetriesHaveHalfTheRoom(t *testing.T) {
	const seconds = 1.65 // From the earliest time to the latest.
	for _, tc := range []struct {
		name      string
		each      int // Requests completed in each interval.
		level     int
		perSecond float64
	}{
		{"most urgent rank", 4, 0, 40},
		{"next rank", 4, 1, 20},
		{"third rank", 4, 2, 10},
		{"one place in two intervals", 1, 0, 10},
		{"one place in four intervals", 1, 1, 5},
		{"less than a place a second", 1, 5, 0.3},
		{"least urgent rank", 1, 9, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var rt RetryTimes
			completeSteadily(&rt, testStart, 2*time.Second, tc.each)
			times := reserveAll(&rt, after(2000), tc.level, 200)
			is.True(float64(len(times)) >= 0.85*seconds*tc.perSecond-1)
			is.True(float64(len(times)) <= seconds*tc.perSecond+1)
			for i, at := range times {
				is.True(!at.Before(after(2350)))
				is.True(!at.After(after(4000)))
				is.True(i == 0 || at.After(times[i-1])) // No two at the same time.
			}
		})
	}
}

// An urgent caller finds room where less urgent ones have used what they may. These have no room
// where urgent ones have used all places, but may use what urgent ones leave.
func TestUrgentRetriesComeFirst(t *testing.T) {
	is := is.New(t)
	var rt RetryTimes
	completeSteadily(&rt, testStart, 2*time.Second, 2)
	is.True(len(reserveAll(&rt, after(2000), 1, 100)) >= 14)
	is.True(len(reserveAll(&rt, after(2000), 0, 100)) >= 14) // The other half of the places.
	is.Equal(len(reserveAll(&rt, after(2000), 1, 100)), 0)
	is.Equal(len(reserveAll(&rt, after(2000), 0, 100)), 0)

	var left RetryTimes
	completeSteadily(&left, testStart, 2*time.Second, 2)
	is.Equal(len(reserveAll(&left, after(2000), 0, 16)), 16)
	is.True(len(reserveAll(&left, after(2000), 1, 100)) >= 6)
}

// The room follows what was completed in the last 2 s. Where that is little or nothing, the room
// is unknown: callers are spread, not turned away.
func TestRoomOfRetries(t *testing.T) {
	for _, tc := range []struct {
		name     string
		complete func(rt *RetryTimes)
		min, max int // Places from 350 ms to 2 s after the refusal, of 100 requests.
	}{
		{"nothing completed", func(*RetryTimes) {}, 100, 100},
		{"another service", func(rt *RetryTimes) {
			for range 100 {
				rt.Complete(after(9000), "other")
			}
		}, 100, 100},
		{"too few completed", func(rt *RetryTimes) { completeSteadily(rt, after(9000), 3*retryInterval, 1) }, 100, 100},
		{"completed long ago", func(rt *RetryTimes) { completeSteadily(rt, testStart, 7*time.Second, 4) }, 100, 100},
		{"just begun again", func(rt *RetryTimes) {
			completeSteadily(rt, testStart, 2*time.Second, 8)
			completeSteadily(rt, after(9500), 500*time.Millisecond, 2)
		}, 30, 34},
		{"begun a moment ago", func(rt *RetryTimes) { completeSteadily(rt, after(9900), 100*time.Millisecond, 4) }, 12, 15},
		{"less than before", func(rt *RetryTimes) {
			completeSteadily(rt, testStart, 8*time.Second, 8)
			completeSteadily(rt, after(8000), 2*time.Second, 1)
		}, 14, 17},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var rt RetryTimes
			tc.complete(&rt)
			n := len(reserveAll(&rt, after(10000), 0, 100))
			if n < tc.min || n > tc.max {
				t.Errorf("%d places, want %d to %d", n, tc.min, tc.max)
			}
			for range 3 {
				at := rt.Reserve(after(10000), RetryRequest{Service: "s", Earliest: after(10350), Latest: after(10340)}).At
				is.True(at.IsZero()) // The earliest time is past the latest.
			}
		})
	}
}

// Callers are spread while the room is unknown, and never told a time past the latest.
func TestRetriesAreSpreadWhileTheRoomIsUnknown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		latest time.Time
		until  time.Time
	}{
		{"much time", after(5000), after(1350)},
		{"little time", after(600), after(600)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var rt RetryTimes
			const quarters = 4
			var count [quarters]int
			for range 400 {
				at := rt.Reserve(testStart, RetryRequest{Service: "s", Earliest: after(350), Latest: tc.latest}).At
				is.True(!at.Before(after(350)) && !at.After(tc.until))
				count[min(quarters-1, quarters*at.Sub(after(350))/tc.until.Sub(after(350)))]++
			}
			for _, n := range count {
				is.True(n >= 60) // Of 100 expected.
			}
		})
	}
}

// A caller that has been refused before uses up no place, since it most likely does not come back,
// and the number of places before a time is that of the retries reserved until then.
func TestReservedPlacesAreCounted(t *testing.T) {
	is := is.New(t)
	var rt RetryTimes
	completeSteadily(&rt, testStart, 2*time.Second, 2)
	r := RetryRequest{Service: "s", Earliest: after(2350), Latest: after(4000)}
	for i := range 10 {
		again := r
		again.NoPlace = true
		for range 3 {
			is.Equal(rt.Reserve(after(2000), again).Before, i)
		}
		is.Equal(rt.Reserve(after(2000), r).Before, i)
	}
	reserveAll(&rt, after(2000), 0, 100)
	r.Level = 1
	full := rt.Reserve(after(2000), r)
	is.True(full.At.IsZero())
	is.True(full.Before >= 28) // All places until the latest time.
}

// Services that are no longer configured are forgotten.
func TestRetryTimesKeepConfiguredServices(t *testing.T) {
	is := is.New(t)
	var rt RetryTimes
	rt.Complete(testStart, "s")
	rt.Complete(testStart, "gone")
	rt.Keep(func(service string) bool { return service == "s" })
	is.Equal(len(rt.schedules), 1)
	is.True(rt.schedules["s"] != nil)
}

// Whatever is completed and refused, and when, the reserved times are within the limits of each
// request, in no second there are more of a rank and those after it than its share of the room,
// and a more urgent request has no later time than a less urgent one.
func TestReservedTimesKeepTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const levels = 4
		most := rapid.IntRange(1, 6).Draw(t, "completed in an interval at most")
		var rt RetryTimes
		var reserved [levels][]time.Time
		now := testStart
		completeSteadily(&rt, now, 500*time.Millisecond, 1)
		now = now.Add(500 * time.Millisecond)
		for range rapid.IntRange(1, 60).Draw(t, "intervals") {
			for range rapid.IntRange(1, most).Draw(t, "completed") {
				rt.Complete(now, "s")
			}
			for range rapid.IntRange(0, 12).Draw(t, "refused") {
				at := now.Add(time.Duration(rapid.IntRange(0, int(retryInterval)-1).Draw(t, "offset")))
				r := RetryRequest{Service: "s", Level: rapid.IntRange(0, levels-1).Draw(t, "level")}
				r.Earliest = at.Add(time.Duration(rapid.IntRange(350, 1500).Draw(t, "earliest")) * time.Millisecond)
				r.Latest = at.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "latest")) * time.Millisecond)
				urgent := r
				urgent.Level, urgent.NoPlace = max(0, r.Level-1), true
				first := rt.Reserve(at, urgent).At
				got := rt.Reserve(at, r).At
				if got.IsZero() {
					continue
				}
				if first.IsZero() || first.After(got) {
					t.Fatalf("level %d has %v, and the one before it %v", r.Level, got, first)
				}
				if got.Before(r.Earliest) || got.After(r.Latest) {
					t.Fatalf("%v is not from %v to %v", got, r.Earliest, r.Latest)
				}
				reserved[r.Level] = append(reserved[r.Level], got)
			}
			now = now.Add(retryInterval)
		}
		room := float64(most) / retryInterval.Seconds() / 2
		for level := range levels {
			var times []time.Time
			for _, ts := range reserved[level:] {
				times = append(times, ts...)
			}
			for _, from := range times {
				n := 0
				for _, at := range times {
					if d := at.Sub(from); d >= 0 && d < time.Second-retryInterval {
						n++
					}
				}
				if float64(n) > max(1, room) {
					t.Fatalf("%d places within a second from level %d on, of %.2f", n, level, room)
				}
			}
			room /= 2
		}
	})
}
