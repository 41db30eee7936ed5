package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/dispatch"
)

// The last part of an attempt that was abandoned as it ended gave up the attempt that went on, and its answer was
// written into that one's stream.
func TestPartOfAnAbandonedAttemptIsDropped(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	close(ended)
	givenUp := false
	goesOn := &attempt{cancel: func() { givenUp = true }, ended: ended, gotData: true}
	w := httptest.NewRecorder()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	rq := &request{}
	d := &delivery{ctx: ctx, rq: rq, out: &answer{w: w, rq: rq, started: true}, open: []*attempt{goesOn}}
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
