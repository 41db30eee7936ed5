package relay

import (
	"net/http"
	"strconv"
	"time"
)

// answer gives one caller its answer: a plain one only once it is whole, a
// stream as its events come.
type answer struct {
	relay      *Relay
	w          http.ResponseWriter
	rq         *request
	started    bool // Something has gone to the caller.
	firstAt    time.Time
	lastAt     time.Time     // When the last event went to the caller; zero before.
	longestGap time.Duration // The longest between two events.

	// A failure of a replica, kept in case no other send does better.
	failureHeader http.Header
	failureStatus int
	failureBody   []byte
}

// callerWriteTimeout is how long a caller may take to read what is there.
const callerWriteTimeout = 10 * time.Second

func (o *answer) writeHead(status int, from http.Header, length int) {
	h := o.w.Header()
	in := from.Clone()
	removeHopByHop(in)
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
	o.relay.setConnectionClose(h)
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	o.w.WriteHeader(status)
	o.started = true
	o.firstAt = time.Now()
}

// writeWhole gives the caller a whole answer.
func (o *answer) writeWhole(resp *http.Response, data []byte) error {
	o.writeHead(resp.StatusCode, resp.Header, len(data))
	_, err := o.w.Write(data)
	return err
}

// keepFailure keeps a replica's own failure.
func (o *answer) keepFailure(resp *http.Response, data []byte) {
	o.failureHeader, o.failureStatus, o.failureBody = resp.Header, resp.StatusCode, data
}

// writeFailure gives the caller the replica's own failure, if there was one that
// promises nothing, and reports whether there was.
func (o *answer) writeFailure() bool {
	switch o.failureStatus {
	case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return false
	}
	if o.failureStatus < http.StatusInternalServerError {
		return false
	}
	o.writeHead(o.failureStatus, o.failureHeader, len(o.failureBody))
	_, _ = o.w.Write(o.failureBody)
	return true
}

// writeEvents passes on whole events at once. The answer keeps the head of the
// replica that began it.
func (o *answer) writeEvents(resp *http.Response, b []byte) error {
	if !o.started {
		o.writeHead(resp.StatusCode, resp.Header, -1)
	}
	now := time.Now()
	if !o.lastAt.IsZero() {
		o.longestGap = max(o.longestGap, now.Sub(o.lastAt))
	}
	o.lastAt = now
	rc := http.NewResponseController(o.w)
	_ = rc.SetWriteDeadline(now.Add(callerWriteTimeout))
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return rc.Flush()
}

// finish ends a stream that is whole.
func (o *answer) finish(resp *http.Response) error {
	if !o.started {
		o.writeHead(resp.StatusCode, resp.Header, -1)
	}
	return nil
}
