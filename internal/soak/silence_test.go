package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// slowReplica is a replica that answers as usual, but is silent at one point of each answer.
type slowReplica struct {
	silence       time.Duration
	beforeHead    bool // Silent before the header.
	beforeEvent   int  // Silent before this event; 0 for none.
	events        int  // Events of a stream; 0 for a plain answer.
	fromMidAnswer bool
}

// install makes r answer in this way.
func (s slowReplica) install(r *platformtest.Replica) {
	r.Handle = func(_ int, x *platformtest.Exchange) bool {
		x.RecordRun()
		if s.beforeHead {
			time.Sleep(s.silence)
		}
		if s.events == 0 {
			const body = "a whole answer"
			x.Printf("%sContent-Length: %d\r\n\r\n%s", x.Head(http.StatusOK, ""), len(body), body[:3])
			if s.fromMidAnswer {
				time.Sleep(s.silence)
			}
			x.Printf("%s", body[3:])
			return true
		}
		x.Printf("%s", x.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := 1; i <= s.events; i++ {
			if i == s.beforeEvent {
				time.Sleep(s.silence)
			}
			x.Event(i)
		}
		x.Printf("0\r\n\r\n")
		return true
	}
}

// A replica that is silent for longer than usual and then goes on is sound.
func TestSilentReplicaIsWaitedFor(t *testing.T) {
	const short, long = 800 * time.Millisecond, 1500 * time.Millisecond
	cases := []struct {
		name string
		slow slowReplica
	}{
		{"short silence between events", slowReplica{silence: short, events: 4, beforeEvent: 3}},
		{"long silence before the header", slowReplica{silence: long, events: 4, beforeHead: true}},
		{"long silence before the first event", slowReplica{silence: long, events: 4, beforeEvent: 1}},
		{"long silence between events", slowReplica{silence: long, events: 4, beforeEvent: 3}},
		{"long silence before the last event", slowReplica{silence: long, events: 4, beforeEvent: 4}},
		{"long silence before a plain answer", slowReplica{silence: long, beforeHead: true}},
		{"long silence in a plain answer", slowReplica{silence: long, fromMidAnswer: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 1, testConfig(1))
			r := &platformtest.Replica{ID: "e0", Service: "llm", Hall: "h1", Version: 1}
			target, want := "/s/", events(1, 4)
			if tc.slow.events == 0 {
				r.Service, r.Version, target, want = "api", 0, "/safe/", "a whole answer"
			}
			tc.slow.install(r)
			w.addReplica(r)
			w.awaitReady()
			c := &caller{addr: w.gateways[0].callers()}
			got := c.send("a1", target, 6*time.Second)
			t.Log(got, w.gateways[0].lines(`"answer_broken"`))
			is.Equal(got.status, http.StatusOK)
			is.NoErr(got.err)
			is.Equal(got.body, want)
		})
	}
}
