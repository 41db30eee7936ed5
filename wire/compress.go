package wire

import (
	"github.com/klauspost/compress/zstd"

	"github.com/poststand/poststand/fault"
)

// Values of the first byte of a body of a kind that may be compressed.
const (
	bodyUncompressed byte = 0
	bodyZstd         byte = 1
)

// Limits of compression.
const (
	minCompressBytes     = 512       // Smaller bodies are sent uncompressed.
	maxDecompressedBytes = 64 << 20  // Greatest size of a body after decompression.
	windowBytes          = 128 << 10 // Match window of the encoder: repeats in a list of routes are close together.
)

// compressor compresses and decompresses whole bodies. It is safe for concurrent use.
type compressor struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// sharedCompressor is the compressor of all codecs of the process, since its tables take some
// megabytes. It is created at program start because it holds channels, and a synctest bubble
// must not use channels created in another one.
var sharedCompressor = newCompressor()

// newCompressor returns a compressor that has been used once, so that all its parts are
// initialised.
func newCompressor() *compressor {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("wire: " + err.Error()) // The options are constants.
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		panic("wire: " + err.Error()) // The options are constants.
	}
	c := &compressor{enc: enc, dec: dec}
	if _, err := c.decompress(c.compress(make([]byte, minCompressBytes))); err != nil {
		panic("wire: " + err.Error())
	}
	return c
}

// compress returns a body with its first byte, compressed if it is large.
func (c *compressor) compress(body []byte) []byte {
	if len(body) < minCompressBytes {
		return append([]byte{bodyUncompressed}, body...)
	}
	return c.enc.EncodeAll(body, []byte{bodyZstd})
}

// decompress returns the body that was passed to compress, or fault.Garbage.
func (c *compressor) decompress(body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, fault.New(fault.Garbage, "empty body")
	}
	switch body[0] {
	case bodyUncompressed:
		return body[1:], nil
	case bodyZstd:
		out, err := c.dec.DecodeAll(body[1:], nil)
		if err != nil {
			return nil, fault.Wrap(fault.Garbage, err, "compressed body")
		}
		return out, nil
	}
	return nil, fault.New(fault.Garbage, "unknown body encoding")
}
