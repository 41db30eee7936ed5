package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Any order of arrivals, releases and cancellations keeps the bounds, loses no slot and leaves
// nothing behind.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slots, room = 3, 4
		q := &Queue{MaxRunning: func() int { return slots }, MaxWaiting: func() int { return room }}
		n := rapid.IntRange(1, 40).Draw(rt, "requests")
		orgs := make([]string, n)
		timeouts := make([]int, n)
		for i := range n {
			orgs[i] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "org")
			timeouts[i] = rapid.IntRange(1, 30).Draw(rt, "timeout")
		}
		synctest.Test(t, func(t *testing.T) {
			for i := range n {
				go func() {
					release, err := q.Acquire(t.Context(), Request{Organisation: orgs[i], Priority: i % 3, Deadline: time.Now().Add(time.Duration(timeouts[i]) * time.Millisecond)})
					if err != nil {
						return
					}
					time.Sleep(time.Duration(i%5) * time.Millisecond)
					release()
				}()
				if i%3 == 0 {
					time.Sleep(time.Millisecond)
				}
				running, waiting := q.Load()
				if running > slots || waiting > room+1 {
					t.Fatalf("%d running and %d waiting", running, waiting)
				}
			}
			time.Sleep(time.Second)
			if running, waiting := q.Load(); running != 0 || waiting != 0 {
				t.Fatalf("left behind: %d running, %d waiting", running, waiting)
			}
		})
	})
}

// A burst of one organisation does not starve another, whatever priority it claims; requests of
// the organisation that exceeds its share are refused.
func TestSmallOrganisationIsServedBesideABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &Queue{MaxRunning: func() int { return 4 }, MaxWaiting: func() int { return 20 }}
		refused := 0
		for range 100 {
			go func() {
				release, err := q.Acquire(t.Context(), Request{Organisation: "large", Priority: 9, Deadline: time.Now().Add(time.Hour)})
				if err != nil {
					refused++
					return
				}
				time.Sleep(100 * time.Millisecond)
				release()
			}()
			synctest.Wait()
		}
		is.True(refused > 0)
		for range 10 {
			began := time.Now()
			release, err := q.Acquire(t.Context(), Request{Organisation: "small", Deadline: time.Now().Add(time.Hour)})
			is.NoErr(err)
			is.True(time.Since(began) <= 100*time.Millisecond) // The next slot that becomes free.
			release()
		}
		time.Sleep(time.Minute)
	})
}

func TestAcquireStopsWhenContextIsCancelled(t *testing.T) {
	is := is.New(t)
	q := &Queue{MaxRunning: func() int { return 1 }, MaxWaiting: func() int { return 1 }}
	release, err := q.Acquire(t.Context(), Request{Deadline: time.Now().Add(time.Hour)})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = q.Acquire(ctx, Request{Deadline: time.Now().Add(time.Hour)})
	is.Equal(fault.CodeOf(err), fault.Cancelled)
	release()
}
