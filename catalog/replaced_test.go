package catalog

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/mirror"
)

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
