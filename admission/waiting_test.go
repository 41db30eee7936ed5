package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainOrder returns the organisations of the waiting requests in the order in which they start.
func (l *WaitingList) drainOrder(p Pool) []string {
	var out []string
	for {
		w := l.First(p, func(*Waiting) bool { return false })
		if w == nil {
			return out
		}
		out = append(out, w.Organisation)
		l.Remove(w)
		l.Start(w)
	}
}

// The order in which requests that waited get the room that becomes free.
func TestWaitingOrder(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cases := []struct {
		name    string
		waiting []Waiting
		want    []string
	}{
		{"urgent rank before a close deadline", []Waiting{{Organisation: "b", Level: 1, Deadline: at(ms)}, {Organisation: "a", Deadline: at(time.Second)}}, []string{"a", "b"}},
		{
			"retry on time first in its rank only",
			[]Waiting{{Organisation: "b"}, {Organisation: "c", Level: 1, First: true}, {Organisation: "a", First: true}, {Organisation: "d", Level: 1}},
			[]string{"a", "b", "c", "d"},
		},
		{
			"burst of one organisation before the request of another",
			[]Waiting{{Organisation: "a"}, {Organisation: "a"}, {Organisation: "a"}, {Organisation: "b"}},
			[]string{"a", "b", "a", "a"},
		},
		{
			"work, not requests, is shared",
			[]Waiting{{Organisation: "a", Work: 30}, {Organisation: "a", Work: 30}, {Organisation: "b", Work: 10}, {Organisation: "b", Work: 10}, {Organisation: "b", Work: 10}, {Organisation: "b", Work: 10}},
			[]string{"a", "b", "b", "b", "a", "b"},
		},
		{
			"weights",
			[]Waiting{{Organisation: "a"}, {Organisation: "a"}, {Organisation: "b", Weight: 3}, {Organisation: "b", Weight: 3}, {Organisation: "b", Weight: 3}},
			[]string{"a", "b", "b", "b", "a"},
		},
		{"deadline", []Waiting{{Organisation: "b", Deadline: at(2 * ms)}, {Organisation: "a", Deadline: at(ms)}}, []string{"a", "b"}},
		{"another service", []Waiting{{Organisation: "b", Pool: Pool{Service: "other"}}, {Organisation: "a"}}, []string{"a"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var l WaitingList
			for i := range tc.waiting {
				l.Add(&tc.waiting[i])
			}
			is.New(t).Equal(l.drainOrder(Pool{}), tc.want)
		})
	}
}

// Requests that were sent without waiting count for the order too: an organisation whose requests
// took all of the room does not get half of what becomes free.
func TestSentWithoutWaitingCounts(t *testing.T) {
	is := is.New(t)
	var l WaitingList
	small := &Waiting{Organisation: "b"}
	for range 5 {
		l.Start(&Waiting{Organisation: "a"})
		l.Start(small)
	}
	for range 3 {
		l.Start(&Waiting{Organisation: "a"})
	}
	l.Add(&Waiting{Organisation: "a"})
	l.Add(small)
	is.Equal(l.drainOrder(Pool{}), []string{"b", "a"})
}

// With more requests waiting than the bounds allow, the newest of the least urgent are removed.
func TestWaitingBounds(t *testing.T) {
	is := is.New(t)
	var l WaitingList
	var old, newest *Waiting
	for i := range maxWaiting {
		newest = &Waiting{Level: i % 2}
		if old == nil && newest.Level == 1 {
			old = newest
		}
		is.Equal(len(l.Add(newest)), 0)
	}
	urgent := &Waiting{}
	is.Equal(l.Add(urgent), []*Waiting{newest})
	least := &Waiting{Level: 2}
	is.Equal(l.Add(least), []*Waiting{least})
	is.True(slices.Contains(l.waiting, old) && slices.Contains(l.waiting, urgent))
	is.Equal(l.Len(), maxWaiting)
}

func TestWaitingBytes(t *testing.T) {
	is := is.New(t)
	var l WaitingList
	a, b, c := &Waiting{Level: 1, Bytes: 2 << 20}, &Waiting{Level: 1, Bytes: 2 << 20}, &Waiting{Bytes: 3 << 20}
	is.Equal(len(l.Add(a)), 0)
	is.Equal(len(l.Add(b)), 0)
	huge := &Waiting{Bytes: maxWaitingBytes + 1}
	is.Equal(l.Add(huge), []*Waiting{huge})
	is.Equal(l.Add(c), []*Waiting{b, a})
	l.Remove(c)
	l.Remove(c) // A request that left the list meanwhile.
	is.Equal(l.bytes, 0)
}

// A request that arrives while others wait must not take the room that they wait for, unless it
// is more urgent, for another service or to be served elsewhere.
func TestMustWait(t *testing.T) {
	var l WaitingList
	l.Add(&Waiting{Pool: Pool{Service: "s"}, Level: 1})
	cases := []struct {
		name string
		w    Waiting
		want bool
	}{
		{"more urgent", Waiting{Pool: Pool{Service: "s"}}, false},
		{"equally urgent", Waiting{Pool: Pool{Service: "s"}, Level: 1}, true},
		{"retry on time of the same rank", Waiting{Pool: Pool{Service: "s"}, Level: 1, First: true}, false},
		{"less urgent", Waiting{Pool: Pool{Service: "s"}, Level: 2, First: true}, true},
		{"another service", Waiting{Pool: Pool{Service: "other"}, Level: 2}, false},
		{"other regions", Waiting{Pool: Pool{Service: "s", Regions: "r1"}, Level: 2}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(l.MustWait(&tc.w), tc.want)
		})
	}
}
