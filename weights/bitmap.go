package weights

import "math/bits"

// Bitmap is a set of chunk indexes.
type Bitmap []uint64

// NewBitmap returns an empty set with room for n indexes.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+63)/64) }

// Has reports whether i is in the set. An index out of range is not.
func (b Bitmap) Has(i int) bool {
	return i >= 0 && i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0
}

// Set adds i. An index out of range is ignored.
func (b Bitmap) Set(i int) {
	if i >= 0 && i/64 < len(b) {
		b[i/64] |= 1 << (i % 64)
	}
}

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// Clone returns an independent copy.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }
