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

// Within returns r restricted to regions as well. An empty list is no restriction.
func (r Residency) Within(regions []string) Residency {
	if len(regions) == 0 {
		return r
	}
	var allowed []string
	for _, region := range regions {
		if region != "" && r.Allows(region) {
			allowed = append(allowed, region)
		}
	}
	return Residency{Restricted: true, Regions: allowed}
}

// Allows reports whether a request may be served in a region. A hall whose region is not known
// has the empty one, which no restriction allows.
func (r Residency) Allows(region string) bool {
	return !r.Restricted || region != "" && slices.Contains(r.Regions, region)
}

// String lists the allowed regions, or returns "any" or "none".
func (r Residency) String() string {
	switch {
	case !r.Restricted:
		return "any"
	case len(r.Regions) == 0:
		return "none"
	}
	return strings.Join(r.Regions, ",")
}

// Restrict returns r restricted to where requests of a route and an organisation may be served.
// Either may be unknown to this configuration, and then restricts nothing.
func (c *Config) Restrict(r Residency, route, organisation string) Residency {
	return r.Within(c.Routes[route].AllowedRegions).Within(c.Organisations[organisation].AllowedRegions)
}
