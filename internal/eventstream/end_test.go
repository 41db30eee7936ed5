package eventstream_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/eventstream"
)

// The end of the bytes was taken for the end of the answer.
func TestVerdict(t *testing.T) {
	const (
		whole   = eventstream.Whole
		broken  = eventstream.BrokenOff
		unclear = eventstream.Unclear
	)
	type end = eventstream.End
	for _, tc := range []struct {
		name string
		end  end
		want eventstream.Verdict
	}{
		{"plain, framed", end{Framed: true}, whole},
		{"plain, framed, replica ended", end{Framed: true, Replica: eventstream.LifeEnded}, whole},
		{"plain, unframed", end{Replica: eventstream.LifeSame}, whole},
		{"plain, unframed, replica ended", end{Replica: eventstream.LifeEnded}, broken},
		{"plain, unframed, replica unclear", end{}, unclear},
		{"stream", end{Framed: true, Stream: true, Events: 2}, whole},
		{"stream, unframed", end{Stream: true, Events: 2, Replica: eventstream.LifeSame}, whole},
		{"stream, unframed, replica ended", end{Stream: true, Events: 2, Replica: eventstream.LifeEnded}, broken},
		{"stream, unframed, replica unclear", end{Stream: true, Events: 2}, unclear},
		{"stream inside an event", end{Framed: true, Stream: true, Events: 2, InsideEvent: true}, broken},
		{"stream inside an event, replica unclear", end{Stream: true, Events: 2, InsideEvent: true}, broken},
		{"stream without an event", end{Framed: true, Stream: true}, broken},
		{"nothing follows", end{Framed: true, Stream: true, Continues: true}, whole},
		{"nothing follows, though there is more", end{Framed: true, Stream: true, Continues: true, MoreKnown: true}, broken},
		{"the rest follows", end{Framed: true, Stream: true, Continues: true, MoreKnown: true, Events: 1}, whole},
	} {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(tc.end.Verdict(), tc.want) })
	}
}

// A replica that began a stream again was taken for one that continued it.
func TestFollows(t *testing.T) {
	for _, tc := range []struct {
		id, last string
		want     bool
	}{
		{"3", "2", true},
		{"2", "2", false},
		{"1", "2", false},
		{"10", "9", true},
		{"9", "10", false},
		{"010", "10", false},
		{"100000000000000000000001", "100000000000000000000000", true},
		{"b", "a", true},
		{"a", "b", true},
		{"a", "a", false},
		{"-1", "2", true},
	} {
		is.New(t).Equal(eventstream.Follows(tc.id, tc.last), tc.want)
	}
}
