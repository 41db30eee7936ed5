package weights

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/poststand/poststand/rendezvous"
)

// Member is a box to which an artifact is assigned.
type Member struct {
	Name string
	Hall string
	Addr string
}

// Strategy defines from which boxes a box may fetch chunks.
type Strategy struct {
	Name string
	// Neighbours returns the boxes to which self opens connections. A connection is used in
	// both directions.
	Neighbours func(self Member, members []Member) []Member
	// OrderKey is the rendezvous key of a chunk. The box that ranks first for the key fetches
	// the chunk from the origin. If nil, every box may use the origin.
	OrderKey func(chunk int) string
	// Balanced limits the number of chunks for which one box ranks first to its equal share.
	Balanced bool
}

// Number of neighbours that a box dials in the swarm. On average it accepts as many
// connections again.
const (
	dialInHall    = 6
	dialElsewhere = 4
)

// Swarm fetches chunks from a few neighbours, rarest first. One box fetches each chunk from
// the origin.
var Swarm = Strategy{Name: "swarm", Neighbours: swarmNeighbours, OrderKey: func(chunk int) string { return "chunk/" + strconv.Itoa(chunk) }, Balanced: true}

// Tree arranges all boxes in one binary tree. Its root uses the origin; the boxes ranked after
// it do so only if it misses its turns.
var Tree = Strategy{Name: "tree", Neighbours: treeParent, OrderKey: func(int) string { return treeKey }}

// Direct fetches every chunk from the origin on every box.
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
