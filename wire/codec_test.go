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

// These are one message in three builds, each with one field more.
type (
	msgOlder struct{ Inner nested }
	msg      struct {
		Inner nested
		Rank  int
	}
	msgNewer struct {
		Added []string
		Inner nested
		Rank  int
		More  map[string]int
	}
)

// A message encoded by name can be decoded by builds that know more or fewer of its fields, in
// any order; a field of the wrong type is garbage.
func TestMessagesByNameAcrossBuilds(t *testing.T) {
	codec := func(m any) *Codec { return NewCodec([]Entry{{Kind: 100, Message: m, ByName: true}}) }
	older, now, newer := codec(&msgOlder{}), codec(&msg{}), codec(&msgNewer{})
	inner := nested{"n", 3}
	for _, tc := range []struct {
		name     string
		from, to *Codec
		m, want  any
	}{
		{"the same build", now, now, &msg{inner, 2}, &msg{inner, 2}},
		{"from a newer one", newer, now, &msgNewer{[]string{"a"}, inner, 2, map[string]int{"b": 1}}, &msg{inner, 2}},
		{"from an older one", older, now, &msgOlder{inner}, &msg{inner, 0}},
		{"to an older one", now, older, &msg{inner, 2}, &msgOlder{inner}},
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
