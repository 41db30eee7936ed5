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
func (o *Rollout) Version(now time.Time, target Target, r *Router) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services == nil {
		o.services = map[string]*rolloutState{}
	}
	s, ok := o.services[target.Service]
	if !ok {
		s = &rolloutState{}
		o.services[target.Service] = s
	}
	if target.Revision < s.revision || s.movedTo == target.Digest {
		return s.current
	}
	s.revision = target.Revision
	if r.CountReady(now, target.Service, target.Digest) >= max(1, target.MinReady) {
		s.current, s.movedTo = target.Digest, target.Digest
		return s.current
	}
	if s.current == "" {
		// A gateway that has just started uses the version that most replicas of the hall
		// serve.
		s.current = mostReady(r.Versions(now, target.Service))
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
