package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// Members saw drafts break off for minutes. One request ended each replica that ran it: a
// gateway sent it to a second replica, which ended too, and answered 502; the caller tried
// again, with a new id and at another gateway, which knew nothing. 40 replicas stopped
// answering in 14 s, and the drafts of others broke off with them. The lines showed eight
// tries of one stream sent in 4.3 s, by four gateways, and each of the twelve sends lost
// without a first event. Cause: what a try learns of the end of a replica was gone with it.
func TestRequestThatEndsReplicasIsNotSentOnAndOn(t *testing.T) {
	run(t, 4, engines(8, 3), func(is *is.I, w *world) {
		c := w.crashOn()
		last := w.tries(fatal, crashSpan, 0, 1, 2, 3)
		c.judge()
		is.Equal(last.status, http.StatusServiceUnavailable) // It has not run and is not going to.
		for i := range w.gateways {
			is.True(w.isQuarantined(i, fatal))
			is.Equal(w.ask(i, "POST", "/s/sound", nil).status, http.StatusOK)
		}
	})
}

// The same where a try may be sent to one replica only: each of three tries ends one.
func TestRequestThatEndsOneReplicaATry(t *testing.T) {
	run(t, 4, engines(8, 3), func(is *is.I, w *world) {
		w.store.Put("op/config", platformtest.Config(2, platformtest.Route("s", "/s/", "stream", "llm", platformtest.Body{"attempts": 1})))
		time.Sleep(time.Second)
		c := w.crashOn()
		w.tries(fatal, crashSpan, 0, 1, 2, 3)
		c.judge()
		is.True(w.isQuarantined(0, fatal))
	})
}

// All gateways are killed one after the other and start anew: those that start know what
// the others knew.
func TestStartedGatewaysKnowOfQuarantine(t *testing.T) {
	run(t, 3, engines(8, 3), func(is *is.I, w *world) {
		c := w.crashOn()
		w.tries(fatal, 3*time.Second, 0, 1, 2)
		for i := range 3 {
			w.restart(i)
			time.Sleep(1500 * time.Millisecond)
			w.tries(fatal, 2*time.Second, i)
			is.True(w.isQuarantined(i, fatal))
		}
		c.judge()
	})
}

// A gateway that was cut off from all, or stood still, while others learnt of the request
// knows of it within the time that is granted after the return.
func TestGatewayThatWasAwayLearnsOfQuarantine(t *testing.T) {
	run(t, 4, engines(8, 3), func(is *is.I, w *world) {
		c := w.crashOn()
		away := func(stalled bool) {
			for i := range 3 {
				w.net.Stall(gatewayAddr(3), gatewayAddr(i), stalled)
			}
		}
		away(true)
		w.tries(fatal, 6*time.Second, 0, 1, 2)
		away(false)
		time.Sleep(knownIn)
		is.True(w.isQuarantined(3, fatal))
		c.judge()
	})
}

// A gateway that is cut off from the others but not from replicas finds out by itself.
func TestGatewayThatIsAloneFindsOut(t *testing.T) {
	run(t, 4, engines(12, 3), func(is *is.I, w *world) {
		c := w.crashOn()
		for i := range 3 {
			w.net.Stall(gatewayAddr(3), gatewayAddr(i), true)
		}
		w.tries(fatal, 6*time.Second, 3)
		is.True(w.isQuarantined(3, fatal))
		is.True(len(c.ends) <= 5) // Two ends of a try within 0.15 s say no more than one.
	})
}

// soundlyWhile plays soundly before 16 replicas while something ends them.
func soundlyWhile(t *testing.T, ends func(c *crashes)) {
	t.Helper()
	run(t, 4, engines(16, 8), func(_ *is.I, w *world) {
		c := w.crashOn()
		go ends(c)
		w.soundly(12 * time.Second)
	})
}

// Replicas end for other causes too: many at one moment, again and again, or under a request
// beside which others run. Those do no harm and are not refused for it.
func TestSoundRequestsAreNotQuarantined(t *testing.T) {
	cases := []struct {
		name string
		ends func(c *crashes)
	}{
		{"half at one moment", func(c *crashes) {
			for range 3 {
				for _, r := range c.w.living()[:8] {
					c.end(r)
				}
				time.Sleep(4 * time.Second)
			}
		}},
		{"all at one moment", func(c *crashes) {
			for range 3 {
				for _, r := range c.w.living() {
					c.end(r)
				}
				time.Sleep(4 * time.Second)
			}
		}},
		{"beside a fatal request", func(c *crashes) { c.w.tries(fatal, 8*time.Second, 0, 1, 2, 3) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { soundlyWhile(t, tc.ends) })
	}
}

// The same where replicas end one after the other, four a second, without a word. A request
// was at three of them, and its gateway knew of six at the most that ended about then, where
// there were ten: what others see of ends under requests that were answered for long is not told.
func TestSoundRequestsInARollAreNotQuarantined(t *testing.T) {
	soundlyWhile(t, func(c *crashes) {
		for _, r := range c.w.living() {
			c.end(r)
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// A lost connection to a replica that lives says nothing of the request.
func TestResetsQuarantineNothing(t *testing.T) {
	run(t, 2, engines(4, 3), func(is *is.I, w *world) {
		for _, r := range w.replicas {
			r.Handle = func(_ int, x *platformtest.Exchange) bool {
				x.RecordRun()
				_ = x.Conn.Close()
				return true
			}
		}
		w.tries("/s/lost", 5*time.Second, 0, 1)
		is.True(!w.isQuarantined(0, "/s/lost"))
	})
}

// A replica ends under requests of one gateway, that were answered for long and so are not
// suspect. All gateways know of the end: one that has sent nothing there is told.
func TestEachEndIsTold(t *testing.T) {
	rs, told := engines(2, 60), 0
	run(t, 3, rs, func(_ *is.I, w *world) {
		c := w.crashOn()
		go w.ask(0, "POST", "/s/long", nil)
		time.Sleep(2 * time.Second)
		for _, r := range rs {
			if len(r.Runs()) > 0 {
				c.end(r)
			}
		}
		time.Sleep(500 * time.Millisecond)
		for i := range w.gateways {
			told += w.gateways[i].KnownEnds()
		}
	})
	is.New(t).Equal(told, 3)
}
