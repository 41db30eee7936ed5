package admission

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Organisations that always have requests get work by their weights, whatever the size of their
// requests. By finish times that move with the virtual time, the one with the larger weight or
// the smaller requests got everything.
func TestFairOrderSharesWorkByWeight(t *testing.T) {
	type org struct {
		name         string
		weight, work float64
		want         float64 // Share of the work.
	}
	cases := []struct {
		name string
		orgs []org
	}{
		{"equal", []org{{"a", 1, 1, 0.5}, {"b", 1, 1, 0.5}}},
		{"weights", []org{{"a", 1, 1, 0.25}, {"b", 3, 1, 0.75}}},
		{"sizes", []org{{"a", 1, 30, 0.5}, {"b", 1, 1, 0.5}}},
		{"weights and sizes", []org{{"a", 1, 10, 0.2}, {"b", 2, 3, 0.4}, {"c", 2, 1, 0.4}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var o FairOrder
			got, total := map[string]float64{}, 0.0
			for range 10000 {
				next := tc.orgs[0]
				for _, c := range tc.orgs[1:] {
					if o.Next(c.name) < o.Next(next.name) {
						next = c
					}
				}
				o.Start(next.name, next.weight, next.work)
				got[next.name] += next.work
				total += next.work
			}
			for _, c := range tc.orgs {
				share := got[c.name] / total
				is.True(share > 0.98*c.want && share < 1.02*c.want)
			}
		})
	}
}

// Organisations that are removed from the configuration must not be kept for ever.
func TestFairOrderIsBounded(t *testing.T) {
	var o FairOrder
	for i := range 10 * maxFinishes {
		o.Start(strconv.Itoa(i), 1, 1)
		o.Start("busy", 1, 2)
	}
	is.New(t).True(len(o.finishes) <= maxFinishes+1)
}
