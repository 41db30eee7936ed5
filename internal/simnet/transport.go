package simnet

import (
	"context"
	"io"
	"net/http"

	"github.com/poststand/poststand/fault"
)

// Transport is an http.RoundTripper that calls a handler directly, so that tests in virtual time
// can use HTTP. Bodies are streamed.
type Transport struct {
	// Find returns the handler of a host, or nil if nothing listens there.
	Find func(host string) http.Handler
	// Wrap, if set, replaces the body of an answer, such as to truncate it.
	Wrap func(r *http.Request, body io.ReadCloser) io.ReadCloser
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := t.Find(r.URL.Host)
	if h == nil {
		return nil, fault.New(fault.Unreachable, r.URL.Host)
	}
	pr, pw := io.Pipe()
	w := &responseWriter{header: http.Header{}, body: pw, status: make(chan int, 1)}
	ctx, cancel := context.WithCancel(r.Context())
	in := r.Clone(ctx)
	in.RequestURI, in.RemoteAddr = r.URL.RequestURI(), "127.0.0.1:1"
	if in.Body == nil {
		in.Body = http.NoBody
	}
	go func() {
		defer cancel()
		defer w.finish()
		h.ServeHTTP(w, in)
	}()
	context.AfterFunc(r.Context(), func() { _ = pr.CloseWithError(context.Cause(r.Context())) })
	select {
	case status := <-w.status:
		var body io.ReadCloser = &responseBody{Reader: pr, pipe: pr, cancel: cancel}
		if t.Wrap != nil {
			body = t.Wrap(r, body)
		}
		return &http.Response{
			Status: http.StatusText(status), StatusCode: status, Header: w.header, Body: body,
			ContentLength: -1, Request: r, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// responseBody is the body of a response. Closing it cancels the context of the handler.
type responseBody struct {
	io.Reader
	pipe   *io.PipeReader
	cancel func()
}

// Close implements io.Closer.
func (c *responseBody) Close() error {
	c.cancel()
	return c.pipe.Close()
}

// responseWriter is the http.ResponseWriter that a Transport passes to a handler.
type responseWriter struct {
	header        http.Header
	body          *io.PipeWriter
	status        chan int // Receives the status code once.
	headerWritten bool
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.headerWritten {
		w.headerWritten = true
		w.header = w.header.Clone()
		w.status <- status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() { w.WriteHeader(http.StatusOK) }

// finish ends the body after the handler returned. If the handler panicked with
// http.ErrAbortHandler, the reader of the body gets io.ErrUnexpectedEOF.
func (w *responseWriter) finish() {
	switch r := recover(); r {
	case nil:
		w.WriteHeader(http.StatusOK)
		_ = w.body.Close()
	case http.ErrAbortHandler:
		w.WriteHeader(http.StatusOK)
		_ = w.body.CloseWithError(io.ErrUnexpectedEOF)
	default:
		panic(r)
	}
}
