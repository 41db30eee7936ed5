package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/rapidseed"
)

type list struct{ Names []string }

var listCodec = NewCodec([]Entry{{Kind: 17, Message: &list{}, Compress: true}})

// A body of any size survives compression and decompression.
func TestCompressionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		m := &list{rapid.SliceOfN(rapid.StringN(0, 40, -1), 0, 200).Draw(t, "names")}
		k, body, err := listCodec.encode(m)
		is.NoErr(err)
		got, err := listCodec.decode(k, body)
		is.NoErr(err)
		is.Equal(strings.Join(got.(*list).Names, ","), strings.Join(m.Names, ","))
	})
}

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Bytes that are no compressed body are garbage, never a message or a panic.
func TestCorruptCompressedBodyIsGarbage(t *testing.T) {
	is := is.New(t)
	_, body, err := listCodec.encode(&list{make([]string, 1000)})
	is.NoErr(err)
	is.True(len(body) < 100) // It was compressed.
	short := body[:len(body)/2]
	for _, b := range [][]byte{nil, {7}, {bodyZstd}, short, append([]byte{bodyZstd}, bytes.Repeat([]byte{0xff}, 64)...)} {
		_, err := listCodec.decode(17, b)
		is.Equal(fault.CodeOf(err), fault.Garbage)
	}
}
