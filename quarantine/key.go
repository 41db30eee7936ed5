package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies what requests have in common: their whole content, or a part of their prompt.
// Callers give each attempt an id of its own, but repeated requests with the same content have
// the same Key.
type Key [16]byte

// PartKey returns the Key of a part of the prompts of a model. It is the same for all callers.
func PartKey(model, id string) Key {
	return KeyOf([]byte("part"), nil, []byte(model), []byte(id))
}

// KeyOf returns the Key of a request with these parts, in this order.
func KeyOf(parts ...[]byte) Key {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// String returns the Key in hexadecimal, for log lines.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
