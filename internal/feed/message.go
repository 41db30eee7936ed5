package feed

import (
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/wire"
)

// SyncRequest requests all changes since the sender's view.
type SyncRequest struct {
	Revision   uint64
	Digest     string // Of the documents of Revision.
	Fleet      uint64
	FreshUntil time.Time
	AnswerBy   time.Time // When an empty reply is due if there are no changes.
}

// SyncReply contains the changes since the requester's view. Head and Fleet are empty if
// their version is not newer.
type SyncReply struct {
	Head       config.Delta[string]
	Digest     string // Of the documents of Head.Version.
	Fleet      config.Delta[fleet.Box]
	FreshUntil time.Time
}

// DocRequest requests a document by its digest.
type DocRequest struct {
	Digest string
}

// Doc contains a document.
type Doc struct {
	Data []byte
}

// Messages lists the wire messages of this package.
var Messages = []wire.Entry{
	{Kind: 48, Message: &SyncRequest{}},
	{Kind: 49, Message: &SyncReply{}},
	{Kind: 50, Message: &DocRequest{}},
	{Kind: 51, Message: &Doc{}},
}
