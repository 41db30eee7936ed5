package weights

import (
	"github.com/poststand/poststand/wire"
)

// Join opens a session about an artifact: what the sender has of it. Both ends
// then send Have as they get more.
type Join struct {
	Artifact string // Digest of the manifest.
	Has      Bitmap
	Queue    int
}

// Have tells what the sender got since its last message, and what it learnt.
type Have struct {
	Chunks []int
	Queue  int // Uploads that wait at the sender.
	Gossip Gossip
}

// GetChunk asks for a chunk by its digest.
type GetChunk struct {
	Digest string
}

// Part is a piece of a chunk or manifest; the last ends its stream.
type Part struct {
	Data []byte
}

// Messages registers this package's messages.
var Messages = []wire.Entry{
	{Kind: 64, Message: &Join{}},
	{Kind: 65, Message: &Have{}},
	{Kind: 66, Message: &GetChunk{}},
	{Kind: 67, Message: &Part{}},
}
