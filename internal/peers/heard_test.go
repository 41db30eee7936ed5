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

// A process that heard nothing for a while, since its connections were silent or it stood
// still, is told of a change at once when it watches anew. The change may be as old as the
// silence: by then it was made since the mirror was last known to be the newest, and is
// not of this moment. Gateways that stood still from just before a naming for 2.5 s took
// it to be of when they woke, and so did all their agents: 37 requests began on the older
// version between 8.0 and 9.1 s after the naming was acknowledged.
func TestWhatALateWatchBringsIsNotOfNow(t *testing.T) {
	const deaf, change = 3 * time.Second, time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		silent := func(ctx context.Context) error {
			select {
			case <-time.After(time.Until(began.Add(deaf))): // A keep-alive ends it.
			case <-ctx.Done():
			}
			return fault.New(fault.Closed, "silent")
		}
		m := &mirror.Mirror{}
		f := &peers.Follower{
			Mirror: m, MaxAssumedAge: 5 * time.Second, Event: func(string, fault.Code) {},
			ReadAll: func(context.Context) (mirror.Delta, error) {
				return mirror.Delta{Whole: true, At: 1, Records: []mirror.Record{{Key: "old", Rev: 1}}}, nil
			},
			Watch: func(ctx context.Context, since mirror.Position, wait time.Duration) (mirror.Delta, error) {
				if time.Since(began) < deaf {
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
		time.Sleep(deaf + time.Second)
		records, at := m.Records()
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute) // The watch under way is over.
		is.Equal(at, mirror.Position(2))
		is.True(!records["named"].NotBefore.After(began.Add(change))) // It was made a second into the silence.
	})
}
