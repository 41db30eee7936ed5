// Package catalog joins what a process believes of the published state: the
// configuration, the upstreams and the versions that are wanted.
//
// A Catalog is an immutable snapshot. A Holder keeps the newest; the version of
// the configuration in force never falls.
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

// TargetChange is one naming of a version.
type TargetChange struct {
	Version uint64
	SetAt   time.Time // Not before it, as far as this process knows.
}

// Target is what was named for a model's weights.
type Target struct {
	Version uint64         // The newest.
	Changes []TargetChange // The last ones, in their order.
}

// MaxChanges bounds the steps that a Wanted remembers.
const MaxChanges = 32

// With returns w with one more step. Of too many, the oldest two become one that is as old
// as the first: what either overtook must get no more time. When the oldest of eight was
// forgotten, 333 requests began on a version whose time was over, on a day with 12 namings
// 0.7 s apart.
func (w Target) With(s TargetChange) Target {
	steps := append(slices.Clone(w.Changes), s)
	for i := range steps {
		// Those before it were named before it. One that is heard of late, without a proof of
		// its time, else looks younger than what overtook it: a gateway took one for 5.5 s old
		// and the next for 11.8, and let requests begin on the version before 14 s after it.
		steps[i].SetAt = times.Earlier(steps[i].SetAt, s.SetAt)
	}
	if len(steps) > MaxChanges {
		steps[1].SetAt = steps[0].SetAt
		steps = steps[1:]
	}
	return Target{Version: max(w.Version, s.Version), Changes: steps}
}

// SupersededAt returns when the first version newer than v was named, or zero if
// none was.
func (w Target) SupersededAt(v uint64) time.Time {
	for _, s := range w.Changes {
		if s.Version > v {
			return s.SetAt
		}
	}
	return time.Time{}
}

// Catalog is one snapshot. Nothing in it changes once it is published.
type Catalog struct {
	Position  mirror.Position // Of the published records.
	Version   uint64          // Of the configuration.
	Config    *config.Config  // Nil until one is known.
	Routing   *config.Routing // Of Config.
	Upstreams map[string]fleet.Upstream
	Targets   map[string]Target // By model.
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

// DropReplaced drops upstreams of whose address a later one is listed: an incarnation that
// crashed stays in the list for a while beside the one that follows it, and what is told
// of the address would be taken to be of either. It is called before c is published.
func (c *Catalog) DropReplaced() {
	at := map[string]fleet.Upstream{}
	for _, u := range c.Upstreams {
		if o, ok := at[u.Addr]; !ok || u.ListedAt > o.ListedAt {
			at[u.Addr] = u
		}
	}
	for id, u := range c.Upstreams {
		if at[u.Addr].ID != id {
			delete(c.Upstreams, id)
		}
	}
}

// Holder keeps the newest Catalog. The zero value holds an empty one.
type Holder struct {
	mu      sync.Mutex
	now     *Catalog
	changed chan struct{}
}

func (h *Holder) init() {
	if h.now == nil {
		h.now = &Catalog{}
		h.changed = make(chan struct{})
	}
}

// Get returns the newest catalog.
func (h *Holder) Get() *Catalog {
	c, _ := h.Watch()
	return c
}

// Watch returns the newest catalog and a channel that is closed when the next
// one is there.
func (h *Holder) Watch() (*Catalog, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.now, h.changed
}

// Set publishes a catalog. It panics if a version were to fall, since mirrors
// never go back.
func (h *Holder) Set(c *Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if c.Position < h.now.Position || c.Version < h.now.Version {
		panic("catalog: a version fell")
	}
	h.now = c
	close(h.changed)
	h.changed = make(chan struct{})
}
