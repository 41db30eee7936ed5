package route

import (
	"sync"
	"time"
)

// Rollout tracks which version of each service is requested. The zero value is ready to use.
type Rollout struct {
	mu       sync.Mutex
	services map[string]*rolloutState
}

type rolloutState struct {
	current  string // The version that is requested now.
	movedTo  string // The target version to which current was last moved.
	revision uint64 // Revision of the configuration that set the target; never decreases.
}

// Target is the version of a service that the configuration in force requests.
type Target struct {
	Service  string
	Digest   string
	Revision uint64
	MinReady int // Replicas that must report Digest as ready before it is requested.
}

// Version returns the version to request. It moves to the target version once enough replicas
// report it as ready, and from there only to the target of a newer configuration.
func (o *Rollout) Version(now time.Time, w Target, r *Router) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services == nil {
		o.services = map[string]*rolloutState{}
	}
	s, ok := o.services[w.Service]
	if !ok {
		s = &rolloutState{}
		o.services[w.Service] = s
	}
	if w.Revision < s.revision || s.movedTo == w.Digest {
		return s.current
	}
	s.revision = w.Revision
	if r.CountReady(now, w.Service, w.Digest) >= max(1, w.MinReady) {
		s.current, s.movedTo = w.Digest, w.Digest
		return s.current
	}
	if s.current == "" {
		// A gateway that has just started uses the version that most replicas of the hall
		// serve.
		s.current = mostReady(r.Versions(now, w.Service))
	}
	return s.current
}

func mostReady(versions map[string]int) string {
	best := ""
	for v, n := range versions {
		if best == "" || n > versions[best] || n == versions[best] && v < best {
			best = v
		}
	}
	return best
}
