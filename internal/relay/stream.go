package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
)

const streamKind = config.RouteStream

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes on complete events as they arrive, and returns what follows the last one. A
// partial event of a truncated stream is not passed on, so that the stream can continue on
// another replica.
func (a *attempt) stream(ctx context.Context, resp *http.Response, framed bool) (rest []byte, err error) {
	buf := make([]byte, 0, 4<<10)
	for {
		if len(buf) == cap(buf) {
			if len(buf) > maxEventBytes {
				return nil, fault.New(fault.TooLarge, "stream event exceeds the size limit")
			}
			buf = append(buf, make([]byte, len(buf))...)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			a.lastDataAt = time.Now()
		}
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			end += len(eventEnd)
			a.recordFirst()
			if !a.sendEvents(ctx, part{resp: resp, stream: true, data: buf[:end], lastEventID: parseLastID(buf[:end])}) {
				return nil, ctx.Err()
			}
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case err == io.EOF:
			if err = a.endOfEvents(len(bytes.TrimSpace(buf)) > 0); err == nil && !framed {
				err = a.endedWithReplica(ctx)
			}
			return buf, err
		case err != nil:
			return nil, err
		}
	}
}

// endOfEvents returns an error if a stream that has ended is not complete.
func (a *attempt) endOfEvents(insideEvent bool) error {
	switch {
	case insideEvent:
		return fault.New(fault.Truncated, "stream ended inside an event")
	case a.firstAt.IsZero() && !a.continues:
		return fault.New(fault.Truncated, "stream ended without an event")
	}
	return nil
}

// parseLastID returns the ID of the last event in b that has one.
func parseLastID(b []byte) string {
	for len(b) > 0 {
		lineEnd := bytes.LastIndexByte(bytes.TrimRight(b, "\n"), '\n')
		line := bytes.TrimRight(b[lineEnd+1:], "\r\n")
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
		if lineEnd < 0 {
			return ""
		}
		b = b[:lineEnd+1]
	}
	return ""
}
