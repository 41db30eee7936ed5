package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowWriter is the response of a caller that reads slowly.
type slowWriter struct {
	*httptest.ResponseRecorder
	perByte time.Duration
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.perByte * time.Duration(len(b)))
	return w.ResponseRecorder.Write(b)
}

// A replica cuts off an answer that is not read for some seconds, so events are taken from it
// though the caller reads 1 KB a second.
func TestSlowCallerDoesNotHoldUpItsReplica(t *testing.T) {
	const events, eventBytes = 100, 512
	took, got := time.Duration(0), 0
	synctest.Test(t, func(t *testing.T) {
		w := &slowWriter{httptest.NewRecorder(), time.Second / 1024}
		o := &answer{relay: &Relay{}, w: w}
		resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		for range events {
			time.Sleep(10 * time.Millisecond)
			began := time.Now()
			if err := o.writeEvents(resp, make([]byte, eventBytes)); err != nil {
				t.Error(err)
			}
			if o.sentBytes > directBytes {
				took = max(took, time.Since(began))
			}
		}
		if err := o.finish(resp); err != nil {
			t.Error(err)
		}
		got = w.Body.Len()
	})
	is := is.New(t)
	is.Equal(took, time.Duration(0))
	is.Equal(got, events*eventBytes)
}
