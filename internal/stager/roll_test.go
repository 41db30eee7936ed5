package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/weights"
)

var published = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

func TestTurnOf(t *testing.T) {
	const within = 7 * time.Second
	once := catalog.Target{}.With(catalog.TargetChange{Version: 2, SetAt: published})
	twice := once.With(catalog.TargetChange{Version: 3, SetAt: published.Add(2 * time.Second)})
	cases := []struct {
		name     string
		target   catalog.Target
		from     uint64
		arrival  time.Duration // When the weights arrive, after the first publication.
		position float64
		want     time.Duration // After the first publication.
	}{
		{"the first replica changes when the weights arrive", once, 1, 3 * time.Second, 0, 3 * time.Second},
		{"halfway between the arrival of the weights and the deadline", once, 1, 3 * time.Second, 0.5, 5 * time.Second},
		{"the last replica changes at the deadline", once, 1, 3 * time.Second, 1, 7 * time.Second},
		{"the deadline of the version it holds, not of the newest", twice, 1, 5 * time.Second, 1, 7 * time.Second},
		{"the newest weights arrive later", twice, 1, 5 * time.Second, 0, 5 * time.Second},
		{"a replica with the version between has more time", twice, 2, 5 * time.Second, 1, 9 * time.Second},
		{"the version between is loaded first", twice, 1, 3 * time.Second, 0, 3 * time.Second},
		{"late weights leave less time to all replicas", once, 1, 6 * time.Second, 0.5, 6500 * time.Millisecond},
		{"weights that arrive after the deadline", once, 1, 8 * time.Second, 0.5, 8 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(scheduleChange(tc.target, tc.from, published.Add(tc.arrival), within, tc.position).Sub(published), tc.want)
		})
	}
	is.New(t).True(scheduleChange(once, 2, published, within, 0).IsZero()) // The replica holds the newest version.
}

// All replicas have different positions in the rolling update. Those of a hall are spread over
// the whole period, so that no hall has two changes in a row while another has none.
func TestRollPositionsAreSpread(t *testing.T) {
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
		p := rollPosition(a, weights.Member{Name: ip, Hall: r.Hall})
		is.True(p >= 0 && p < 1)
		seen[p] = true
	}
	is.Equal(len(seen), 12)
}
