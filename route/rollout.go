package route

import (
	"sync"
	"time"
)

// Rollout remembers which version each service is asked for. The zero value
// has none.
type Rollout struct {
	mu       sync.Mutex
	services map[string]*rollState
}

type rollState struct {
	current  string // Asked for now.
	moved    string // The wanted version that current was moved to.
	revision uint64 // The configuration that wanted it; never falls.
}

// Target is what the configuration in force says of a service.
type Target struct {
	Service  string
	Digest   string
	Revision uint64
	MinReady int // Replicas that must have confirmed Digest before it is asked for.
}

// Version returns the version to ask for. It moves to the wanted one once
// enough replicas confirmed it, and never from there to another by itself.
func (o *Rollout) Version(now time.Time, w Target, r *Router) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services == nil {
		o.services = map[string]*rollState{}
	}
	s, ok := o.services[w.Service]
	if !ok {
		s = &rollState{}
		o.services[w.Service] = s
	}
	if w.Revision < s.revision || s.moved == w.Digest {
		return s.current
	}
	s.revision = w.Revision
	if r.CountReady(now, w.Service, w.Digest) >= max(1, w.MinReady) {
		s.current, s.moved = w.Digest, w.Digest
		return s.current
	}
	if s.current == "" {
		// A gateway that just started joins whatever the hall serves.
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
