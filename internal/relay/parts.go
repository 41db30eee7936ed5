package relay

import (
	"slices"
	"strings"
)

// Bounds of the parts of a prompt that are read from a request, whatever its caller sends.
const (
	maxParts     = 32 // Further parts are ignored.
	maxPartBytes = 64 // A part with a longer ID is ignored.
)

// sharedParts returns the IDs of the parts of a prompt that other requests may share: all but the
// last one, which belongs to the request or its session. They are in lower case, in order and
// without duplicates. Malformed entries are ignored, so that a bad header loses no request.
func sharedParts(header string) []string {
	last := strings.LastIndexByte(header, ',')
	if last < 0 {
		return nil
	}
	var out []string
	for entry := range strings.SplitSeq(header[:last], ",") {
		id, _, _ := strings.Cut(entry, ":")
		id = strings.ToLower(strings.TrimSpace(id))
		if id == "" || len(id) > maxPartBytes || slices.Contains(out, id) {
			continue
		}
		if out = append(out, id); len(out) == maxParts {
			break
		}
	}
	return out
}
