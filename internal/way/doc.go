// Package way is a model of a version's way to its boxes: the real planner of package
// weights for each box, over a described network, with faults that are planned ahead.
// Time is virtual and a play takes milliseconds, so that hundreds of random plans can be
// compared with what the links would allow at best.
//
// What is left out: manifests (boxes begin once they have theirs), processor time, other
// traffic on the links, and the lists of boxes, which are taken to be the same everywhere.
package way
