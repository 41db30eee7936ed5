package peers

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/mirror"
)

// A watch is silent, and reading all records takes 2.5 s over a saturated link. The check that
// found a change must allow as much time for them as the first read does, instead of timing
// out again and again.
func TestCheckReadsAllRecordsOverASlowLink(t *testing.T) {
	const slow, within = 2500 * time.Millisecond, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var at, reads atomic.Uint64
		at.Store(1)
		pause := func(ctx context.Context, d time.Duration) error {
			select {
			case <-time.After(d):
				return nil
			case <-ctx.Done():
				return fault.New(fault.Unreachable, "too late")
			}
		}
		f := &Follower{
			Mirror: &mirror.Mirror{}, Event: func(string, fault.Code) {},
			ReadAll: func(ctx context.Context) (mirror.Delta, error) {
				reads.Add(1)
				d := mirror.Delta{Whole: true, At: mirror.Position(at.Load()), Records: []mirror.Record{{Key: "k", Rev: mirror.Position(at.Load())}}}
				return d, pause(ctx, slow)
			},
			Watch: func(ctx context.Context, since mirror.Position, wait time.Duration) (mirror.Delta, error) {
				return mirror.Delta{Base: since, At: since}, pause(ctx, wait)
			},
			Newest: func(context.Context) (mirror.Position, error) { return mirror.Position(at.Load()), nil },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		go func() { _ = f.RunChecks(ctx) }()
		time.Sleep(4 * time.Second)
		is.Equal(f.Mirror.At(), mirror.Position(1)) // The first read has five seconds.
		at.Store(2)
		time.Sleep(within)
		got := f.Mirror.At()
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		t.Logf("%d whole reads", reads.Load())
		is.Equal(got, mirror.Position(2))
	})
}
