// Package catalog combines the published state that a process has received: the
// configuration, the upstreams and the target version of each model.
//
// A Catalog is an immutable snapshot. A Holder keeps the newest one and notifies its
// watchers; the position and the configuration's version never decrease.
package catalog

import (
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/mirror"
)

// TargetChange is one change of a model's target version.
type TargetChange struct {
	Version uint64
	SetAt   time.Time // The earliest time at which it may have been set, as far as is known to this process.
}

// Target is the target version of a model's weights.
type Target struct {
	Version uint64         // The newest.
	Changes []TargetChange // The last changes, oldest first.
}

// MaxChanges bounds the number of changes that a Target keeps.
const MaxChanges = 32

// With returns t with one more change. Of too many changes, the oldest two are merged into one with
// the time of the first, so that the versions that either superseded get no additional time. Dropping
// the oldest of eight changes instead let 333 requests start on a version past its deadline, when 12
// target versions were set 0.7 s apart.
func (t Target) With(c TargetChange) Target {
	changes := append(slices.Clone(t.Changes), c)
	for i := range changes {
		// Earlier changes were made before this one. Without this bound, a change that was received late
		// and without a proven time appears to be younger than the changes that superseded it: a gateway
		// assumed an age of 5.5 s for one change and of 11.8 s for the next, and started requests on the
		// version before them until 14 s after it was superseded.
		changes[i].SetAt = times.Earlier(changes[i].SetAt, c.SetAt)
	}
	if len(changes) > MaxChanges {
		changes[1].SetAt = changes[0].SetAt
		changes = changes[1:]
	}
	return Target{Version: max(t.Version, c.Version), Changes: changes}
}

// SupersededAt returns when the first version newer than v was set, or zero if
// none was.
func (t Target) SupersededAt(v uint64) time.Time {
	for _, c := range t.Changes {
		if c.Version > v {
			return c.SetAt
		}
	}
	return time.Time{}
}

// Catalog is one snapshot. Nothing in it changes once it is published.
type Catalog struct {
	Position  mirror.Position // Position of the published records.
	Version   uint64          // Version of the configuration.
	Config    *config.Config  // Nil until a configuration is received.
	Routing   *config.Routing // Derived from Config.
	Upstreams map[string]fleet.Upstream
	Targets   map[string]Target // By model.
	// DrainedHalls are the halls that the operator has drained. Their upstreams get no further
	// requests; their gateways go on.
	DrainedHalls map[string]bool
}

// UpstreamsOf returns the upstreams of a service, in no order.
func (c *Catalog) UpstreamsOf(service string) []fleet.Upstream {
	var out []fleet.Upstream
	for _, u := range c.Upstreams {
		if u.Service == service {
			out = append(out, u)
		}
	}
	return out
}

// DropReplaced removes each upstream that one listed later with the same address replaces. A crashed
// incarnation stays listed for a while beside its successor, and information about the address
// would be attributed to either. An upstream of a service that is not configured replaces none of one that
// is. It must be called before c is published.
func (c *Catalog) DropReplaced() {
	newest := map[string]fleet.Upstream{}
	for _, u := range c.Upstreams {
		if o, ok := newest[u.Addr]; !ok || c.replaces(&u, &o) {
			newest[u.Addr] = u
		}
	}
	for id, u := range c.Upstreams {
		if newest[u.Addr].ID != id {
			delete(c.Upstreams, id)
		}
	}
}

// replaces reports whether u, rather than o, is the upstream at the address of both.
func (c *Catalog) replaces(u, o *fleet.Upstream) bool {
	if known := c.hasService(u.Service); known != c.hasService(o.Service) {
		return known
	}
	if u.Born != o.Born && (u.Born == 0 || o.Born == 0) {
		return u.Born != 0 // All that a replica says of itself has the time of its start.
	}
	return u.ListedAt > o.ListedAt
}

// hasService reports whether a service is configured.
func (c *Catalog) hasService(name string) bool {
	if c.Config == nil {
		return false
	}
	_, ok := c.Config.Services[name]
	return ok
}

// Holder keeps the newest Catalog. The zero value holds an empty one.
type Holder struct {
	mu      sync.Mutex
	current *Catalog
	changed chan struct{}
}

func (h *Holder) init() {
	if h.current == nil {
		h.current = &Catalog{}
		h.changed = make(chan struct{})
	}
}

// Get returns the newest catalog.
func (h *Holder) Get() *Catalog {
	c, _ := h.Watch()
	return c
}

// Watch returns the newest catalog and a channel that is closed when the next
// one is set.
func (h *Holder) Watch() (*Catalog, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.current, h.changed
}

// Set publishes a catalog. It panics if the position or the version would decrease, since mirrors
// never move backwards.
func (h *Holder) Set(c *Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if c.Position < h.current.Position || c.Version < h.current.Version {
		panic("catalog: position or version decreased")
	}
	h.current = c
	close(h.changed)
	h.changed = make(chan struct{})
}
