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

// errCaller is the code of a failure to write to the caller.
const errCaller = fault.Cancelled

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes on complete events as they arrive. A partial event of a truncated stream is
// not sent to the caller, so that the stream can continue on another replica.
func (a *attempt) stream(ctx context.Context, resp *http.Response, framed bool) error {
	buf := make([]byte, 0, 4<<10)
	gap := max(minGapWait, gapWaitFactor*a.rq.route.TargetGap)
	for {
		if len(buf) == cap(buf) {
			if len(buf) > maxEventBytes {
				return fault.New(fault.TooLarge, "stream event exceeds the size limit")
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
			if id := parseLastID(buf[:end]); id != "" {
				a.rq.lastEventID = id
			}
			if a.rq.version == 0 {
				a.rq.version = a.result.Version
			}
			if werr := a.out.writeEvents(resp, buf[:end]); werr != nil {
				return fault.Wrap(errCaller, werr, "writing to the caller")
			}
			buf = append(buf[:0], buf[end:]...)
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
			return fault.New(fault.Truncated, "stream ended inside an event")
		case err == io.EOF && len(buf) > 0:
			if werr := a.out.writeEvents(resp, buf); werr != nil {
				return fault.Wrap(errCaller, werr, "writing to the caller")
			}
			return a.out.finish(resp)
		case err == io.EOF:
			return a.out.finish(resp)
		case err != nil:
			return err
		}
	}
}

// A replica that is about to change its version waits for its last streams, and could run many
// others meanwhile. So a stream that is still running there after moveAfter moves to another
// replica that holds the same version and has enough capacity.
const (
	moveAfter = 350 * time.Millisecond
	// moveGapShare limits the predicted time to the first event at the other replica, as a
	// fraction of the gap that the route allows.
	moveGapShare = 0.5
)

// shouldMove reports whether the stream should move to another replica.
func (a *attempt) shouldMove() bool {
	rq := a.rq
	return rq.route.Resumable && rq.lastEventID != "" && rq.attempts < max(1, rq.route.MaxAttempts) &&
		a.relay.table.ChangingFor(time.Now(), a.to.Reservation) >= moveAfter
}

// move opens the stream at another replica with a recent agent report, and reports whether
// that replica accepted it. If not, the stream continues on the current replica, whose
// connection is still open.
func (a *attempt) move(ctx context.Context) bool {
	g, rq, now := a.relay, a.rq, time.Now()
	criteria := rq.routeCriteria(g, map[string]bool{a.to.ID: true})
	criteria.ReportedOnly = true
	to, err := g.table.Pick(now, criteria)
	if err != nil {
		return false
	}
	if to.Predicted > time.Duration(moveGapShare*float64(rq.route.TargetGap)) || !g.hasPermit(ctx, rq, &to) || !g.retryWindow(rq.service).TrySpend(now, g.retrySlack()) {
		g.table.Done(now, to.Reservation, route.RequestResult{})
		return false
	}
	rq.attempts++
	next := &attempt{relay: g, rq: rq, out: a.out, to: to, headTimeout: rq.route.TargetGap, round: rq.nextStrikeRound(), epoch: rq.quarantineStatus.Epoch}
	resp, res := next.open(ctx)
	if resp != nil && next.isContinuation(resp) {
		next.resp, rq.next = resp, next
		return true
	}
	reuse := false
	if resp != nil {
		res, reuse = next.forward(ctx, resp)
	}
	next.release(reuse)
	next.finish(ctx, res)
	rq.recordAttempt(next, res)
	return false
}

// isContinuation reports whether resp is the header of the rest of the stream.
func (a *attempt) isContinuation(resp *http.Response) bool {
	names := a.relay.headers
	return resp.StatusCode == http.StatusOK && resp.Header.Get(names.NotRun) == "" &&
		resp.Header.Get(names.Version) == strconv.FormatUint(a.rq.version, 10)
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
