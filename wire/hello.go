package wire

import (
	"fmt"

	"github.com/poststand/poststand/fault"
)

// Protocol is the protocol version of this build and the oldest one that it accepts.
const Protocol = 4

const magic = "poststand"

// Hello introduces a process to its peer.
type Hello struct {
	Magic       string
	Protocol    int
	Cluster     string // Must be the same at both ends.
	Box         string
	Hall        string
	Role        string // For example "gateway" or "agent".
	Incarnation uint64 // Drawn at random when the process starts; never zero.
}

func (h Hello) check(local Hello) error {
	switch {
	case h.Magic != magic:
		return fault.New(fault.Garbage, "not a poststand peer")
	case h.Protocol < Protocol:
		return fault.New(fault.OldProtocol, fmt.Sprintf("peer has protocol version %d, need at least %d", h.Protocol, Protocol))
	case h.Cluster != local.Cluster:
		return fault.New(fault.OtherCluster, h.Cluster)
	}
	return nil
}

// RemoteError is the last message of a stream that the peer refused or failed.
type RemoteError struct {
	Code   fault.Code
	Detail string
}
