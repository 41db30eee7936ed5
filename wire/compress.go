package wire

import (
	"github.com/klauspost/compress/zstd"

	"github.com/poststand/poststand/fault"
)

// The first byte of a body that may be compressed.
const (
	bodyPlain byte = 0
	bodyZstd  byte = 1
)

// Bounds of compression.
const (
	packLeast  = 512       // Bytes; smaller bodies are sent as they are.
	unpackMost = 64 << 20  // Bytes that a body may have once it is unpacked.
	window     = 128 << 10 // Bytes that an encoder looks back: repeats in a list of routes are near.
)

// compressor packs and unpacks whole bodies. It is safe for concurrent use.
type compressor struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// shared is the compressor of all codecs of the process, since its tables are some
// megabytes. It is made when the program starts: it holds channels, and tests in virtual
// time may not use what another of them has made.
var shared = newCompressor()

// newCompressor returns a compressor with all of its parts made.
func newCompressor() *compressor {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("wire: " + err.Error()) // The options are constants.
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(unpackMost))
	if err != nil {
		panic("wire: " + err.Error()) // The options are constants.
	}
	c := &compressor{enc: enc, dec: dec}
	if _, err := c.unpack(c.pack(make([]byte, packLeast))); err != nil {
		panic("wire: " + err.Error())
	}
	return c
}

// pack returns a body with its first byte, compressed if it is large.
func (c *compressor) pack(body []byte) []byte {
	if len(body) < packLeast {
		return append([]byte{bodyPlain}, body...)
	}
	return c.enc.EncodeAll(body, []byte{bodyZstd})
}

// unpack returns what pack was given, or fault.Garbage.
func (c *compressor) unpack(body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, fault.New(fault.Garbage, "empty body")
	}
	switch body[0] {
	case bodyPlain:
		return body[1:], nil
	case bodyZstd:
		out, err := c.dec.DecodeAll(body[1:], nil)
		if err != nil {
			return nil, fault.Wrap(fault.Garbage, err, "compressed body")
		}
		return out, nil
	}
	return nil, fault.New(fault.Garbage, "unknown form of body")
}
