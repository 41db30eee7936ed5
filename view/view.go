// Package view holds the state of the cluster that a process has received, as
// immutable snapshots.
//
// A View combines the configuration in force, the fleet list and the placement
// computed from both. A Holder holds the newest View and notifies its watchers of
// changes. The revision in force and the version of the fleet list never decrease:
// the Holder refuses older ones, and panics if this invariant is violated.
package view

import (
	"fmt"
	"sync"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
)

// View is a snapshot. It is immutable once it is published.
type View struct {
	Head      *config.Head
	Digest    string            // Digest of all documents of Head.
	Docs      map[string][]byte // The documents of Head, by digest.
	Config    *config.Config    // Nil until the first revision is accepted.
	Fleet     *config.Table[fleet.Box]
	Boxes     map[string]fleet.Box // The values of Fleet.
	Placement *config.Placement
	// FreshUntil is the time until which the view counts as current, according to the
	// platform's last answer. Code that requires a current view compares it with the clock.
	FreshUntil time.Time
}

// Revision returns the revision of the configuration in force, or 0 if there is none.
func (v *View) Revision() uint64 { return v.Head.Version }

// Gateways returns the gateways of a hall that are not leaving, or those of all halls
// if hall is empty, sorted by name.
func (v *View) Gateways(hall string) []fleet.Box {
	return fleet.Select(v.Boxes, func(b fleet.Box) bool {
		return b.Class == fleet.ClassGateway && !b.Leaving && (hall == "" || b.Hall == hall)
	})
}

// Holder holds the newest View. The zero value holds an empty one.
type Holder struct {
	mu      sync.Mutex
	current *View
	changed chan struct{} // Closed and replaced at each change.
}

func emptyView() *View {
	return &View{Head: &config.Head{}, Fleet: &config.Table[fleet.Box]{}, Placement: &config.Placement{}}
}

// Get returns the newest view.
func (h *Holder) Get() *View {
	v, _ := h.Watch()
	return v
}

// Watch returns the newest view and a channel that is closed at the next change of its
// configuration or fleet list.
func (h *Holder) Watch() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.current, h.changed
}

func (h *Holder) init() {
	if h.current == nil {
		h.current = emptyView()
		h.changed = make(chan struct{})
	}
}

// Accept puts a revision in force. It returns an error if the revision is not newer than
// the one in force, or its documents are invalid. A refused revision changes nothing.
func (h *Holder) Accept(head *config.Head, docs map[string][]byte) error {
	if old := h.Get().Revision(); head.Version <= old {
		return fault.New(fault.OlderRevision, fmt.Sprintf("revision %d is in force, got %d", old, head.Version))
	}
	byName, byDigest, err := collectDocs(head, docs)
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
		v.Head, v.Digest, v.Docs, v.Config = head, digest, byDigest, cfg
		return nil
	})
}

// collectDocs returns the documents of head, which it looks up in docs by digest.
func collectDocs(head *config.Head, docs map[string][]byte) (byName, byDigest map[string][]byte, err error) {
	byName, byDigest = map[string][]byte{}, map[string][]byte{}
	for name, digest := range head.Values() {
		data, ok := docs[digest]
		if !ok || config.DocumentDigest(data) != digest {
			return nil, nil, fault.New(fault.DigestMismatch, name)
		}
		byName[name], byDigest[digest] = data, data
	}
	return byName, byDigest, nil
}

// SetFleet applies a change of the fleet list. It returns an error if the resulting
// version is not newer.
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

// ExtendFreshness extends the time until which the view counts as current. It ignores
// an earlier time.
func (h *Holder) ExtendFreshness(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if until.After(h.current.FreshUntil) {
		next := *h.current
		next.FreshUntil = until
		h.current = &next // Watchers are not notified: they do not act on FreshUntil.
	}
}

func (h *Holder) update(change func(v *View) error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	next := *h.current
	if err := change(&next); err != nil {
		return err
	}
	if next.Config != nil {
		next.Placement = config.Place(next.Config, next.Boxes)
	}
	if next.Revision() < h.current.Revision() || next.Fleet.Version < h.current.Fleet.Version {
		panic("view: a version decreased")
	}
	h.current = &next
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}
