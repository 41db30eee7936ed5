package mirror

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	is := is.New(t)
	is.True(NewPosition(2, 1) > NewPosition(1, MaxRevision))
	is.True(NewPosition(1, 1) > NewPosition(0, MaxRevision))
	is.True(NewPosition(MaxEra, 7) < NewPosition(MaxEra, 8))
	is.Equal(NewPosition(3, 9).String(), "3:9")
	is.Equal(NewPosition(0, 9).String(), "9")
}

// A build without eras reads and writes positions as plain numbers.
func TestPositionWithoutEraIsEncodedAsRevision(t *testing.T) {
	is := is.New(t)
	b, err := msgpack.Marshal(NewPosition(0, 6000))
	is.NoErr(err)
	var n uint64
	is.NoErr(msgpack.Unmarshal(b, &n))
	is.Equal(n, uint64(6000))
	var p Position
	b, err = msgpack.Marshal(uint64(6000))
	is.NoErr(err)
	is.NoErr(msgpack.Unmarshal(b, &p))
	is.Equal(p, NewPosition(0, 6000))
}

func TestPositionEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := NewPosition(rapid.Uint64Range(0, MaxEra).Draw(t, "era"), rapid.Uint64Range(0, MaxRevision).Draw(t, "revision"))
		b, err := msgpack.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got Position
		if err := msgpack.Unmarshal(b, &got); err != nil || got != want {
			t.Fatalf("%v: %v, %v", want, got, err)
		}
	})
}

func TestBadPositionsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, bad := range []any{"x", -1, uint64(MaxRevision + 1), []uint64{1}, []uint64{1, 2, 3}, []uint64{MaxEra + 1, 1}, []uint64{1, MaxRevision + 1}, nil, 1.5} {
		b, err := msgpack.Marshal(bad)
		is.NoErr(err)
		p := NewPosition(1, 1)
		if msgpack.Unmarshal(b, &p) == nil && bad != nil {
			t.Errorf("%v was decoded as %v", bad, p)
		}
	}
}
