package fleet

import "github.com/poststand/poststand/mirror"

// Incarnation is one life of a replica: a restart begins another one, most often under another ID.
// All that is believed of a replica is believed of one life of it.
type Incarnation struct {
	ID   string
	Born int64 // When it began, in Unix milliseconds by the replica's clock; 0 where that is not told.
}

// Matches reports whether l and o may be one life: one whose birth is not told may be any of its
// ID.
func (l Incarnation) Matches(o Incarnation) bool {
	return l.ID == o.ID && (l.Born == o.Born || l.Born == 0 || o.Born == 0)
}

// Before reports whether l is a life of the same replica that ended before o began.
func (l Incarnation) Before(o Incarnation) bool {
	return l.ID == o.ID && !l.Matches(o) && l.Born < o.Born
}

// Upstream is one replica of a service as the platform lists it.
type Upstream struct {
	Incarnation
	Service string
	Addr    string // IP and port for requests.
	Hall    string
	Slots   int // Requests that it works on at once.
	Leaving bool
	Engine  bool   // It runs a model, and so has weights.
	Model   string // What it holds, or empty.
	Version uint64 // Of the weights that it holds whole; 0 for none.
	// ListedAt is the position at which the last change of its entry was first known.
	ListedAt mirror.Position
}
