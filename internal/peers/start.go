package peers

import (
	"math/rand/v2"
	"time"
)

// StartWait is how long processes that have just started wait for what others know,
// before they read the platform themselves. All records may be hundreds of kilobytes: if
// all processes read them at once, a start of the whole system would bury the platform
// and the links between regions. A few read early, since those whom all ask first may be
// late or away.
type StartWait struct {
	OneIn       int           // One process in so many reads early.
	Early       time.Duration // It waits at least this,
	EarlySpread time.Duration // and up to so much more.
	Later       time.Duration // The others wait at least this,
	LaterSpread time.Duration // and up to so much more.
}

// Draw returns the wait of one process.
func (w StartWait) Draw() time.Duration {
	if rand.IntN(w.OneIn) == 0 {
		return w.Early + rand.N(w.EarlySpread)
	}
	return w.Later + rand.N(w.LaterSpread)
}
