package config

import (
	"testing"

	"github.com/matryer/is"
)

func TestResidency(t *testing.T) {
	cases := []struct {
		route, organisation []string
		want                string
		allows              []string // Of a, b and the empty region.
	}{
		{nil, nil, "any", []string{"a", "b", ""}},
		{[]string{"a"}, nil, "a", []string{"a"}},
		{nil, []string{"b"}, "b", []string{"b"}},
		{[]string{"a", "b"}, []string{"b"}, "b", []string{"b"}},
		{[]string{"b", "a"}, []string{}, "b,a", []string{"a", "b"}},
		{[]string{"a"}, []string{"b"}, "none", nil},
		{[]string{"elsewhere"}, nil, "elsewhere", nil},
		{[]string{""}, nil, "none", nil},
	}
	for _, tc := range cases {
		t.Run(tc.want, func(t *testing.T) {
			is := is.New(t)
			c := &Config{
				Routes:        map[string]Route{"r": {AllowedRegions: tc.route}},
				Organisations: map[string]Organisation{"o": {AllowedRegions: tc.organisation}},
			}
			r := c.Restrict(Residency{}, "r", "o")
			is.Equal(r.String(), tc.want)
			var allows []string
			for _, region := range []string{"a", "b", ""} {
				if r.Allows(region) {
					allows = append(allows, region)
				}
			}
			is.Equal(allows, tc.allows)
			is.Equal(c.Restrict(Residency{}, "other", "other").String(), "any")
		})
	}
}
