package peers

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/mirror"
)

// fakeService is a store at a position set by the test, whose watches end only when they are
// cancelled.
type fakeService struct {
	mu      sync.Mutex
	at      mirror.Position
	watched []mirror.Position // Positions that watches began at.
}

func (r *fakeService) follower() *Follower {
	return &Follower{
		Mirror: &mirror.Mirror{}, Event: func(string, fault.Code) {},
		ReadAll: func(context.Context) (mirror.Delta, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return mirror.Delta{Whole: true, At: r.at}, nil
		},
		Newest: func(context.Context) (mirror.Position, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.at, nil
		},
		Watch: func(ctx context.Context, since mirror.Position, _ time.Duration) (mirror.Delta, error) {
			r.mu.Lock()
			r.watched = append(r.watched, since)
			r.mu.Unlock()
			<-ctx.Done()
			return mirror.Delta{}, fault.New(fault.Unreachable, "given up")
		},
	}
}

func TestWatchEndsWhenOthersTellOfALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeService{at: mirror.NewPosition(1, 9)}
		f := r.follower()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		f.Mirror.Apply(mirror.Delta{Whole: true, At: mirror.NewPosition(2, 7)})
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		is.Equal(r.watched, []mirror.Position{mirror.NewPosition(1, 9), mirror.NewPosition(2, 7)})
	})
}

// An answer from the era before the store was restored does not prove that the mirror is up
// to date.
func TestCheckThatIsAnsweredInAnOlderEraProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeService{at: mirror.NewPosition(1, 90)}
		f := r.follower()
		f.Mirror.Apply(mirror.Delta{Whole: true, At: mirror.NewPosition(2, 7)})
		f.check(context.Background())
		is.True(f.CurrentAsOf().IsZero())
		is.True(f.CompleteAsOf().IsZero())
		r.at = mirror.NewPosition(2, 7)
		f.check(context.Background())
		is.Equal(f.CurrentAsOf(), time.Now())
		r.at = mirror.NewPosition(3, 5)
		f.check(context.Background())
		is.Equal(f.Mirror.At(), mirror.NewPosition(3, 5))
	})
}
