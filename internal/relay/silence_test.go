package relay_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// script is how a replica answers a request with a stream of scriptEvents events or, if plain is
// set, with another answer.
type script struct {
	plain    bool
	refusal  int                   // Status with which it refuses the request; 0 if it answers.
	silence  map[int]time.Duration // Before an event, or before the header (0).
	breaksAt int                   // Event instead of which it closes the connection; 0 for none.
}

const (
	scriptEvents = 4
	plainBody    = "body"
	forever      = time.Hour // Longer than any test.
)

// play answers a request. It returns when the answer is complete or the connection has ended.
func (s script) play(x *platformtest.Exchange) {
	defer func() { _ = x.Conn.Close() }()
	if s.refusal != 0 {
		x.Printf("HTTP/1.1 %d Refused\r\nX-Replica-Id: %s\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", s.refusal, x.Replica.ID)
		return
	}
	x.RecordRun()
	abandoned := make(chan struct{})
	go func() {
		_, _ = io.ReadAll(x.Conn)
		close(abandoned)
	}()
	for _, step := range s.steps(x) {
		select {
		case <-time.After(step.silence):
		case <-abandoned:
			return
		}
		if step.text == "" {
			return
		}
		x.Printf("%s", step.text)
	}
}

// step is a part of an answer and the silence before it. The connection closes at an empty one.
type step struct {
	silence time.Duration
	text    string
}

func (s script) steps(x *platformtest.Exchange) []step {
	if s.plain {
		return []step{{s.silence[0], x.Head(http.StatusOK, "Connection: close\r\nContent-Length: 4\r\n\r\n") + plainBody}}
	}
	out := []step{{s.silence[0], x.Head(http.StatusOK, "Connection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")}}
	last, _ := strconv.Atoi(x.Request.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= scriptEvents; i++ {
		text := platformtest.EventChunk(i)
		if i == s.breaksAt {
			text = ""
		}
		out = append(out, step{s.silence[i], text})
	}
	return append(out, step{0, "0\r\n\r\n"})
}

func silentBefore(step int, d time.Duration) script {
	return script{silence: map[int]time.Duration{step: d}}
}

// A replica that is silent is given up only for one that goes on with the answer.
func TestSilentReplicaIsGivenUpOnlyForOneThatAnswers(t *testing.T) {
	const pause = 2 * time.Second // Longer than usual, and within the caller's patience.
	cases := []struct {
		name          string
		target        string
		first, second script // How the replicas answer, in the order in which they are sent the request.
		noSecond      bool
		attempts      int // Replicas that the route allows; 2 by default.
		runs          int // Replicas that run the request.
		within        time.Duration
	}{
		{"no other, before the header", "/s/", silentBefore(0, pause), script{}, true, 0, 1, forever},
		{"no other, before the first event", "/s/", silentBefore(1, pause), script{}, true, 0, 1, forever},
		{"no other, between events", "/s/", silentBefore(3, pause), script{}, true, 0, 1, forever},
		{"no other, before the last event", "/s/", silentBefore(4, pause), script{}, true, 0, 1, forever},
		{"no other, plain answer", "/safe/", script{plain: true, silence: map[int]time.Duration{0: pause}}, script{}, true, 0, 1, forever},
		{"other takes it before the header", "/s/", silentBefore(0, forever), script{}, false, 0, 2, 1500 * time.Millisecond},
		{"other takes it between events", "/s/", silentBefore(3, forever), script{}, false, 0, 2, 1500 * time.Millisecond},
		{"other takes a plain answer", "/safe/", script{plain: true, silence: map[int]time.Duration{0: forever}}, script{plain: true}, false, 0, 2, 1500 * time.Millisecond},
		{"other is full", "/s/", silentBefore(3, pause), script{refusal: http.StatusServiceUnavailable}, false, 0, 1, forever},
		{"other has another version", "/s/", silentBefore(3, pause), script{refusal: http.StatusMisdirectedRequest}, false, 0, 1, forever},
		{"other is silent as well, before the header", "/s/", silentBefore(3, pause), silentBefore(0, forever), false, 0, 2, forever},
		{"other is silent as well, after the header", "/s/", silentBefore(3, pause), silentBefore(3, forever), false, 0, 2, forever},
		{"other breaks off before any event", "/s/", silentBefore(3, pause), script{breaksAt: 3}, false, 0, 2, forever},
		{"other takes it late and goes silent, first speaks again", "/s/", silentBefore(3, pause), silentBefore(3, 1500*time.Millisecond), false, 0, 2, forever},
		{"other takes it and is silent later, first speaks again", "/s/", silentBefore(3, pause), silentBefore(4, 1500*time.Millisecond), false, 0, 2, forever},
		{"no further attempt is allowed", "/one/", silentBefore(3, pause), script{}, false, 1, 1, forever},
		{"may not be repeated", "/once/", silentBefore(3, pause), script{}, false, 0, 1, forever},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			plain := tc.first.plain
			rs := engines(2, scriptEvents)
			if plain {
				rs = plainReplicas(2)
			}
			if tc.noSecond {
				rs = rs[:1]
			}
			var received atomic.Int64
			for _, r := range rs {
				r.Handle = func(_ int, x *platformtest.Exchange) bool {
					s := tc.second
					if received.Add(1) == 1 {
						s = tc.first
					}
					s.play(x)
					return true
				}
			}
			runCluster(t, 1, rs, func(is *is.I, cl *testCluster) {
				cl.store.Put("op/config", platformtest.Config(
					2,
					platformtest.Route("s", "/s/", "stream", "llm", nil),
					platformtest.Route("one", "/one/", "stream", "llm", platformtest.Body{"attempts": 1}),
					platformtest.Route("once", "/once/", "stream", "llm", platformtest.Body{"resumable": false}),
					platformtest.Route("safe", "/safe/", "safe", "api", nil),
				))
				time.Sleep(time.Second)
				began := time.Now()
				got := cl.send(0, "POST", tc.target, nil)
				took := time.Since(began)
				is.Equal(got.status, http.StatusOK)
				is.True(!got.truncated)
				want := events(1, scriptEvents)
				if plain {
					want = plainBody
				}
				is.Equal(got.body, want)
				is.True(took <= tc.within)
				is.Equal(countRuns(rs), tc.runs)
				is.True(time.Since(began) < 6*time.Second)
				time.Sleep(500 * time.Millisecond)
				for _, r := range rs {
					is.Equal(r.Conns(), 0) // No replica goes on with it.
				}
			})
		})
	}
}
