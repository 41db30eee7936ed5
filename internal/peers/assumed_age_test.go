package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/mirror"
)

// A process that starts 7 s after a change assumes that it was made MaxAssumedAge ago, 5.5 s.
// A process that was running has a later bound, and pulls all records from the first when it
// is behind. The assumed time must not replace the proven one: no lower bound may be later
// than the change.
func TestDoubtDoesNotTravel(t *testing.T) {
	const assumed, after = 5500 * time.Millisecond, 7 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		running := &Follower{Mirror: &mirror.Mirror{}, MaxAssumedAge: assumed}
		running.applyRead(mirror.Delta{Whole: true, At: 1, Records: []mirror.Record{{Key: "other", Rev: 1}}}, time.Now())
		time.Sleep(100 * time.Millisecond)
		changedAt := time.Now()
		target := mirror.Record{Key: "named", Rev: 2}
		running.applyRead(mirror.Delta{Whole: true, At: 2, Records: []mirror.Record{{Key: "other", Rev: 1}, target}}, changedAt)
		time.Sleep(after)

		started := &Follower{Mirror: &mirror.Mirror{}, MaxAssumedAge: assumed}
		all := []mirror.Record{{Key: "other", Rev: 3}, target}
		started.applyRead(mirror.Delta{Whole: true, At: 3, Records: all}, time.Now())

		requestedAt := time.Now()
		answer := newRecords(started.Mirror.Since(running.Mirror.At()), requestedAt)
		is.True(answer.Delta.Whole)
		answer.setTimes(requestedAt)
		is.True(running.Mirror.Apply(running.withLowerBounds(answer.Delta)))
		rs, at := running.Mirror.Records()
		is.Equal(at, mirror.Position(3))
		got := rs["named"]
		is.True(!got.NotBefore.After(changedAt)) // Otherwise it is no lower bound.
		is.True(!got.GapNotBefore.After(changedAt))
		is.True(!got.EarliestTime().After(changedAt))
	})
}
