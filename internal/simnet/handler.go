package simnet

import (
	"context"
	"io"
	"net/http"

	"github.com/poststand/poststand/fault"
)

// Transport answers HTTP requests by calling a handler, so that outside systems
// can be met in virtual time. Bodies stream.
type Transport struct {
	// Find returns the handler for a host, or nil where nobody listens.
	Find func(host string) http.Handler
	// Wrap, if set, may cut an answer's body short.
	Wrap func(r *http.Request, body io.ReadCloser) io.ReadCloser
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := t.Find(r.URL.Host)
	if h == nil {
		return nil, fault.New(fault.Unreachable, r.URL.Host)
	}
	pr, pw := io.Pipe()
	w := &pipeWriter{header: http.Header{}, body: pw, ready: make(chan int, 1)}
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
	case status := <-w.ready:
		var body io.ReadCloser = &closer{Reader: pr, pipe: pr, cancel: cancel}
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

type closer struct {
	io.Reader
	pipe   *io.PipeReader
	cancel func()
}

// Close implements io.Closer.
func (c *closer) Close() error {
	c.cancel()
	return c.pipe.Close()
}

// pipeWriter is the http.ResponseWriter of a Transport.
type pipeWriter struct {
	header http.Header
	body   *io.PipeWriter
	ready  chan int // Gets the status once.
	wrote  bool
}

// Header implements http.ResponseWriter.
func (w *pipeWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *pipeWriter) WriteHeader(status int) {
	if !w.wrote {
		w.wrote = true
		w.header = w.header.Clone()
		w.ready <- status
	}
}

// Write implements http.ResponseWriter.
func (w *pipeWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// Flush implements http.Flusher.
func (w *pipeWriter) Flush() { w.WriteHeader(http.StatusOK) }

// finish ends the body; a handler that aborted leaves it cut.
func (w *pipeWriter) finish() {
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
