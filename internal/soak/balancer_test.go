package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer directs new connections to gateways as a load balancer does: it leaves out those that
// failed two checks in a row, unless fewer than half are left.
type balancer struct {
	mu     sync.Mutex
	missed map[*gateway]int
}

func (b *balancer) run(gateways []*gateway, done <-chan struct{}) {
	const interval = time.Second
	for {
		for _, g := range gateways {
			ready := g.isReady()
			b.mu.Lock()
			b.missed[g]++
			if ready {
				b.missed[g] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-time.After(interval):
		case <-done:
			return
		}
	}
}

func (b *balancer) pick(gateways []*gateway) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gateway
	for _, g := range gateways {
		if b.missed[g] < 2 {
			in = append(in, g)
		}
	}
	if 2*len(in) < len(gateways) {
		in = gateways
	}
	return in[rand.IntN(len(in))]
}
