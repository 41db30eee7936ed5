package route

import (
	"testing"
	"time"
)

// A choice while all replicas of a large service are full. Requests that wait for room are tried
// many times a second, so it must not cost much more than one while there is room.
func BenchmarkPickAmongManyFullReplicas(b *testing.B) {
	busy := AgentReport{Version: 1, Queued: 40, Running: 12}
	t := newHalls(4000, 8000, busy)
	now := epoch.Add(10 * time.Millisecond)
	for b.Loop() {
		c := crit()
		c.MaxWait = 100 * time.Millisecond
		c.Draw = t.Draw(now, c, 100)
		answer(t, now, c.Draw, func(string) (AgentReport, bool) { return busy, true })
		choice, err := t.Pick(now, c)
		if err != nil {
			b.Fatal(err)
		}
		t.Done(now, choice.Reservation, RequestResult{})
	}
}
