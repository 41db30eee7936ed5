package fleet

// Upstream is one replica of a service as the platform lists it. A restart makes
// another upstream of it, with another ID.
type Upstream struct {
	ID      string // The incarnation.
	Service string
	Addr    string // IP and port for requests.
	Hall    string
	Slots   int // Requests that it works on at once.
	Leaving bool
	Engine  bool   // It runs a model, and so has weights.
	Model   string // What it holds, or empty.
	Version uint64 // Of the weights that it holds whole; 0 for none.
	// Revision is that of the last change of its entry.
	Revision uint64
}
