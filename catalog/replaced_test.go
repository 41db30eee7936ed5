package catalog

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/mirror"
)

// An entry that does not say when its replica started, of another writer, took the place of the replica at its address for good.
func TestEntryWithoutBornReplacesNoReplica(t *testing.T) {
	for _, tc := range []struct {
		name          string
		listed, later int64 // When the two started.
		want          string
	}{{"neither says", 0, 0, "later"}, {"both say", 5, 6, "later"}, {"the clock was set back", 6, 5, "later"}, {"the later one does not say", 5, 0, "listed"}, {"the earlier one does not say", 0, 5, "later"}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := &Catalog{Upstreams: map[string]fleet.Upstream{
				"listed": {Incarnation: fleet.Incarnation{ID: "listed", Born: tc.listed}, Addr: "10.0.0.1:80", ListedAt: 7},
				"later":  {Incarnation: fleet.Incarnation{ID: "later", Born: tc.later}, Addr: "10.0.0.1:80", ListedAt: 9},
			}}
			c.DropReplaced()
			is.Equal(len(c.Upstreams), 1)
			is.Equal(c.Upstreams[tc.want].ID, tc.want)
		})
	}
}

// Of several incarnations at one address, the one whose entry changed last is kept.
func TestDropReplaced(t *testing.T) {
	is := is.New(t)
	c := &Catalog{Upstreams: map[string]fleet.Upstream{
		"crashed": {Incarnation: fleet.Incarnation{ID: "crashed"}, Addr: "10.0.0.1:80", ListedAt: 7},
		"newer":   {Incarnation: fleet.Incarnation{ID: "newer"}, Addr: "10.0.0.1:80", ListedAt: 9},
		"ended":   {Incarnation: fleet.Incarnation{ID: "ended"}, Addr: "10.0.0.1:80", ListedAt: 3, Leaving: true},
		"other":   {Incarnation: fleet.Incarnation{ID: "other"}, Addr: "10.0.0.2:80", ListedAt: 1},
	}}
	c.DropReplaced()
	is.Equal(len(c.Upstreams), 2)
	is.Equal(c.Upstreams["newer"].ListedAt, mirror.Position(9))
	is.Equal(c.Upstreams["other"].ListedAt, mirror.Position(1))
}
