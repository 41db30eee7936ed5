package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
)

// The tellers of a box have different gateways, the first of the order that can be had; a
// lost one is passed over for a while and used again after that, or if there is no other.
func TestClaims(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	order := []peers.Member{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}}
	var c claims
	take := func(at time.Time) string {
		g, _, ok := c.take(order, at)
		if !ok {
			return ""
		}
		return g.Addr
	}
	is.Equal(take(now), "a")
	is.Equal(take(now), "b")
	c.release("a", true, now)
	is.Equal(take(now), "c")                  // a was lost just now.
	is.Equal(take(now), "a")                  // There is no other.
	is.Equal(take(now), "")                   // All are taken.
	c.release("c", false, now)                // Not lost: given back.
	c.release("a", false, now)                //
	is.Equal(take(now.Add(tellAvoid/2)), "c") // a is still passed over,
	c.release("c", false, now)
	is.Equal(take(now.Add(2*tellAvoid)), "a") // and no longer.
}
