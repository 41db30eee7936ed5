package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
)

// The answer of an attempt that was abandoned as it ended was written into the stream of the one that went on.
func TestPartOfAnAbandonedAttemptIsDropped(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	close(ended)
	givenUp := false
	goesOn := &attempt{cancel: func() { givenUp = true }, ended: ended, gotData: true}
	w := httptest.NewRecorder()
	d := &delivery{ctx: t.Context(), rq: &request{}, out: &answer{w: w, started: true}, open: []*attempt{goesOn}}
	abandoned := receivedPart{from: &attempt{}, part: part{
		last: true, result: dispatch.Result{Outcome: dispatch.Done},
		resp: &http.Response{StatusCode: http.StatusNotFound, Header: http.Header{}}, body: [][]byte{[]byte("not found")},
	}}
	func() {
		defer func() { is.True(recover() == nil) }()
		_, done := d.take(abandoned)
		is.True(!done)
	}()
	is.True(!givenUp)
	is.Equal(w.Body.Len(), 0)
	is.Equal(d.open, []*attempt{goesOn})
}

// A refusal that had come was given up as silence when the deadline of its version had passed too.
func TestPartThatHasComeGoesBeforeTheDeadlineOfItsVersion(t *testing.T) {
	is := is.New(t)
	const rounds = 200
	for range rounds {
		ended := make(chan struct{})
		close(ended)
		a := &attempt{cancel: func() {}, ended: ended}
		a.to.Engine, a.to.Deadline = true, time.Now().Add(-time.Minute)
		rq := &request{route: &config.Route{Kind: "safe"}}
		d := &delivery{
			relay: &Relay{}, ctx: t.Context(), rq: rq, out: &answer{rq: rq}, open: []*attempt{a},
			parts: make(chan receivedPart, 1), timer: time.NewTimer(time.Minute), silentAt: time.Now().Add(time.Minute),
		}
		d.parts <- receivedPart{part{last: true, result: notRun(fault.QueueFull)}, a}
		is.Equal(d.follow(), notRun(fault.QueueFull))
	}
}
