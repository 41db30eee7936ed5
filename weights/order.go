package weights

import "github.com/poststand/poststand/rendezvous"

// order is the ranking of boxes for each chunk. The first box fetches the chunk from the
// origin, and the next ones take over if it does not.
type order struct {
	first    []string // First box, by chunk.
	position []int    // Number of boxes ranked before this one, by chunk.
}

// shareSlack is the number of chunks by which a box may exceed its share of the chunks
// assigned so far. With a smaller slack, a box that joins or leaves would change the first box
// of most other chunks.
const shareSlack = 2

// computeOrder ranks the boxes of every chunk by rendezvous hashing and returns the positions
// of self, one of names. If balanced is set, boxes that are already first for their share of
// all chunks, or for two more than their share of the chunks so far, are skipped when the
// first box is chosen, so that no box fetches many chunks in sequence while the origin is
// idle. Boxes with the same names compute the same orders.
func computeOrder(key func(chunk int) string, chunks int, self string, names []string, balanced bool) order {
	o := order{first: make([]string, chunks), position: make([]int, chunks)}
	scores, assigned := make([]uint64, len(names)), make([]int, len(names))
	for i := range chunks {
		k := key(i)
		share := chunks
		if balanced {
			share = min(i/max(1, len(names))+shareSlack, (chunks+len(names)-1)/max(1, len(names)))
		}
		first, selfIndex := -1, -1
		for j, n := range names {
			scores[j] = rendezvous.Score(k, n)
			if n == self {
				selfIndex = j
			}
			if assigned[j] < share && (first < 0 || before(scores, names, j, first)) {
				first = j
			}
		}
		o.position[i] = len(names) // Last, if self is not in names.
		if first < 0 {
			continue
		}
		assigned[first]++
		o.first[i] = names[first]
		if selfIndex >= 0 {
			o.position[i] = positionOf(scores, names, selfIndex, first)
		}
	}
	return o
}

// positionOf returns how many boxes are ranked before the box at index, given that the box at
// first is ranked before all others.
func positionOf(scores []uint64, names []string, index, first int) int {
	if index == first {
		return 0
	}
	n := 1
	for j := range names {
		if j != first && j != index && before(scores, names, j, index) {
			n++
		}
	}
	return n
}

// before reports whether the box at index a is ranked before the one at b.
func before(scores []uint64, names []string, a, b int) bool {
	if scores[a] != scores[b] {
		return scores[a] > scores[b]
	}
	return names[a] < names[b]
}
