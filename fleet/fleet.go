// Package fleet defines the members of a fleet: boxes and the upstreams of services.
//
// The platform publishes a list of live and leaving members, which lags behind their actual
// state. A Box is one entry of the list of boxes. An Upstream is one listed replica of a
// service, and its Incarnation distinguishes a replica from the ones before a restart.
package fleet

import (
	"slices"
	"strings"
)

// ClassGateway is the class of boxes that run gateways.
const ClassGateway = "gateway"

// Box is one entry of the published list of boxes. It is comparable.
type Box struct {
	Name    string
	Hall    string
	Class   string // ClassGateway, or the class that services select by.
	Addr    string // IP and port for other processes of the system.
	Leaving bool
}

// Live returns the boxes that are not leaving, by name.
func Live(boxes map[string]Box) []Box {
	return Select(boxes, func(b Box) bool { return !b.Leaving })
}

// Select returns the boxes that keep accepts, by name.
func Select(boxes map[string]Box, keep func(Box) bool) []Box {
	var out []Box
	for _, b := range boxes {
		if keep(b) {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Box) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Names returns the names of boxes, in their order.
func Names(boxes []Box) []string {
	out := make([]string, len(boxes))
	for i, b := range boxes {
		out[i] = b.Name
	}
	return out
}
