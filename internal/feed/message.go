package feed

import (
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/wire"
)

// SyncRequest asks for what is newer than the sender's view.
type SyncRequest struct {
	Revision   uint64
	Digest     string // Of the documents of Revision.
	Fleet      uint64
	FreshUntil time.Time
	Until      time.Time // Answer by then, with nothing if nothing is newer.
}

// SyncReply says what differs. A part whose version is not newer is empty.
type SyncReply struct {
	Head       config.Delta[string]
	Digest     string // Of the documents of Head.Version.
	Fleet      config.Delta[fleet.Box]
	FreshUntil time.Time
}

// DocRequest asks for a document by its digest.
type DocRequest struct {
	Digest string
}

// Doc is one document.
type Doc struct {
	Data []byte
}

// Messages registers this package's messages.
var Messages = []wire.Entry{
	{Kind: 48, Message: &SyncRequest{}},
	{Kind: 49, Message: &SyncReply{}},
	{Kind: 50, Message: &DocRequest{}},
	{Kind: 51, Message: &Doc{}},
}
