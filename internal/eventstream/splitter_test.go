package eventstream_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/eventstream"
)

// split reads all of r and returns what was taken, in one piece and in parts, with the sums.
func split(s *eventstream.Splitter, r io.Reader) (passed []byte, all eventstream.Events, err error) {
	for {
		_, err = s.Fill(r)
		e := s.Take()
		passed = append(passed, e.Data...)
		all.Count += e.Count
		all.FirstID = e.FirstID
		if e.Count > 0 {
			all.Identified = e.Identified
		}
		if e.LastID != "" {
			all.LastID = e.LastID
		}
		if err != nil {
			return passed, all, err
		}
	}
}

// Streams with other line ends than LF were taken for streams without an event.
func TestEventsWithAnyLineEndAreSplit(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		rest     string // Not passed on.
		events   int
		first    string
		last     string
		inside   bool
		unnamed  bool // The last event has no ID.
	}{
		{name: "LF", in: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", events: 2, first: "1", last: "2"},
		{name: "CRLF", in: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", events: 2, first: "1", last: "2"},
		{name: "CR", in: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", events: 2, first: "1", last: "2"},
		{name: "mixed", in: "id: 1\rdata: a\n\r\nid: 2\ndata: b\r\n\n", events: 2, first: "1", last: "2"},
		{name: "LF, CR", in: "id: 1\n\rid: 2\n\r", events: 2, first: "1", last: "2"},
		{name: "CRLF is one line end", in: "id: 1\r\ndata: a\r\n", rest: "id: 1\r\ndata: a\r\n", inside: true},
		{name: "inside a field", in: "id: 1\n\nda", rest: "da", events: 1, first: "1", last: "1", inside: true},
		{name: "before the empty line", in: "id: 1\n\ndata: a\n", rest: "data: a\n", events: 1, first: "1", last: "1", inside: true},
		{name: "ID alone", in: "id:1\n\nid", rest: "id", events: 1, first: "1", last: "1", inside: true},
		{name: "no ID", in: "id: 1\n\ndata: b\n\n", events: 2, first: "1", last: "1", unnamed: true},
		{name: "empty ID", in: "id: 1\n\nid\ndata: b\n\n", events: 2, first: "1", last: "1", unnamed: true},
		{name: "other fields that begin with id", in: "id: 1\n\nids: 2\n\n", events: 2, first: "1", last: "1", unnamed: true},
		{name: "comments are no events", in: ": a\n\n:b\n\n", events: 0, unnamed: true},
		{name: "ends with a comment", in: "id: 1\n\n: bye", rest: ": bye", events: 1, first: "1", last: "1"},
		{name: "more empty lines", in: "\n\nid: 1\n\n\n\n", events: 1, first: "1", last: "1"},
		{name: "byte order mark", in: "\ufeffid: 1\n\n", events: 1, first: "1", last: "1"},
		{name: "nothing", in: "", unnamed: true},
	} {
		for size, r := range map[string]func(string) io.Reader{
			"whole":   func(s string) io.Reader { return strings.NewReader(s) },
			"by byte": func(s string) io.Reader { return iotest.OneByteReader(strings.NewReader(s)) },
		} {
			t.Run(tc.name+", "+size, func(t *testing.T) {
				is := is.New(t)
				var s eventstream.Splitter
				passed, all, err := split(&s, r(tc.in))
				is.Equal(err, io.EOF)
				is.Equal(string(passed)+tc.rest, tc.in)
				is.Equal(string(s.Rest()), tc.rest)
				is.Equal(all.Count, tc.events)
				is.Equal(all.FirstID, tc.first)
				is.Equal(all.LastID, tc.last)
				is.Equal(all.Identified, !tc.unnamed && tc.events > 0)
				is.Equal(s.InsideEvent(), tc.inside)
			})
		}
	}
}

// An event that ends with CR must not wait for the next byte.
func TestEventIsCompleteAtItsLastByte(t *testing.T) {
	for _, in := range []string{"id: 1\n\n", "id: 1\r\r", "id: 1\r\n\r"} {
		var s eventstream.Splitter
		_, _ = s.Fill(strings.NewReader(in))
		is.New(t).Equal(s.Take().Count, 1)
	}
}

// Events that arrive together must also come one by one.
func TestTakeOne(t *testing.T) {
	is := is.New(t)
	var s eventstream.Splitter
	_, _ = s.Fill(strings.NewReader("id: 1\r\n\r\n: c\n\nid: 2\n\nid"))
	is.Equal(string(s.TakeOne().Data), "id: 1\r\n\r")
	is.Equal(string(s.TakeOne().Data), "\n: c\n\nid: 2\n\n")
	is.Equal(s.TakeOne().Count, 0)
	is.True(s.InsideEvent())
}

func TestEventOverTheLimitIsRefused(t *testing.T) {
	s := eventstream.Splitter{MaxEvent: 10 << 10}
	_, _, err := split(&s, strings.NewReader("data: "+strings.Repeat("x", 100<<10)))
	is.New(t).True(fault.Is(err, fault.AnswerTooLarge))
}

// FuzzSplitter cuts streams anywhere: no byte is changed or lost, what is passed on ends with an empty line,
// and the parts in which a stream arrives make no difference.
func FuzzSplitter(f *testing.F) {
	for _, in := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n: c\r\r", "\r\n\r", "\ufeffid:\n\nid: 2\n\r"} {
		f.Add([]byte(in), uint16(len(in)/2), uint8(3))
	}
	f.Fuzz(func(t *testing.T, in []byte, cut uint16, part uint8) {
		in = in[:min(len(in), int(cut))]
		var whole, parts eventstream.Splitter
		passed, all, _ := split(&whole, bytes.NewReader(in))
		inParts, allInParts, _ := split(&parts, &partReader{b: in, size: 1 + int(part)})
		if got := string(passed) + string(whole.Rest()); got != string(in) {
			t.Fatalf("%q became %q", in, got)
		}
		if fmt.Sprint(all) != fmt.Sprint(allInParts) || whole.InsideEvent() != parts.InsideEvent() || !bytes.Equal(passed, inParts) {
			t.Fatalf("%q: %q, %v in one part, %q, %v in parts of %d", in, passed, all, inParts, allInParts, 1+int(part))
		}
		if n := countEvents(string(passed)); n != all.Count {
			t.Fatalf("%q: %d events, want %d", in, all.Count, n)
		}
		if n := countEvents(string(whole.Rest())); n != 0 {
			t.Fatalf("%q: %d complete events were not passed on", in, n)
		}
		if len(passed) > 0 && passed[len(passed)-1] != '\n' && passed[len(passed)-1] != '\r' {
			t.Fatalf("%q: passed on %q", in, passed)
		}
	})
}

// countEvents counts complete events by rewriting line ends, as the standard allows for the whole stream.
func countEvents(in string) (n int) {
	in = strings.TrimPrefix(in, "\ufeff")
	lines := strings.Split(strings.ReplaceAll(strings.ReplaceAll(in, "\r\n", "\n"), "\r", "\n"), "\n")
	begun := false
	for _, line := range lines[:len(lines)-1] {
		switch {
		case line == "" && begun:
			n, begun = n+1, false
		case strings.Trim(line, " \t") != "" && line[0] != ':':
			begun = true
		}
	}
	return n
}

// partReader returns size bytes at a time.
type partReader struct {
	b    []byte
	size int
}

func (r *partReader) Read(b []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(b, r.b[:min(r.size, len(r.b))])
	r.b = r.b[n:]
	return n, nil
}
