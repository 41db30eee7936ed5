// Package fleet holds what is known of the boxes.
//
// The platform publishes a list of live and leaving boxes, which lags. A
// Membership corrects it with what this process saw itself: a box that refused,
// timed out, announced a drain, or came back with another incarnation. What was
// seen is held until a stored deadline and then the list counts again, so a
// wrong belief ends by itself.
package fleet

import (
	"slices"
	"strings"
)

// ClassGateway is the class of entry boxes.
const ClassGateway = "gateway"

// Box is one entry of the fleet list. It is comparable.
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

// Names returns the names of boxes.
func Names(boxes []Box) []string {
	out := make([]string, len(boxes))
	for i, b := range boxes {
		out[i] = b.Name
	}
	return out
}
