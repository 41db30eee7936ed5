package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A gateway refuses less urgent requests while others of its hall refuse more urgent ones, and no
// longer than StateExpiry after their last message: a gateway that is cut off or ends must not
// keep others from sending.
func TestPressure(t *testing.T) {
	cases := []struct {
		name     string
		states   map[string]int
		rank     int
		after    time.Duration
		cut      bool
		refusing bool
	}{
		{"no state", nil, 2, 0, false, false},
		{"more urgent rank refused", map[string]int{"g1": 1}, 2, 0, true, true},
		{"same rank refused", map[string]int{"g1": 2}, 2, 0, false, true},
		{"less urgent rank refused", map[string]int{"g1": 3}, 2, 0, false, true},
		{"different views of two gateways", map[string]int{"g1": 3, "g2": 1}, 2, 0, true, true},
		{"refusal in the last second, none now", map[string]int{"g1": NoRank}, 2, 0, false, true},
		{"just before the expiry", map[string]int{"g1": 1}, 2, StateExpiry - 1, true, true},
		{"no further message", map[string]int{"g1": 1}, 2, StateExpiry, false, false},
		{"absurd rank of a request", map[string]int{"g1": 0}, -3, 0, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var p Pressure
			for gateway, rank := range tc.states {
				p.RecordState(start, gateway, rank)
			}
			now := start.Add(tc.after)
			is.Equal(p.Cuts(now, tc.rank), tc.cut)
			is.Equal(p.Refusing(now), tc.refusing)
			is.True(!p.RefusedHere(now)) // A received state is not passed on.
		})
	}
}

func TestRefusalIsRememberedForASecond(t *testing.T) {
	is := is.New(t)
	var p Pressure
	p.RecordRefusal(start)
	is.True(p.RefusedHere(start.Add(RefusalMemory - 1)))
	is.True(!p.Refusing(start.Add(RefusalMemory)))
}
