package wire

import (
	"fmt"

	"github.com/poststand/poststand/fault"
)

// Protocol is the version that this build speaks and the oldest it accepts.
const Protocol = 4

const magic = "poststand"

// Hello introduces a process to its peer.
type Hello struct {
	Magic       string
	Protocol    int
	Cluster     string // Both ends must name the same cluster.
	Box         string
	Hall        string
	Role        string // Such as "gateway" or "agent".
	Incarnation uint64 // Drawn at random when the process starts; never zero.
}

func (h Hello) check(local Hello) error {
	switch {
	case h.Magic != magic:
		return fault.New(fault.Garbage, "not a poststand peer")
	case h.Protocol < Protocol:
		return fault.New(fault.OldProtocol, fmt.Sprintf("peer speaks %d, need %d", h.Protocol, Protocol))
	case h.Cluster != local.Cluster:
		return fault.New(fault.OtherFleet, h.Cluster)
	}
	return nil
}

// RemoteError is the last message of a stream that the peer refused.
type RemoteError struct {
	Code   fault.Code
	Detail string
}
