package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/route"
)

const streamKind = config.RouteStream

// errCaller types the failure to give a caller its answer.
const errCaller = fault.Cancelled

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes on whole events as they come. What is left of an event that was
// cut is not shown to the caller, so that the stream can go on elsewhere.
func (a *attempt) stream(ctx context.Context, resp *http.Response, framed bool) error {
	buf := make([]byte, 0, 4<<10)
	gap := max(minGapWait, gapWaitFactor*a.rq.route.Gap)
	for {
		if len(buf) == cap(buf) {
			if len(buf) > maxEventBytes {
				return fault.New(fault.TooLarge, "event")
			}
			buf = append(buf, make([]byte, len(buf))...)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if whole := bytes.LastIndex(buf, eventEnd); whole >= 0 {
			whole += len(eventEnd)
			a.recordFirst()
			if id := parseLastID(buf[:whole]); id != "" {
				a.rq.lastEventID = id
			}
			if a.rq.version == 0 {
				a.rq.version = a.end.Version
			}
			if werr := a.out.writeEvents(resp, buf[:whole]); werr != nil {
				return fault.Wrap(errCaller, werr, "caller")
			}
			buf = append(buf[:0], buf[whole:]...)
			_ = a.conn.SetReadDeadline(a.readDeadline(time.Now(), gap))
			if a.shouldMove() {
				if a.move(ctx) {
					return fault.New(fault.Moved, "")
				}
				_ = a.conn.SetReadDeadline(a.readDeadline(time.Now(), gap))
			}
		}
		switch {
		case err == io.EOF && len(buf) > 0 && !framed:
			return fault.New(fault.Truncated, "in an event")
		case err == io.EOF && len(buf) > 0:
			if werr := a.out.writeEvents(resp, buf); werr != nil {
				return fault.Wrap(errCaller, werr, "caller")
			}
			return a.out.finish(resp)
		case err == io.EOF:
			return a.out.finish(resp)
		case err != nil:
			return err
		}
	}
}

// A replica that waits for its last streams to take another version could run
// many others meanwhile. So a stream that it still runs after a while goes on at
// another replica that holds the same version and is free enough.
const (
	moveAfter    = 350 * time.Millisecond
	moveGapShare = 0.5 // Of the gap that the route allows, until the other one's first event.
)

// shouldMove reports whether the stream should go on elsewhere.
func (a *attempt) shouldMove() bool {
	rq := a.rq
	return rq.route.Resumable && rq.lastEventID != "" && rq.attempts < max(1, rq.route.Attempts) &&
		a.relay.table.ChangingFor(time.Now(), a.to.Reservation) >= moveAfter
}

// move begins the stream at another replica, of which its agent has told lately,
// and reports whether that one took it. If not, the stream goes on where it is:
// nothing of it was given up.
func (a *attempt) move(ctx context.Context) bool {
	g, rq, now := a.relay, a.rq, time.Now()
	ask := rq.routeAsk(g, map[string]bool{a.to.ID: true})
	ask.ReportedOnly = true
	to, err := g.table.Pick(now, ask)
	if err != nil {
		return false
	}
	if to.Predicted > time.Duration(moveGapShare*float64(rq.route.Gap)) || !g.hasPermit(ctx, rq, &to) || !g.retryWindow(rq.service).Spend(now, g.retrySlack()) {
		g.table.Done(now, to.Reservation, route.RequestResult{})
		return false
	}
	rq.attempts++
	next := &attempt{relay: g, rq: rq, out: a.out, to: to, headTimeout: rq.route.Gap, round: rq.nextStrikeRound(), epoch: rq.verdict.Epoch}
	resp, res := next.open(ctx)
	if resp != nil && next.isContinuation(resp) {
		next.resp, rq.next = resp, next
		return true
	}
	keep := false
	if resp != nil {
		res, keep = next.forward(ctx, resp)
	}
	next.release(keep)
	next.finish(ctx, res)
	rq.recordAttempt(next, res)
	return false
}

// isContinuation reports whether the head of an answer is that of the rest of the
// stream.
func (a *attempt) isContinuation(resp *http.Response) bool {
	d := a.relay.headers
	return resp.StatusCode == http.StatusOK && resp.Header.Get(d.NotRun) == "" &&
		resp.Header.Get(d.Version) == strconv.FormatUint(a.rq.version, 10)
}

// parseLastID returns the id of the last event in b that has one.
func parseLastID(b []byte) string {
	for len(b) > 0 {
		at := bytes.LastIndexByte(bytes.TrimRight(b, "\n"), '\n')
		line := bytes.TrimRight(b[at+1:], "\r\n")
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
		if at < 0 {
			return ""
		}
		b = b[:at+1]
	}
	return ""
}
