package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/mirror"
)

// A process that starts 7 s after a change takes it to have been made Doubt ago, at 5.5 s.
// One that was there knows better, and pulls all records from the first, as it does when
// it is behind by anything: nothing that it knows may become later than the change was.
func TestDoubtDoesNotTravel(t *testing.T) {
	const doubt, after = 5500 * time.Millisecond, 7 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lived := &Follower{Mirror: &mirror.Mirror{}, MaxAssumedAge: doubt}
		lived.take(mirror.Delta{Whole: true, At: 1, Records: []mirror.Record{{Key: "other", Rev: 1}}}, time.Now())
		time.Sleep(100 * time.Millisecond)
		made := time.Now()
		naming := mirror.Record{Key: "named", Rev: 2}
		lived.take(mirror.Delta{Whole: true, At: 2, Records: []mirror.Record{{Key: "other", Rev: 1}, naming}}, made)
		time.Sleep(after)

		started := &Follower{Mirror: &mirror.Mirror{}, MaxAssumedAge: doubt}
		all := []mirror.Record{{Key: "other", Rev: 3}, naming}
		started.take(mirror.Delta{Whole: true, At: 3, Records: all}, time.Now())

		asked := time.Now()
		answer := records(started.Mirror.Since(lived.Mirror.At()), asked)
		is.True(answer.Delta.Whole)
		answer.heardBy(asked)
		is.True(lived.Mirror.Apply(lived.dated(answer.Delta)))
		rs, at := lived.Mirror.Records()
		is.Equal(at, mirror.Position(3))
		named := rs["named"]
		is.True(!named.NotBefore.After(made))    // It is no lower bound else.
		is.True(!named.GapNotBefore.After(made)) // Nor is this.
		is.True(!named.EarliestTime().After(made))
	})
}
