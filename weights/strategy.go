package weights

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/poststand/poststand/rendezvous"
)

// Member is a box that wants an artifact.
type Member struct {
	Name string
	Hall string
	Addr string
}

// Strategy is who may get what from whom.
type Strategy struct {
	Name string
	// Neighbours returns the boxes that self connects to. A connection serves
	// both ends.
	Neighbours func(self Member, members []Member) []Member
	// OrderKey is the rendezvous key of a chunk. The box that is first for it
	// fetches the chunk from the origin. Nil lets every box use the origin.
	OrderKey func(chunk int) string
	// Balanced gives no box more than its share of the chunks to get first.
	Balanced bool
}

// Degrees of the swarm's graph: what a box dials. It is dialled as often.
const (
	dialInHall    = 6
	dialElsewhere = 4
)

// Swarm is pull from a few neighbours, rarest chunk first, each chunk fetched
// from the origin by one box of its own.
var Swarm = Strategy{Name: "swarm", Neighbours: swarmNeighbours, OrderKey: func(chunk int) string { return "chunk/" + strconv.Itoa(chunk) }, Balanced: true}

// Tree is one binary tree over all boxes; only its root uses the origin.
var Tree = Strategy{Name: "tree", Neighbours: treeParent, OrderKey: func(int) string { return treeKey }}

// Direct has every box fetch everything from the origin.
var Direct = Strategy{
	Name:       "direct",
	Neighbours: func(Member, []Member) []Member { return nil },
}

func swarmNeighbours(self Member, members []Member) []Member {
	ranked := rank("neighbour/"+self.Name, members)
	var out []Member
	here, there := dialInHall, dialElsewhere
	for _, m := range ranked {
		left := &there
		if m.Hall == self.Hall {
			left = &here
		}
		if m.Name == self.Name || *left == 0 {
			continue
		}
		*left--
		out = append(out, m)
	}
	return out
}

func rank(key string, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(key, b.Name), rendezvous.Score(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

const treeKey = "tree"

func treeParent(self Member, members []Member) []Member {
	const fanOut = 2
	ranked := rank(treeKey, members)
	i := slices.IndexFunc(ranked, func(m Member) bool { return m.Name == self.Name })
	if i <= 0 {
		return nil
	}
	return []Member{ranked[(i-1)/fanOut]}
}
