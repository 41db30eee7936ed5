package mirror

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/poststand/poststand/fault"
)

// Position is a place in the sequence of changes that a service published. A service may come
// back from a copy: it then lacks its last changes, gives their revisions out again, and counts
// one more era. Positions are ordered by their era first. The zero value is before all others;
// where no era is named it is 0, and a position is the same number as its revision.
type Position uint64

// Bounds of what a Position holds.
const (
	revisionBits = 40
	MaxRevision  = 1<<revisionBits - 1
	MaxEra       = 1<<(64-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era. Neither may exceed its bound.
func NewPosition(era, revision uint64) Position { return Position(era<<revisionBits | revision) }

// Era returns how often the service has come back from a copy, by its own count.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision in the position's era.
func (p Position) Revision() uint64 { return uint64(p) & MaxRevision }

// String implements fmt.Stringer.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d:%d", p.Era(), p.Revision())
}

var (
	_ msgpack.CustomEncoder = Position(0)
	_ msgpack.CustomDecoder = (*Position)(nil)
)

// positionFields is how many numbers a position of an era travels as: era and revision, which
// are short beside the one number. Without an era it travels as its revision.
const positionFields = 2

// EncodeMsgpack implements msgpack.CustomEncoder.
func (p Position) EncodeMsgpack(enc *msgpack.Encoder) error {
	if p.Era() == 0 {
		return enc.EncodeUint(p.Revision())
	}
	if err := enc.EncodeArrayLen(positionFields); err != nil {
		return err
	}
	if err := enc.EncodeUint(p.Era()); err != nil {
		return err
	}
	return enc.EncodeUint(p.Revision())
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (p *Position) DecodeMsgpack(dec *msgpack.Decoder) error {
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	var era uint64
	if msgpcode.IsFixedArray(code) {
		n, err := dec.DecodeArrayLen()
		if err != nil {
			return err
		}
		if n != positionFields {
			return fault.New(fault.Garbage, "position")
		}
		if era, err = dec.DecodeUint64(); err != nil {
			return err
		}
	}
	revision, err := dec.DecodeUint64()
	if err != nil {
		return err
	}
	if era > MaxEra || revision > MaxRevision {
		return fault.New(fault.Garbage, "position out of bounds")
	}
	*p = NewPosition(era, revision)
	return nil
}
