package relay

import (
	"net/http"
	"strconv"
	"time"
)

// answer writes the response to one caller: a plain answer only once it is complete, a stream
// event by event.
type answer struct {
	relay      *Relay
	w          http.ResponseWriter
	rq         *request
	started    bool // Part of the answer has been sent to the caller.
	firstAt    time.Time
	lastAt     time.Time     // When the last event was sent to the caller; zero before.
	longestGap time.Duration // Longest gap between two events.
	sentBytes  int           // Of a stream, passed on so far.
	buffer     *callerBuffer // Set once a stream is longer than directBytes.

	// The failure response of a replica, kept in case no other attempt does better.
	failureHeader http.Header
	failureStatus int
	failureBody   [][]byte
}

// callerWriteTimeout is how long a caller may take to read what is written to it.
const callerWriteTimeout = 10 * time.Second

func (o *answer) writeHead(status int, header http.Header, length int) {
	h := o.w.Header()
	endToEnd := header.Clone()
	removeHopByHop(endToEnd)
	endToEnd.Del("Content-Length")
	for k, v := range endToEnd {
		h[k] = v
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from adding a header that the replica did not send.
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

// writeWhole writes a complete answer to the caller.
func (o *answer) writeWhole(resp *http.Response, body [][]byte) error {
	return o.write(resp.StatusCode, resp.Header, body)
}

func (o *answer) write(status int, header http.Header, body [][]byte) error {
	length := 0
	for _, part := range body {
		length += len(part)
	}
	o.writeHead(status, header, length)
	for _, part := range body {
		if _, err := o.w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// keepFailure stores the failure response of a replica.
func (o *answer) keepFailure(resp *http.Response, body [][]byte) {
	o.failureHeader, o.failureStatus, o.failureBody = resp.Header, resp.StatusCode, body
}

// writeFailure sends the stored failure response to the caller if its status is at least 500
// and does not suggest that the request can be retried (503). It reports whether it did.
func (o *answer) writeFailure() bool {
	switch o.failureStatus {
	case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return false
	}
	if o.failureStatus < http.StatusInternalServerError {
		return false
	}
	_ = o.write(o.failureStatus, o.failureHeader, o.failureBody)
	return true
}

// writeEvents passes on complete events without delay. The answer keeps the header of the
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
	o.sentBytes += len(b)
	if o.buffer == nil && o.sentBytes <= directBytes {
		return o.flush(b)
	}
	if o.buffer == nil {
		o.buffer = newCallerBuffer(&o.relay.heldForCallers, o.flush)
	}
	return o.buffer.add(b)
}

// flush writes events to the caller and waits until the kernel has taken them.
func (o *answer) flush(b []byte) error {
	rc := http.NewResponseController(o.w)
	_ = rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return rc.Flush()
}

// finish ends a complete stream. It writes the header if there were no events.
func (o *answer) finish(resp *http.Response) error {
	if !o.started {
		o.writeHead(resp.StatusCode, resp.Header, -1)
	}
	return o.closeBuffer()
}

// closeBuffer waits until the caller has what is held for it, or does not read it.
func (o *answer) closeBuffer() error {
	if o.buffer == nil {
		return nil
	}
	return o.buffer.close()
}
