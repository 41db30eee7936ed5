package fleet

import (
	"time"

	"github.com/poststand/poststand/mirror"
)

// Incarnation identifies one run of a replica. A restart begins another one, usually with another ID.
// All state that is kept about a replica belongs to one incarnation.
type Incarnation struct {
	ID   string
	Born int64 // Start time in Unix milliseconds by the replica's clock; 0 if not reported.
}

// Matches reports whether i and o may be the same incarnation. One without a start time matches every
// incarnation with its ID.
func (i Incarnation) Matches(o Incarnation) bool {
	return i.ID == o.ID && (i.Born == o.Born || i.Born == 0 || o.Born == 0)
}

// Before reports whether i is an earlier incarnation than o of the same replica.
func (i Incarnation) Before(o Incarnation) bool {
	return i.ID == o.ID && !i.Matches(o) && i.Born < o.Born
}

// Upstream is one replica of a service as the platform lists it.
type Upstream struct {
	Incarnation
	Service string
	Addr    string // IP and port for requests.
	Hall    string
	Slots   int // Requests that it runs concurrently.
	Leaving bool
	Engine  bool   // It runs a model and therefore has weights.
	Model   string // The model that it has loaded, or that its service runs; empty for none.
	Version uint64 // Version of the loaded weights; 0 for none.
	// ColdFor is how long it bears fewer requests, as its entry states it; 0 for not at all.
	ColdFor time.Duration
	// ListedAt is the position at which this process first received the last change of the entry.
	ListedAt mirror.Position
}
