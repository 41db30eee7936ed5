package relay

import (
	"net/http"
	"strconv"
	"time"
)

// answer gives one caller its answer: a plain one only once it is whole, a
// stream as its events come.
type answer struct {
	relay   *Relay
	w       http.ResponseWriter
	rq      *request
	started bool // Something has gone to the caller.
	firstAt time.Time
	lastAt  time.Time     // When the last event went to the caller; zero before.
	pause   time.Duration // The longest between two events.

	// A failure of a replica, kept in case no other send does better.
	failedHeader http.Header
	failedStatus int
	failedBody   []byte
}

// slowCaller is how long a caller may take to read what is there.
const slowCaller = 10 * time.Second

func (o *answer) head(status int, from http.Header, length int) {
	h := o.w.Header()
	in := from.Clone()
	dropHop(in)
	in.Del("Content-Length")
	for k, v := range in {
		h[k] = v
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Nothing is added to what the replica said.
	}
	if h.Get("Date") == "" {
		h["Date"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	o.relay.sayClosing(h)
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(slowCaller))
	o.w.WriteHeader(status)
	o.started = true
	o.firstAt = time.Now()
}

// whole gives the caller a whole answer.
func (o *answer) whole(resp *http.Response, data []byte) error {
	o.head(resp.StatusCode, resp.Header, len(data))
	_, err := o.w.Write(data)
	return err
}

// failed keeps a replica's own failure.
func (o *answer) failed(resp *http.Response, data []byte) {
	o.failedHeader, o.failedStatus, o.failedBody = resp.Header, resp.StatusCode, data
}

// giveFailed gives the caller the replica's own failure, if there was one that
// promises nothing, and reports whether there was.
func (o *answer) giveFailed() bool {
	switch o.failedStatus {
	case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return false
	}
	if o.failedStatus < http.StatusInternalServerError {
		return false
	}
	o.head(o.failedStatus, o.failedHeader, len(o.failedBody))
	_, _ = o.w.Write(o.failedBody)
	return true
}

// events passes on whole events at once. The answer keeps the head of the
// replica that began it.
func (o *answer) events(resp *http.Response, b []byte) error {
	if !o.started {
		o.head(resp.StatusCode, resp.Header, -1)
	}
	now := time.Now()
	if !o.lastAt.IsZero() {
		o.pause = max(o.pause, now.Sub(o.lastAt))
	}
	o.lastAt = now
	rc := http.NewResponseController(o.w)
	_ = rc.SetWriteDeadline(now.Add(slowCaller))
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return rc.Flush()
}

// finish ends a stream that is whole.
func (o *answer) finish(resp *http.Response) error {
	if !o.started {
		o.head(resp.StatusCode, resp.Header, -1)
	}
	return nil
}
