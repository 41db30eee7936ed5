package quarantine

import "time"

// Bounds of the record of requests that ran.
const (
	recentWindow = 15 * time.Second
	maxRecent    = 4096 // Keys in each of the two generations.

	// A key that at least commonShare of the prompts in this record have is common, if there are
	// minForShare of them.
	commonShare = 0.8
	minForShare = 8
)

// success is what is recorded of a key.
type success struct {
	at    time.Time // When a request with this key last started to run and did no harm.
	count int       // Number of such requests in this generation.
}

// generation is a part of the record.
type generation struct {
	keys    map[Key]success
	prompts int // Number of requests with more than one key.
}

// recentSuccesses records when requests with a key last started to run without harm, for at least
// recentWindow unless there are more than maxRecent keys. The zero value is empty.
type recentSuccesses struct {
	current, previous generation
	since             time.Time // When the current generation was started.
}

// add records a request that started to run at a time.
func (r *recentSuccesses) add(now, startedAt time.Time, keys []Key) {
	if r.current.keys == nil || len(r.current.keys) >= maxRecent || now.Sub(r.since) > recentWindow {
		r.previous, r.current, r.since = r.current, generation{keys: map[Key]success{}}, now
	}
	if len(keys) > 1 {
		r.current.prompts++
	}
	for _, k := range keys {
		s := r.current.keys[k]
		s.count++
		if startedAt.After(s.at) {
			s.at = startedAt
		}
		r.current.keys[k] = s
	}
}

// last returns when a request with a key last started to run; zero if that is not recorded.
func (r *recentSuccesses) last(k Key) time.Time {
	if s, ok := r.current.keys[k]; ok {
		return s.at
	}
	return r.previous.keys[k].at
}

// isCommon reports whether nearly all recent requests whose prompts have shared parts had the key.
func (r *recentSuccesses) isCommon(k Key) bool {
	prompts := r.current.prompts + r.previous.prompts
	with := r.current.keys[k].count + r.previous.keys[k].count
	return prompts >= minForShare && float64(with) >= commonShare*float64(prompts)
}
