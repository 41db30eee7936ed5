package mirror

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/poststand/poststand/fault"
)

// Position is a place in the sequence of changes that a store published. A store restored from a
// backup lacks its last changes, reuses their revisions and increments its era. Positions are
// ordered by era, then by revision. The zero value is before all others. A store that reports no era
// has era 0, and its positions equal their revisions.
type Position uint64

// Limits of the parts of a Position.
const (
	revisionBits = 40
	MaxRevision  = 1<<revisionBits - 1
	MaxEra       = 1<<(64-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era. Neither may exceed its limit.
func NewPosition(era, revision uint64) Position { return Position(era<<revisionBits | revision) }

// Era returns the era, which the store increments each time it is restored from a backup.
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

// positionFields is the length of the array that encodes a position with an era: era and
// revision, which take fewer bytes than the combined number. A position without an era is encoded
// as its revision alone.
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
			return fault.New(fault.Garbage, "position: invalid array length")
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
		return fault.New(fault.Garbage, "position: era or revision out of bounds")
	}
	*p = NewPosition(era, revision)
	return nil
}
