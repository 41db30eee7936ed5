package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/eventstream"
)

const streamKind = config.RouteStream

// stream passes on complete events as they arrive, and returns what follows the last one. A
// partial event of a truncated stream is not passed on, so that the stream can continue on
// another replica.
func (a *attempt) stream(ctx context.Context, resp *http.Response, framed bool) (rest []byte, err error) {
	s := &eventstream.Splitter{MaxEvent: maxEventBytes}
	for {
		n, err := s.Fill(resp.Body)
		if n > 0 {
			a.lastDataAt = time.Now()
		}
		if events := s.Take(); len(events.Data) > 0 {
			a.recordFirst()
			if !a.sendEvents(ctx, part{resp: resp, stream: true, data: events.Data, lastEventID: events.LastID}) {
				return nil, ctx.Err()
			}
		}
		switch {
		case err == io.EOF:
			if err = a.endOfEvents(s.InsideEvent()); err == nil && !framed {
				err = a.endedWithReplica(ctx)
			}
			return s.Rest(), err
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
