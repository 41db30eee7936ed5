package weights

import (
	"github.com/poststand/poststand/wire"
)

// Join opens a session about an artifact and lists the chunks that the sender has. Both ends
// then send a Have message whenever they obtain more.
type Join struct {
	Artifact string // Digest of the manifest.
	Has      Bitmap
	Queue    int // Uploads in progress or waiting at the sender.
}

// Have lists the chunks that the sender obtained since its last message, and the gossip to
// forward since then: its own claims, and what it received from other neighbours.
type Have struct {
	Chunks []int
	Queue  int // Uploads in progress or waiting at the sender.
	Gossip Gossip
}

// GetChunk requests a chunk or a manifest by its digest.
type GetChunk struct {
	Digest string
}

// Part is a fragment of a chunk or manifest. The last one ends its stream.
type Part struct {
	Data []byte
}

// Messages lists the wire messages of this package.
var Messages = []wire.Entry{
	{Kind: 64, Message: &Join{}},
	{Kind: 65, Message: &Have{}},
	{Kind: 66, Message: &GetChunk{}},
	{Kind: 67, Message: &Part{}},
}
