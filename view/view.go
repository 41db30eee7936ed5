// Package view holds what a process believes, as immutable snapshots.
//
// A View joins the configuration in force, the fleet list and the placement
// that follows from both. A Holder keeps the newest and tells its watchers. The
// revision in force and the version of the fleet list never fall: the Holder
// refuses what is older, and panics if its own invariant were to break.
package view

import (
	"fmt"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// View is one snapshot. Nothing in it changes once it is published.
type View struct {
	Head      *config.Head
	Digest    string            // Of all documents of Head.
	Docs      map[string][]byte // The documents of Head, by digest.
	Config    *config.Config    // Nil until the first revision is accepted.
	Fleet     *config.Table[fleet.Box]
	Boxes     map[string]fleet.Box // The values of Fleet.
	Placement *config.Placement
	// FreshUntil is the time until which the platform's last answer vouches for
	// this view. A duty that needs a current view compares it with the clock.
	FreshUntil time.Time
}

// Revision is the number of the configuration in force, 0 for none.
func (v *View) Revision() uint64 { return v.Head.Version }

// Gateways returns the live gateways of a hall, or of all halls if hall is
// empty, by name.
func (v *View) Gateways(hall string) []fleet.Box {
	return fleet.Select(v.Boxes, func(b fleet.Box) bool {
		return b.Class == fleet.ClassGateway && !b.Leaving && (hall == "" || b.Hall == hall)
	})
}

// Holder keeps the newest View. The zero value holds an empty one.
type Holder struct {
	mu      sync.Mutex
	now     *View
	changed chan struct{} // Closed and replaced at each change.
}

func empty() *View {
	return &View{Head: &config.Head{}, Fleet: &config.Table[fleet.Box]{}, Placement: &config.Placement{}}
}

// Get returns the newest view.
func (h *Holder) Get() *View {
	v, _ := h.Watch()
	return v
}

// Watch returns the newest view and a channel that is closed when the next one
// is there.
func (h *Holder) Watch() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.now, h.changed
}

func (h *Holder) init() {
	if h.now == nil {
		h.now = empty()
		h.changed = make(chan struct{})
	}
}

// Accept puts a revision in force, or returns why it is refused: it is older,
// or its documents are not valid. A refused revision changes nothing.
func (h *Holder) Accept(head *config.Head, docs map[string][]byte) error {
	if old := h.Get().Revision(); head.Version <= old {
		return fault.New(fault.OlderRevision, fmt.Sprintf("have %d, got %d", old, head.Version))
	}
	byName, held, err := collect(head, docs)
	if err != nil {
		return err
	}
	cfg, err := config.Parse(byName)
	if err != nil {
		return err
	}
	digest := config.HeadDigest(head.Values())
	return h.update(func(v *View) error {
		if head.Version <= v.Revision() {
			return fault.New(fault.OlderRevision, "overtaken")
		}
		v.Head, v.Digest, v.Docs, v.Config = head, digest, held, cfg
		return nil
	})
}

// collect finds the documents of head among docs, by digest.
func collect(head *config.Head, docs map[string][]byte) (byName, held map[string][]byte, err error) {
	byName, held = map[string][]byte{}, map[string][]byte{}
	for name, digest := range head.Values() {
		data, ok := docs[digest]
		if !ok || config.DocumentDigest(data) != digest {
			return nil, nil, fault.New(fault.DigestMismatch, name)
		}
		byName[name], held[digest] = data, data
	}
	return byName, held, nil
}

// SetFleet takes a newer fleet list.
func (h *Holder) SetFleet(d config.Delta[fleet.Box]) error {
	return h.update(func(v *View) error {
		t := v.Fleet.Clone()
		if err := t.Apply(d); err != nil {
			return err
		}
		v.Fleet, v.Boxes = t, t.Values()
		return nil
	})
}

// Vouch extends the time until which the view counts as current.
func (h *Holder) Vouch(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if until.After(h.now.FreshUntil) {
		next := *h.now
		next.FreshUntil = until
		h.now = &next // No wake-up: nothing that others act on has changed.
	}
}

func (h *Holder) update(change func(v *View) error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	next := *h.now
	if err := change(&next); err != nil {
		return err
	}
	if next.Config != nil {
		next.Placement = config.Place(next.Config, next.Boxes)
	}
	if next.Revision() < h.now.Revision() || next.Fleet.Version < h.now.Fleet.Version {
		panic("view: a version fell")
	}
	h.now = &next
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}
