package relay_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// callers asks each gateway in turn, once every so often, for a time, and returns how many
// answers had each status.
func (w *world) callers(target string, every, lasting time.Duration) map[int]int {
	out := map[int]int{}
	replies := make(chan reply)
	n := 0
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(every) {
		gateway, id := n%len(w.gateways), fmt.Sprintf("c%d", n)
		go func() { replies <- w.ask(gateway, "POST", target, map[string]string{"X-Attempt-Id": id}) }()
		n++
	}
	for range n {
		out[(<-replies).status]++
	}
	return out
}

// unheard lists what came to replicas against what they had said.
func unheard(rs []*platformtest.Replica) (out []string) {
	for _, r := range rs {
		out = append(out, r.Unheard()...)
	}
	return out
}

// Requests went on reaching a replica that was leaving, up to 3.1 s after each gateway had
// been told. The store was silent: the replica's word to it was taken 12 s late, and the list
// named the replica as ready meanwhile. All its answers said that it leaves. Gateways read
// only the list, so each chose it as before; the line of a request showed that it was chosen
// by a list entry of 17 s before.
func TestReplicaThatSaysItLeavesGetsNothingMore(t *testing.T) {
	rs, got := engines(4, 3), map[int]int{}
	run(t, 0, rs, func(_ *is.I, w *world) {
		var away atomic.Bool
		for i := range 2 {
			w.addGateway(i, w.storeUnless(&away))
		}
		time.Sleep(time.Second)
		away.Store(true)
		rs[0].Leave()
		got = w.callers("/s/", 40*time.Millisecond, 6*time.Second)
	})
	check := is.New(t)
	check.Equal(unheard(rs), nil)
	check.Equal(got, map[int]int{200: 150}) // The others have room for all.
}

// A replica that turned all away and asked each gateway for 3 s of rest got ten requests of
// one gateway in that time. Four of 20 did so for 9 s, and got 497 requests, three times as
// many as those that worked: a refusal left one alone for 0.1 s, whatever it had asked for,
// and one that runs nothing looks idle, so that it is predicted to answer first. Callers were
// served late, or refused once the bound on repeats was spent.
func TestReplicaThatAsksForRestGetsIt(t *testing.T) {
	rs, got := engines(4, 3), map[int]int{}
	run(t, 2, rs, func(_ *is.I, w *world) {
		rs[0].Shed("3")
		got = w.callers("/s/", 40*time.Millisecond, 6*time.Second)
	})
	check := is.New(t)
	check.Equal(unheard(rs), nil)
	check.Equal(got, map[int]int{200: 150})
}
