package quarantine

import "time"

// Bounds of the record of served requests.
const (
	recentWindow = 5 * time.Second
	maxRecent    = 4096 // Requests in each of the two generations.
)

// recentSuccesses records when requests were last served here, for at least recentWindow unless
// there are more than maxRecent of them. The zero value is empty.
type recentSuccesses struct {
	current, previous map[Key]time.Time
	startedAt         time.Time // When the current generation was started.
}

func (r *recentSuccesses) add(now time.Time, k Key) {
	if r.current == nil || len(r.current) >= maxRecent || now.Sub(r.startedAt) > recentWindow {
		r.previous, r.current, r.startedAt = r.current, map[Key]time.Time{}, now
	}
	r.current[k] = now
}

// last returns when a request was last served; zero if that is not recorded.
func (r *recentSuccesses) last(k Key) time.Time {
	if at, ok := r.current[k]; ok {
		return at
	}
	return r.previous[k]
}
