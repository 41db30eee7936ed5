// Package capacity measures what docs/CAPACITY.md is calculated from: how memory, processor time
// and bytes grow with the number of connections, boxes, services and chunks. It has tests only;
// TestMeasure fits a line through each quantity and prints its slope.
package capacity
