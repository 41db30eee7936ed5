// Package way simulates the distribution of a version to its boxes. Each box runs the real
// weights.Plan over a described network, with scheduled faults. Time is virtual
// and a run takes milliseconds, so that hundreds of random scenarios can be compared with the
// lower bound given by the links.
//
// The simulation omits manifests (boxes start once they have them), processor time, other
// traffic on the links, and differences between the member lists of boxes.
package way
