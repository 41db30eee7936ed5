package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
)

// The senders of a box claim different gateways, the first free ones in order. A lost gateway
// is avoided for a while, unless no other is free, and used again after that.
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
	is.Equal(take(now), "c")                 // a was lost recently.
	is.Equal(take(now), "a")                 // No other is free.
	is.Equal(take(now), "")                  // All are claimed.
	c.release("c", false, now)               // Not lost, so not avoided.
	c.release("a", false, now)               //
	is.Equal(take(now.Add(avoidFor/2)), "c") // a is still avoided.
	c.release("c", false, now)
	is.Equal(take(now.Add(2*avoidFor)), "a") // a is no longer avoided.
}
