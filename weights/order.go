package weights

import "github.com/poststand/poststand/rendezvous"

// order is who looks after each chunk: the first box of the chunk's order gets it,
// and the next ones take over if that one does not.
type order struct {
	first    []string // By chunk.
	position []int    // Boxes ahead of this one, by chunk.
}

// aheadOfShare is by how many chunks a box may be ahead of its share of those so far. With
// fewer, a box that comes or goes would change who is first for most of the others.
const aheadOfShare = 2

// orderOf works the order of every chunk out, for one of names. Each chunk's boxes
// are ranked by its key, but for the first one: with balanced set, that is the best
// of those that are not yet first for their share, or for two more than their share of
// the chunks so far. So no box has many chunks to get one after the other while the
// origin is idle. Boxes that know the same names compute the same orders.
func orderOf(key func(chunk int) string, chunks int, self string, names []string, balanced bool) order {
	o := order{first: make([]string, chunks), position: make([]int, chunks)}
	scores, led := make([]uint64, len(names)), make([]int, len(names))
	for i := range chunks {
		k := key(i)
		share := chunks
		if balanced {
			share = min(i/max(1, len(names))+aheadOfShare, (chunks+len(names)-1)/max(1, len(names)))
		}
		first, at := -1, -1
		for j, n := range names {
			scores[j] = rendezvous.Score(k, n)
			if n == self {
				at = j
			}
			if led[j] < share && (first < 0 || before(scores, names, j, first)) {
				first = j
			}
		}
		o.position[i] = len(names) // Last, if it is none of them.
		if first < 0 {
			continue
		}
		led[first]++
		o.first[i] = names[first]
		if at >= 0 {
			o.position[i] = position(scores, names, at, first)
		}
	}
	return o
}

// position is how many boxes come before the one at an index, if first comes before
// all others.
func position(scores []uint64, names []string, at, first int) int {
	if at == first {
		return 0
	}
	n := 1
	for j := range names {
		if j != first && j != at && before(scores, names, j, at) {
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
