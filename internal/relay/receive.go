package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/eventstream"
)

// receive passes on an answer. It returns the last part, and whether the connection can be
// reused.
func (a *attempt) receive(ctx context.Context, resp *http.Response) (p part, reuse bool) {
	names := a.relay.headers
	a.status = resp.StatusCode
	if id := resp.Header.Get(names.Incarnation); resp.StatusCode == http.StatusMisdirectedRequest && id != "" && id != a.to.ID {
		a.relay.table.MarkLeaving(a.to.Incarnation, time.Now())
	}
	if resp.Close { // Counted only: not all replicas that send it are leaving.
		a.relay.Metrics.Event("upstream_closing", "")
	}
	a.idleTimeout = keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	reusable := framed && !resp.Close
	if resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(names.NotRun) != "" {
		whole := readRefusal(resp)
		return part{result: refusal(resp)}, reusable && whole
	}
	if v, err := strconv.ParseUint(resp.Header.Get(names.Version), 10, 64); err == nil {
		a.result.Version = v
		if a.version > 0 && v != a.version {
			return part{result: unknown(fault.MixedVersion)}, false
		}
	}
	if a.rq.route.Kind == streamKind && resp.StatusCode == http.StatusOK {
		if resp.Header.Get(names.Signature) == "" {
			return part{result: unknown(fault.UpstreamFailed)}, false
		}
		rest, err := a.stream(ctx, resp, framed)
		return part{resp: resp, stream: true, events: eventstream.Events{Data: rest}, result: a.bodyResult(ctx, err)}, reusable && err == nil
	}
	if a.continues {
		return part{result: unknown(fault.UpstreamFailed)}, false
	}
	return a.receiveWhole(ctx, resp, framed, reusable)
}

// receiveWhole reads an answer that is passed on as a whole.
func (a *attempt) receiveWhole(ctx context.Context, resp *http.Response, framed, reusable bool) (p part, reuse bool) {
	r := &bounded.AnswerReader{Memory: &a.relay.answerMemory, Abort: a.conn.abort}
	body, err := r.ReadAll(resp.Body, resp.ContentLength)
	if err == nil {
		err = a.checkEnd(ctx, &eventstream.End{Framed: framed})
	}
	a.lacksMemory = r.Err() != nil
	if err != nil {
		return part{result: a.bodyResult(ctx, err)}, false
	}
	a.recordFirst()
	p = part{resp: resp, body: body, result: dispatch.Result{Outcome: dispatch.Done}}
	if resp.StatusCode >= http.StatusInternalServerError || resp.Header.Get(a.relay.headers.Signature) == "" {
		p.result = unknown(fault.UpstreamFailed)
	}
	return p, reusable
}

// readRefusal reads the body of a refusal and reports whether it is whole. The rest of one that is not would
// be read as the answer to the next request on the connection.
func readRefusal(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes+1))
	return err == nil && n <= maxEventBytes
}

func refusal(resp *http.Response) dispatch.Result {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return notRun(fault.WrongVersion)
	}
	return notRun(fault.QueueFull)
}

// bodyResult returns the result of an answer that ended with err.
func (a *attempt) bodyResult(ctx context.Context, err error) dispatch.Result {
	switch {
	case err == nil:
		return dispatch.Result{Outcome: dispatch.Done}
	case fault.Is(err, fault.Truncated), fault.Is(err, fault.AnswerTooLarge), fault.Is(err, fault.Garbage):
		a.recordBreakdown(ctx, err)
		return unknown(fault.CodeOf(err))
	}
	return a.connectionResult(ctx, err)
}
