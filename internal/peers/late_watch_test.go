package peers_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/mirror"
)

// A process that received nothing for a while, since its connections were silent or it was
// paused, gets a missed change at once when it watches again. The change may be as old as the
// silence and must not be dated by its arrival. Gateways paused for 2.5 s from just before a
// change of the target version dated it by their resumption, and so did their agents: 37
// requests began on the older version between 8.0 and 9.1 s after the change was acknowledged.
func TestChangeFromALateWatchIsNotDatedByItsArrival(t *testing.T) {
	const silence, change = 3 * time.Second, time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		silent := func(ctx context.Context) error {
			select {
			case <-time.After(time.Until(began.Add(silence))): // A keep-alive ends it.
			case <-ctx.Done():
			}
			return fault.New(fault.ConnectionLost, "silent")
		}
		m := &mirror.Mirror{}
		f := &peers.Follower{
			Mirror: m, MaxAssumedAge: 5 * time.Second, Event: func(string, fault.Code) {},
			ReadAll: func(context.Context) (mirror.Delta, error) {
				return mirror.Delta{Whole: true, At: 1, Records: []mirror.Record{{Key: "old", Rev: 1}}}, nil
			},
			Watch: func(ctx context.Context, since mirror.Position, wait time.Duration) (mirror.Delta, error) {
				if time.Since(began) < silence {
					return mirror.Delta{}, silent(ctx)
				}
				if since < 2 {
					return mirror.Delta{Base: since, At: 2, Records: []mirror.Record{{Key: "named", Rev: 2}}}, nil
				}
				time.Sleep(wait)
				return mirror.Delta{Base: since, At: 2}, nil
			},
			Newest: func(ctx context.Context) (mirror.Position, error) { return 0, silent(ctx) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(silence + time.Second)
		records, at := m.Records()
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute) // Lets the last watch end.
		is.Equal(at, mirror.Position(2))
		is.True(!records["named"].NotBefore.After(began.Add(change))) // It was made one second into the silence.
	})
}
