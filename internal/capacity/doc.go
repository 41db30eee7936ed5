// Package capacity holds the measurements that docs/CAPACITY.md is worked out
// from: slopes of memory, processor time and bytes by the number of
// connections, boxes, services and chunks. It has tests only.
package capacity
