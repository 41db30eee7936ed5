package peers

import (
	"math/rand/v2"
	"time"
)

// StartDelay defines how long processes that have just started wait for records from peers
// before they read the platform themselves. All records may be hundreds of kilobytes: if all
// processes read them at once, a start of the whole system would overload the platform and the
// links between regions. A few processes read early, since those that all others ask first may
// be slow or down.
type StartDelay struct {
	EarlyOneIn  int           // One process in this many reads early.
	Early       time.Duration // Least delay of processes that read early.
	EarlyJitter time.Duration // Random time added to Early.
	Later       time.Duration // Least delay of the others.
	LaterJitter time.Duration // Random time added to Later.
}

// Draw returns a random delay for one process.
func (w StartDelay) Draw() time.Duration {
	if rand.IntN(w.EarlyOneIn) == 0 {
		return w.Early + rand.N(w.EarlyJitter)
	}
	return w.Later + rand.N(w.LaterJitter)
}
