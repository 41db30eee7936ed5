package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies requests by their content. Callers give each attempt an id of its own, but
// repeated requests with the same content have the same Key.
type Key [16]byte

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
