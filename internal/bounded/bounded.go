// Package bounded reads what other processes send, up to limits. A faulty process may send a header or a
// body without end, and many may at once.
//
// An HTTP client that uses HTTP reads headers of at most MaxHeader. ReadAll and DecodeJSON read bodies, and fail
// with fault.TooLarge beyond their limit; a body that is cut there never counts as malformed. Drain reads what
// follows an answer, so that its connection can be reused.
//
// An AnswerMemory bounds what many answers to callers hold together while AnswerReaders read them; beyond it the
// largest is broken off with fault.AnswerTooLarge.
package bounded

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/poststand/poststand/fault"
)

const (
	// MaxHeader limits the header of an HTTP answer, or of a request to a server for operators, in bytes.
	MaxHeader = 32 << 10
	// maxTail limits what is read after an answer, in bytes.
	maxTail = 4 << 10
)

// DefaultClient is http.DefaultClient with the limit on headers.
var DefaultClient = HTTP(http.DefaultTransport.(*http.Transport).Clone())

// HTTP sets the limit on headers of t and returns a client that uses it. The client returns redirects as
// they are: a call is for the process that it was sent to.
func HTTP(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = MaxHeader
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// A Reader reads from R and fails with fault.TooLarge after Left bytes.
type Reader struct {
	R    io.Reader
	Left int64  // Bytes.
	What string // Names what is read, in the error.

	limit int64
}

// NewReader returns a reader that fails after limit bytes of r.
func NewReader(r io.Reader, limit int64, what string) *Reader {
	return &Reader{R: r, Left: limit, What: what, limit: limit}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := r.R.Read(p[:min(int64(len(p)), r.Left+1)])
	if int64(n) <= r.Left {
		r.Left -= int64(n)
		return n, err
	}
	n, r.Left = int(r.Left), 0
	return n, fault.New(fault.TooLarge, r.What+": more than "+strconv.FormatInt(r.limit, 10)+" bytes")
}

// ReadAll reads all of r. It fails with fault.TooLarge if that is more than limit bytes, and with
// fault.ConnectionLost if r fails.
func ReadAll(r io.Reader, limit int64, what string) ([]byte, error) {
	data, err := io.ReadAll(NewReader(r, limit, what))
	switch {
	case err == nil:
		return data, nil
	case fault.Is(err, fault.TooLarge):
		return nil, err
	}
	return nil, fault.Wrap(fault.ConnectionLost, err, what)
}

// DecodeJSON decodes one JSON value. It fails with fault.TooLarge if that is longer than limit bytes, and
// with fault.Garbage for any other error.
func DecodeJSON(r io.Reader, limit int64, what string, out any) error {
	err := json.NewDecoder(NewReader(r, limit, what)).Decode(out)
	if err == nil || fault.Is(err, fault.TooLarge) {
		return err
	}
	return fault.Wrap(fault.Garbage, err, what)
}

// Drain reads the rest of a body if it is short. The connection of one that is longer is closed with the body.
func Drain(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxTail) }
