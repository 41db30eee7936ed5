package relay_test

import (
	"testing"
	"time"
)

// Halls that are cut off from each other for long must not each take the whole slack, and a gateway
// that starts, and knows few others yet, not more than its part of it.
func TestSlackIsDividedByGatewaysThatAreNotSeen(t *testing.T) {
	const gateways, rate = 9, 8
	for _, tc := range []struct {
		name   string
		before func(p *retryPlay)
	}{
		{"halls cut off", func(p *retryPlay) {
			const lasts = time.Minute
			for hall := range p.cl.hallCount {
				p.cl.cutHall(hall, gateways, lasts)
			}
			time.Sleep(lasts - 15*time.Second)
		}},
		{"restarted while halls are cut off", func(p *retryPlay) {
			const lasts = time.Minute
			for hall := range p.cl.hallCount {
				p.cl.cutHall(hall, gateways, lasts)
			}
			time.Sleep(lasts - 15*time.Second)
			for i := range p.all() {
				p.kill(100*time.Millisecond, i)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := runRetryPlay(t, gateways, rate, 1, func(p *retryPlay) {
				p.setShedding(false)
				tc.before(p)
				p.shedAll = true
				p.setShedding(true)
				time.Sleep(retryWindow + time.Second)
			})
			p.checkBound(t)
		})
	}
}
