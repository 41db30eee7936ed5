package admission

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"github.com/poststand/poststand/quarantine"
)

// afterJump returns t as a process reads it whose wall clock has jumped by a number of seconds: the
// wall time differs and the monotonic reading does not. No function of package time makes such a
// time, so its field is changed.
func afterJump(t time.Time, seconds int64) time.Time {
	const secondsShift = 30 // The field holds the seconds above 30 bits of nanoseconds.
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall = uint64(int64(*wall) + seconds<<secondsShift)
	return t
}

// A wall clock that jumps must change no decision: no wait, no memory of a refusal and no expected
// retry ends early or late.
func TestJumpOfTheClockChangesNothing(t *testing.T) {
	const hour = 3600
	for _, seconds := range []int64{0, hour, -hour, 400 * 24 * hour} {
		t.Run(fmt.Sprintf("by %d s", seconds), func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			after := func(d time.Duration) time.Time { return afterJump(start.Add(d), seconds) }
			is.Equal(after(time.Second).Sub(start), time.Second)
			is.Equal(after(0).Round(0).Sub(start.Round(0)), time.Duration(seconds)*time.Second) // It did jump.

			key := quarantine.KeyOf([]byte("t"), []byte("/s/"), []byte("body"))
			expecting := func() *ExpectedRetries {
				var r ExpectedRetries
				r.Expect(start, ExpectedRetry{Key: key, NotBefore: start.Add(time.Second)})
				return &r
			}
			is.Equal(expecting().Arrive(after(800*time.Millisecond), key), RetriedEarly)
			is.Equal(expecting().Arrive(after(time.Second), key), RetriedOnTime)
			is.Equal(expecting().Arrive(after(3900*time.Millisecond), key), RetriedOnTime)
			is.Equal(expecting().Arrive(after(4*time.Second), key), FirstAttempt)

			var p Pressure
			p.RecordRefusal(start)
			p.RecordState(start, "g2", 0)
			is.True(p.Cuts(after(StateExpiry-1), 1))
			is.True(!p.Cuts(after(StateExpiry), 1))
			is.True(p.RefusedHere(after(RefusalMemory - 1)))
			is.True(!p.RefusedHere(after(RefusalMemory)))

			var shares Shares
			shares.Record(start, &Profile{Organisation: "a", Work: 100}, true)
			shares.Record(start, &Profile{Organisation: "b", Work: 10}, true)
			is.True(shares.OverShare(after(time.Second), "a"))
			is.True(!shares.OverShare(after(3*time.Second), "a"))

			s := NewService([]Route{{Rank: 1, Target: 400 * time.Millisecond}})
			d := &Demand{Rank: 1, ArrivedAt: start, Deadline: start.Add(6 * time.Second)}
			tooLong := Prediction{Wait: 300 * time.Millisecond, FirstEvent: 350 * time.Millisecond}
			is.Equal(s.Decide(after(99*time.Millisecond), d, tooLong).Verdict, Wait)
			is.Equal(s.Decide(after(100*time.Millisecond), d, tooLong).Verdict, Refuse)
			is.Equal(s.Decide(after(5800*time.Millisecond), d, tooLong).Cause, DeadlineTooClose)

			var times RetryTimes
			for i := range 40 {
				times.Complete(start.Add(time.Duration(i)*retryInterval), "llm")
			}
			now := after(2 * time.Second)
			got := times.Reserve(now, RetryRequest{Service: "llm", Earliest: now.Add(350 * time.Millisecond), Latest: now.Add(2 * time.Second)})
			is.Equal(got.At.Sub(now).Truncate(retryInterval), 350*time.Millisecond) // One each interval was completed, so there is room.
			is.Equal(times.Reserve(now, RetryRequest{Service: "llm", Earliest: now.Add(350 * time.Millisecond), Latest: now.Add(2 * time.Second)}).Before, 1)
		})
	}
}
