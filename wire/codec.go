package wire

import (
	"bytes"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/poststand/poststand/fault"
)

// Kind identifies the type of a message on the wire.
type Kind uint8

// Reserved kinds.
const (
	kindHello  Kind = 1
	kindPing   Kind = 2
	kindCancel Kind = 3
	kindError  Kind = 4
	lastFlag   Kind = 0x80 // Set on the last frame of a direction.
)

// MinKind is the lowest kind that a message may be registered under.
const MinKind Kind = 16

// MaxKind is the highest kind that a message may be registered under.
const MaxKind Kind = 0x7f

// Entry registers the type of Message under Kind.
type Entry struct {
	Kind    Kind
	Message any // A pointer to a zero value of the message's struct type.
	// Compress enables compression of large bodies of this kind. Each body of the kind then
	// begins with a byte that states whether it is compressed.
	Compress bool
	// ByName encodes structs of this kind as maps from field names: a build ignores fields
	// that it does not know, and missing fields are zero. Fields may only be added.
	ByName bool
}

// Codec translates between messages and bodies. It is immutable once made.
type Codec struct {
	byKind   map[Kind]reflect.Type
	byType   map[reflect.Type]Kind
	compress map[Kind]bool // Kinds with Entry.Compress.
	byName   map[Kind]bool // Kinds with Entry.ByName.
}

// NewCodec returns a codec for the given entries. It panics on a kind that is out of range or
// registered twice, since that is a programming error.
func NewCodec(groups ...[]Entry) *Codec {
	c := &Codec{byKind: map[Kind]reflect.Type{}, byType: map[reflect.Type]Kind{}, compress: map[Kind]bool{}, byName: map[Kind]bool{}}
	for _, g := range groups {
		for _, e := range g {
			c.add(e)
		}
	}
	return c
}

func (c *Codec) add(e Entry) {
	t := reflect.TypeOf(e.Message).Elem()
	if _, dup := c.byKind[e.Kind]; dup || e.Kind < MinKind || e.Kind > MaxKind {
		panic("wire: bad registration of " + t.String())
	}
	c.byKind[e.Kind] = t
	c.byType[t] = e.Kind
	c.compress[e.Kind], c.byName[e.Kind] = e.Compress, e.ByName
}

func (c *Codec) encode(m any) (Kind, []byte, error) {
	k, ok := c.byType[reflect.TypeOf(m).Elem()]
	if !ok {
		return 0, nil, fault.New(fault.Unsupported, reflect.TypeOf(m).String())
	}
	b, err := marshalAs(m, c.byName[k])
	if err == nil && c.compress[k] {
		b = sharedCompressor.compress(b)
	}
	return k, b, err
}

// marshal encodes structs as arrays; both ends have the same fields.
func marshal(m any) ([]byte, error) { return marshalAs(m, false) }

// marshalAs encodes structs as arrays or, if byName is set, as maps from field names.
func marshalAs(m any, byName bool) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(!byName)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode")
	}
	return buf.Bytes(), nil
}

func (c *Codec) decode(k Kind, body []byte) (any, error) {
	t, ok := c.byKind[k]
	if !ok {
		return nil, fault.New(fault.Unsupported, "unknown message kind")
	}
	if c.compress[k] {
		var err error
		if body, err = sharedCompressor.decompress(body); err != nil {
			return nil, err
		}
	}
	m := reflect.New(t).Interface()
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fault.Wrap(fault.Garbage, err, t.String())
	}
	return m, nil
}
