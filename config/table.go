package config

import (
	"fmt"
	"slices"

	"github.com/poststand/poststand/fault"
)

// maxTombstones bounds the removed entries that a Table keeps, and maxVisited the
// versions for which it can compute a delta. A reader at any other version is sent the
// whole table.
const (
	maxTombstones = 1024
	maxVisited    = 1024
)

// Entry is one value and the version at which it changed in this process's table.
type Entry[V comparable] struct {
	Value   V
	Version uint64
	Gone    bool // A tombstone: the entry was removed, and is kept so that a delta can list it.
}

// Table is a keyed set with an increasing version. The zero value is empty.
type Table[V comparable] struct {
	Version uint64 // Never decreases.
	Entries map[string]Entry[V]
	// visited holds, in order, the versions whose exact contents this table had. A delta
	// can start only from these: a version that was skipped may have had entries that
	// this table never had.
	visited []uint64
}

// Delta holds the changes between two versions of a Table.
type Delta[V comparable] struct {
	Base    uint64 // The delta applies only to a table of exactly this version.
	Version uint64
	Whole   bool // Set holds every entry; all others are removed.
	Set     map[string]V
	Gone    []string
}

// Replace replaces all entries at a version. An older or equal version is refused with
// fault.OlderRevision.
func (t *Table[V]) Replace(version uint64, values map[string]V) error {
	return t.Apply(Delta[V]{Version: version, Whole: true, Set: values})
}

// Apply brings the table to the version of d. A delta that is not newer, or that
// starts at a version other than the table's, is refused with
// fault.OlderRevision and changes nothing.
func (t *Table[V]) Apply(d Delta[V]) error {
	if d.Version <= t.Version {
		return fault.New(fault.OlderRevision, fmt.Sprintf("have %d, got %d", t.Version, d.Version))
	}
	if !d.Whole && d.Base != t.Version {
		return fault.New(fault.OlderRevision, fmt.Sprintf("delta from %d, have %d", d.Base, t.Version))
	}
	if t.Entries == nil {
		t.Entries = map[string]Entry[V]{}
	}
	for k, v := range d.Set {
		if e, ok := t.Entries[k]; !ok || e.Gone || e.Value != v {
			t.Entries[k] = Entry[V]{Value: v, Version: d.Version}
		}
	}
	for _, k := range d.Gone {
		t.remove(k, d.Version)
	}
	if d.Whole {
		for k := range t.Entries {
			if _, kept := d.Set[k]; !kept {
				t.remove(k, d.Version)
			}
		}
	}
	t.Version = d.Version
	t.visited = append(t.visited, d.Version)
	if len(t.visited) > maxVisited {
		t.visited = slices.Clone(t.visited[1:])
	}
	t.prune()
	return nil
}

func (t *Table[V]) remove(k string, version uint64) {
	if e, ok := t.Entries[k]; ok && !e.Gone {
		t.Entries[k] = Entry[V]{Version: version, Gone: true}
	}
}

// prune deletes all tombstones if there are more than maxTombstones. Deltas from earlier
// versions are then impossible.
func (t *Table[V]) prune() {
	var gone []string
	for k, e := range t.Entries {
		if e.Gone {
			gone = append(gone, k)
		}
	}
	if len(gone) <= maxTombstones {
		return
	}
	for _, k := range gone {
		delete(t.Entries, k)
	}
	t.visited = []uint64{t.Version}
}

// Since returns the delta for a reader at version v.
func (t *Table[V]) Since(v uint64) Delta[V] {
	d := Delta[V]{Base: v, Version: t.Version, Whole: !slices.Contains(t.visited, v), Set: map[string]V{}}
	for k, e := range t.Entries {
		switch {
		case !d.Whole && e.Version <= v:
		case !e.Gone:
			d.Set[k] = e.Value
		case !d.Whole:
			d.Gone = append(d.Gone, k)
		}
	}
	return d
}

// Values returns the values of all entries that are not removed.
func (t *Table[V]) Values() map[string]V {
	out := make(map[string]V, len(t.Entries))
	for k, e := range t.Entries {
		if !e.Gone {
			out[k] = e.Value
		}
	}
	return out
}

// Clone returns an independent copy.
func (t *Table[V]) Clone() *Table[V] {
	c := &Table[V]{Version: t.Version, visited: slices.Clone(t.visited), Entries: make(map[string]Entry[V], len(t.Entries))}
	for k, e := range t.Entries {
		c.Entries[k] = e
	}
	return c
}
