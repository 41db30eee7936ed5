// Package rendezvous orders nodes for a key by highest-random-weight hashing.
//
// Every process with the same set of nodes computes the same order. Adding or removing a
// node moves only the keys for which that node is the first choice.
package rendezvous

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of node for key.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return mix(d.Sum64())
}

// mix spreads short inputs over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns nodes in the order of preference for key.
func Rank(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, Score(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.node
	}
	return out
}

// First returns the first choice for key, or the empty string if there are no nodes.
func First(key string, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		s := Score(key, n)
		if best == "" || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}

// Position returns how many nodes rank before self for key.
func Position(key, self string, nodes []string) int {
	selfScore, before := Score(key, self), 0
	for _, n := range nodes {
		s := Score(key, n)
		if n != self && (s > selfScore || s == selfScore && n < self) {
			before++
		}
	}
	return before
}

// Sorted returns the keys of m in order, for deterministic iteration.
func Sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
