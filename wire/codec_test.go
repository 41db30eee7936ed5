package wire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

type nested struct {
	Name string
	Size int
}

// These are one message of three builds: each has a field more.
type (
	sayOlder struct{ Inner nested }
	say      struct {
		Inner nested
		Rank  int
	}
	sayNewer struct {
		Added []string
		Inner nested
		Rank  int
		More  map[string]int
	}
)

// A message whose fields travel with their names is read by builds that know more or fewer of
// them, in any order; one of another kind of message is not.
func TestMessagesByNameOutliveTheirFields(t *testing.T) {
	codec := func(m any) *Codec { return NewCodec([]Entry{{Kind: 100, Message: m, ByName: true}}) }
	older, now, newer := codec(&sayOlder{}), codec(&say{}), codec(&sayNewer{})
	inner := nested{"n", 3}
	for _, tc := range []struct {
		name     string
		from, to *Codec
		m, want  any
	}{
		{"the same build", now, now, &say{inner, 2}, &say{inner, 2}},
		{"from a newer one", newer, now, &sayNewer{[]string{"a"}, inner, 2, map[string]int{"b": 1}}, &say{inner, 2}},
		{"from an older one", older, now, &sayOlder{inner}, &say{inner, 0}},
		{"to an older one", now, older, &say{inner, 2}, &sayOlder{inner}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			k, b, err := tc.from.encode(tc.m)
			is.NoErr(err)
			got, err := tc.to.decode(k, b)
			is.NoErr(err)
			is.Equal(got, tc.want)
		})
	}
	is := is.New(t)
	_, b, err := NewCodec([]Entry{{Kind: 100, Message: &struct{ Rank string }{}, ByName: true}}).encode(&struct{ Rank string }{"high"})
	is.NoErr(err)
	_, err = now.decode(100, b)
	is.Equal(fault.CodeOf(err), fault.Garbage)
}
