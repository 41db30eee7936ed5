package peers

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/mirror"
)

// A gateway that has records and knows no other must get all of them: one list of a round is too
// short where there are hundreds.
func TestGatewayThatKnowsNobodyAsksForAll(t *testing.T) {
	is := is.New(t)
	m := &mirror.Mirror{}
	g := &Gossip{Self: Member{Name: "g0", Addr: "10.0.0.1:1"}, Mirror: m, Follower: &Follower{Mirror: m}}
	g.init()
	a := g.announcement("10.0.0.2:1", maxKnownSent, true)
	a.At = 1
	is.Equal(knownToAnswer(a), maxKnownToStarting)
}
