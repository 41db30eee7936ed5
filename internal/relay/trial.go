package relay

import (
	"time"

	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/rendezvous"
)

// trialTurn is for how long it is the turn of one gateway to send a request on trial.
const trialTurn = 5 * time.Second

// isTrialTurn reports whether it is this gateway's turn to send a request on trial, given the time
// since trials became possible. Gateways that reach each other take turns in an order by hashing.
// When each has had its turn, and none has sent such a request, it comes too seldom for that, and
// all may send it.
func (g *Relay) isTrialTurn(k quarantine.Key, since time.Duration) bool {
	var addrs []string
	for _, m := range g.gossip.Live() {
		addrs = append(addrs, m.Addr)
	}
	turn := int(since / trialTurn)
	return turn >= len(addrs) || rendezvous.Rank(k.String(), addrs)[turn] == g.Settings.Listen
}
