package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/eventstream"
)

const streamKind = config.RouteStream

// stream passes on complete events as they arrive, and returns what follows the last one. A
// partial event of a truncated stream is not passed on, so that the stream can continue on
// another replica.
func (a *attempt) stream(ctx context.Context, resp *http.Response, framed bool) (rest []byte, err error) {
	r := &bounded.AnswerReader{Memory: &a.relay.answerMemory, Abort: a.conn.abort}
	defer r.Release()
	s := &eventstream.Splitter{MaxEvent: maxEventBytes, Reserve: r.Reserve}
	end := eventstream.End{Framed: framed, Stream: true, Continues: a.mustGoOn(), MoreKnown: a.moreKnown}
	var received int64 // Bytes.
	withoutEvent := 0  // Bytes since the last event.
	for {
		n, err := s.Fill(resp.Body)
		received += int64(n)
		withoutEvent += n
		if n > 0 {
			a.lastDataAt = time.Now()
		}
		events := s.Take()
		if events.Count > 0 {
			withoutEvent = 0
		}
		if len(events.Data) > 0 {
			if a.beginsAgain(events.FirstID) {
				return nil, fault.New(fault.Garbage, "stream begins again instead of going on")
			}
			a.recordFirst()
			end.Events += events.Count
			if !a.sendEvents(ctx, part{resp: resp, stream: true, events: events}) {
				return nil, ctx.Err()
			}
		}
		switch {
		case err == nil && withoutEvent > maxEventBytes:
			err = fault.New(fault.AnswerTooLarge, "stream brings no event")
		case err == nil:
			continue
		case r.Err() != nil:
			a.lacksMemory, err = true, r.Err()
		}
		end.InsideEvent = s.InsideEvent()
		a.moreFollows = end.InsideEvent || received < resp.ContentLength
		if err != io.EOF {
			return nil, err
		}
		return s.Rest(), a.checkEnd(ctx, &end)
	}
}

// mustGoOn reports whether the stream is to go on after lastEventID, for this gateway or for a caller that
// has asked for it. Either may have all events and lack the end.
func (a *attempt) mustGoOn() bool { return a.lastEventID != "" && a.rq.route.Resumable }

// beginsAgain reports whether a stream whose first ID is given has ignored the ID after which it was to go
// on. Its events can't be told from those that the caller has, and may be another run's.
func (a *attempt) beginsAgain(firstID string) bool {
	return a.mustGoOn() && firstID != "" && !eventstream.Follows(firstID, a.lastEventID)
}
