package peers

import (
	"math/rand/v2"
	"time"
)

// StartDelay is how long processes that have just started wait for what others know,
// before they read the platform themselves. All records may be hundreds of kilobytes: if
// all processes read them at once, a start of the whole system would bury the platform
// and the links between regions. A few read early, since those whom all ask first may be
// late or away.
type StartDelay struct {
	EarlyOneIn  int           // One process in so many reads early.
	Early       time.Duration // It waits at least this,
	EarlyJitter time.Duration // and up to so much more.
	Later       time.Duration // The others wait at least this,
	LaterJitter time.Duration // and up to so much more.
}

// Draw returns the wait of one process.
func (w StartDelay) Draw() time.Duration {
	if rand.IntN(w.EarlyOneIn) == 0 {
		return w.Early + rand.N(w.EarlyJitter)
	}
	return w.Later + rand.N(w.LaterJitter)
}
