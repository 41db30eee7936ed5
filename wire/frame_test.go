package wire

import (
	"encoding/binary"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// slowFrame sends a frame in pieces of 1 KiB and then ends. It notes the most memory that was offered for bytes
// that had not been sent.
type slowFrame struct {
	header []byte
	left   int
	sent   int
	most   int
}

func (s *slowFrame) Read(p []byte) (int, error) {
	if len(s.header) > 0 {
		n := copy(p, s.header)
		s.header = s.header[n:]
		return n, nil
	}
	s.most = max(s.most, len(p))
	n := min(1<<10, len(p), s.left)
	if n == 0 {
		return 0, io.EOF
	}
	for i := range n {
		p[i] = byte((s.sent + i) / (1 << 10))
	}
	s.left -= n
	s.sent += n
	return n, nil
}

func newSlowFrame(announced, sent int) *slowFrame {
	h := binary.BigEndian.AppendUint32(nil, uint32(announced))
	return &slowFrame{header: append(h, make([]byte, headerSize-len(h))...), left: sent}
}

// A peer that announced a frame of 9 MiB and sent none of it had 9 MiB held for it.
func TestAnnouncedFrameHoldsNoMemoryBeforeItComes(t *testing.T) {
	const maxFrame, first = 9 << 20, 64 << 10
	for _, sent := range []int{0, 1, first - 1, first, first + 1, 3 * first} {
		is := is.New(t)
		s := newSlowFrame(maxFrame, sent)
		_, err := readFrame(s, maxFrame)
		is.True(fault.Is(err, fault.ConnectionLost))
		is.True(s.most <= max(first, sent))
	}
}

// Bytes of a frame were lost or doubled where its buffer had grown.
func TestFrameOfAnySizeIsWhole(t *testing.T) {
	const maxFrame = 1 << 20
	for _, size := range []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 200 << 10, maxFrame} {
		is := is.New(t)
		f, err := readFrame(newSlowFrame(size, size), maxFrame)
		is.NoErr(err)
		is.Equal(len(f.body), size)
		for i, b := range f.body {
			if b != byte(i/(1<<10)) {
				t.Fatalf("byte %d of %d is wrong", i, size)
			}
		}
	}
	_, err := readFrame(newSlowFrame(maxFrame+1, 0), maxFrame)
	is.New(t).True(fault.Is(err, fault.TooLarge))
}
