package config

import (
	"slices"
	"strings"
)

// Residency says in which regions a request may be served, and its body and answer kept. The
// zero value allows every region.
type Residency struct {
	Restricted bool     // Only Regions are allowed.
	Regions    []string // Empty unless Restricted; if it is empty then, no region is allowed.
}

// Within returns p restricted to regions as well. An empty list is no restriction.
func (p Residency) Within(regions []string) Residency {
	if len(regions) == 0 {
		return p
	}
	var allowed []string
	for _, r := range regions {
		if r != "" && p.Allows(r) {
			allowed = append(allowed, r)
		}
	}
	return Residency{Restricted: true, Regions: allowed}
}

// Allows reports whether a request may be served in a region. A hall whose region is not known
// has the empty one, which no restriction allows.
func (p Residency) Allows(region string) bool {
	return !p.Restricted || region != "" && slices.Contains(p.Regions, region)
}

// String lists the allowed regions, or returns "any" or "none".
func (p Residency) String() string {
	switch {
	case !p.Restricted:
		return "any"
	case len(p.Regions) == 0:
		return "none"
	}
	return strings.Join(p.Regions, ",")
}

// Restrict returns p restricted to where requests of a route and an organisation may be served.
// Either may be unknown to this configuration, and then restricts nothing.
func (c *Config) Restrict(p Residency, route, organisation string) Residency {
	return p.Within(c.Routes[route].AllowedRegions).Within(c.Organisations[organisation].AllowedRegions)
}
