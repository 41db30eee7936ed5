package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/weights"
)

var named = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

func TestTurnOf(t *testing.T) {
	const within = 7 * time.Second
	once := catalog.Target{}.With(catalog.TargetChange{Version: 2, SetAt: named})
	twice := once.With(catalog.TargetChange{Version: 3, SetAt: named.Add(2 * time.Second)})
	cases := []struct {
		name   string
		wanted catalog.Target
		from   uint64
		here   time.Duration // The weights, after the first naming.
		place  float64
		want   time.Duration // After the first naming.
	}{
		{"the first waits for the weights alone", once, 1, 3 * time.Second, 0, 3 * time.Second},
		{"half way between the weights and the bound", once, 1, 3 * time.Second, 0.5, 5 * time.Second},
		{"the last at the bound", once, 1, 3 * time.Second, 1, 7 * time.Second},
		{"the bound of the version it holds, not of the newest", twice, 1, 5 * time.Second, 1, 7 * time.Second},
		{"the newest weights come later", twice, 1, 5 * time.Second, 0, 5 * time.Second},
		{"one that holds the version between has longer", twice, 2, 5 * time.Second, 1, 9 * time.Second},
		{"the one between is taken first", twice, 1, 3 * time.Second, 0, 3 * time.Second},
		{"weights that come late leave less time to all", once, 1, 6 * time.Second, 0.5, 6500 * time.Millisecond},
		{"weights that come after the bound", once, 1, 8 * time.Second, 0.5, 8 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(turnOf(tc.wanted, tc.from, named.Add(tc.here), within, tc.place).Sub(named), tc.want)
		})
	}
	is.New(t).True(turnOf(once, 2, named, within, 0).IsZero()) // It holds the newest.
}

// Places of all replicas differ, and those of a hall are spread over the whole
// time: it never has two neighbours in a row while another hall has none.
func TestPlacesAreSpread(t *testing.T) {
	is := is.New(t)
	a := &peers.Assignment{Model: "m"}
	for _, hall := range []string{"h1", "h2", "h3"} {
		for i := range 4 {
			a.Replicas = append(a.Replicas, peers.Replica{Addr: hall + string(rune('a'+i)) + ":1", Hall: hall, Version: 1})
		}
	}
	a.Replicas = append(a.Replicas,
		peers.Replica{Addr: "empty:1", Hall: "h1"}, peers.Replica{Addr: "leaves:1", Hall: "h1", Version: 1, Leaving: true})
	seen := map[float64]bool{}
	for _, r := range a.Replicas[:12] {
		ip, _ := splitAddr(r.Addr)
		p := placeOf(a, weights.Member{Name: ip, Hall: r.Hall})
		is.True(p >= 0 && p < 1)
		seen[p] = true
	}
	is.Equal(len(seen), 12)
}
