package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// Waits and bounds of one send.
const (
	minFirstWait    = 900 * time.Millisecond // A repeatable request waits this long for a sign,
	firstWaitFactor = 4                      // or so many times what was predicted, whichever is more.
	minGapWait      = 900 * time.Millisecond // The same for the next event of a stream,
	gapWaitFactor   = 2                      // in gaps that its route allows.
	maxStrayAnswers = 3                      // Answers to other requests that are passed over.
	maxAnswerBytes  = 16 << 20
	maxEventBytes   = 1 << 20
)

// attempt is one send of a request to one replica.
type attempt struct {
	relay       *Relay
	rq          *request
	out         *answer
	to          route.Choice
	startedAt   time.Time
	conn        *conn
	stopAbort   func() bool    // Ends the watch over the caller's going away.
	resp        *http.Response // Its head has come already, where the stream was begun before this attempt runs.
	headTimeout time.Duration  // If set, the head is waited for no longer.
	idleTimeout time.Duration
	// firstAt is when the first event or the whole answer came; zero before.
	firstAt time.Time
	round   int    // Of the strike, if the replica ends under it,
	epoch   uint64 // and of what was known of the request when it was sent.
	end     route.RequestResult
	status  int
}

// run sends the request and passes on the answer. Its result is of this send
// alone.
func (a *attempt) run(ctx context.Context) dispatch.Result {
	res := a.exchange(ctx)
	a.finish(ctx, res)
	return res
}

// finish counts how the attempt ended.
func (a *attempt) finish(ctx context.Context, res dispatch.Result) {
	now := time.Now()
	a.end.Answered = a.status != 0
	switch res.Reason {
	case fault.Unreachable, fault.Closed, fault.Stalled, fault.Truncated, fault.Garbage, fault.UpstreamFailed, fault.MixedVersion:
		a.end.Failed = ctx.Err() == nil
	case fault.QueueFull:
		a.end.Full = true
	case fault.WrongVersion:
		a.end.NotHeld = true
	}
	a.relay.table.Done(now, a.to.Reservation, a.end)
}

func notRun(c fault.Code) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.NotRun, Reason: c}
}

func unknown(c fault.Code) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.Unknown, Reason: c}
}

func (a *attempt) exchange(ctx context.Context) dispatch.Result {
	resp, res, keep := a.resp, dispatch.Result{}, false
	if resp == nil {
		resp, res = a.open(ctx)
	}
	if resp != nil {
		res, keep = a.forward(ctx, resp)
	}
	a.release(keep)
	return res
}

// release keeps the connection for another request, or ends it.
func (a *attempt) release(keep bool) {
	if a.conn == nil {
		return
	}
	if a.stopAbort() && keep && a.conn.r.Buffered() == 0 {
		a.relay.conns.put(a.to.Incarnation, a.conn, a.idleTimeout)
		return
	}
	a.conn.abort()
}

// open sends the request and reads the head of its answer. Without one the result
// says why.
func (a *attempt) open(ctx context.Context) (*http.Response, dispatch.Result) {
	a.startedAt = time.Now()
	rest := maxIdle
	if !a.rq.repeatable() {
		rest = maxIdleUnsafe
	}
	dctx, cancel := context.WithDeadline(ctx, a.rq.deadline)
	defer cancel()
	c, err := a.relay.conns.get(dctx, a.to.Incarnation, a.to.Addr, rest)
	if err != nil {
		if ctx.Err() != nil {
			return nil, notRun(fault.Cancelled)
		}
		return nil, notRun(fault.Unreachable)
	}
	// A new connection may have taken seconds, in which the replica has said more.
	if code := a.relay.table.Recheck(time.Now(), a.to.Reservation); code != "" {
		_ = c.Close()
		a.relay.Metrics.Event("request_withdrawn", string(code))
		return nil, notRun(code)
	}
	a.conn = c
	a.stopAbort = context.AfterFunc(ctx, c.abort)
	if n, err := a.send(); err != nil {
		if n == 0 {
			return nil, notRun(fault.Unreachable)
		}
		return nil, a.connectionResult(ctx, err)
	}
	return a.readHead(ctx)
}

// send writes the whole request in one piece. It returns how many bytes went.
func (a *attempt) send() (int, error) {
	rq, d := a.rq, a.relay.headers
	left := time.Until(a.deadline())
	if left < time.Millisecond {
		return 0, fault.New(fault.PastDeadline, "")
	}
	h := rq.header.Clone()
	h.Set(d.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(d.ExpectReplica, a.to.ID)
	if rq.lastEventID != "" {
		h.Set(d.LastEventID, rq.lastEventID)
	}
	if v := a.expectedVersion(); v > 0 {
		h.Set(d.ExpectVersion, strconv.FormatUint(v, 10))
	}
	if len(rq.body) > 0 || rq.method != http.MethodGet && rq.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(rq.body)))
	}
	var b bytes.Buffer
	b.WriteString(rq.method + " " + rq.target + " HTTP/1.1\r\nHost: " + rq.host + "\r\n")
	if err := h.Write(&b); err != nil {
		return 0, fault.Wrap(fault.BadRequest, err, "header")
	}
	b.WriteString("\r\n")
	b.Write(rq.body)
	now := time.Now()
	_ = a.conn.SetDeadline(a.readDeadline(now, a.firstWait()))
	rq.limit, rq.recentSends = a.to.Limit, a.relay.table.RecordSend(now, a.to.Reservation)
	return a.conn.Write(b.Bytes())
}

// deadline is until when the replica may work on the request.
func (a *attempt) deadline() time.Time {
	if a.to.Deadline.IsZero() {
		return a.rq.deadline
	}
	return times.Earlier(a.rq.deadline, a.to.Deadline)
}

// expectedVersion is the version that alone may run the request, or 0: the one that the answer
// began with, the newest where the replica is believed to hold it, and any once the time of
// older ones is over. A request that was sent on a wrong belief would else begin on the
// older version, and nothing would give it up when the time of that is over.
func (a *attempt) expectedVersion() uint64 {
	if a.rq.version > 0 {
		return a.rq.version
	}
	before := a.relay.versionDeadline(a.rq, 0)
	if !a.to.Engine || before.IsZero() {
		return 0
	}
	if a.relay.versionDeadline(a.rq, a.to.Version).IsZero() || !time.Now().Before(before) {
		return a.to.Version
	}
	return 0
}

func (a *attempt) firstWait() time.Duration {
	if a.headTimeout > 0 {
		return a.headTimeout
	}
	return max(minFirstWait, firstWaitFactor*a.to.Predicted)
}

// readDeadline is until when a sign is waited for: one that may go elsewhere waits only for a
// while, and none begins on a version whose time is over. One that may not be repeated is
// given up at that time too: it would begin up to its caller's deadline later.
func (a *attempt) readDeadline(now time.Time, wait time.Duration) time.Time {
	t := a.rq.deadline
	if a.rq.repeatable() {
		t = times.Earlier(t, now.Add(wait))
	}
	if !a.firstAt.IsZero() || !a.to.Engine {
		return t
	}
	if bound := a.relay.versionDeadline(a.rq, a.to.Version); !bound.IsZero() {
		t = times.Earlier(t, bound)
	}
	return t
}

// connectionResult is the result of a connection that failed under a request.
func (a *attempt) connectionResult(ctx context.Context, err error) dispatch.Result {
	switch {
	case ctx.Err() != nil:
		return unknown(fault.Cancelled)
	case isTimeout(err) && !time.Now().Before(a.rq.deadline):
		return unknown(fault.Timeout)
	case isTimeout(err):
		return unknown(fault.Stalled)
	}
	return unknown(fault.Closed)
}

// readHead reads the head of the answer to this request, past answers to others.
func (a *attempt) readHead(ctx context.Context) (*http.Response, dispatch.Result) {
	d := a.relay.headers
	req := &http.Request{Method: a.rq.method}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(a.conn.r, req)
		if err != nil {
			return nil, a.connectionResult(ctx, err)
		}
		a.recordHeaders(resp)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := resp.Header.Get(d.RequestID); id == "" || id == a.rq.id {
			return resp, dispatch.Result{}
		}
		a.relay.Metrics.Event("stray_answer", "")
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
			return nil, a.connectionResult(ctx, err)
		}
	}
	return nil, unknown(fault.Garbage)
}

// forward passes on an answer, and says whether its connection may be used again.
func (a *attempt) forward(ctx context.Context, resp *http.Response) (dispatch.Result, bool) {
	d := a.relay.headers
	a.status = resp.StatusCode
	if id := resp.Header.Get(d.Incarnation); resp.StatusCode == http.StatusMisdirectedRequest && id != "" && id != a.to.ID {
		a.relay.table.MarkLeaving(a.to.Incarnation, time.Now())
	}
	if resp.Close { // Some say so as they leave, others now and then: it decides nothing.
		a.relay.Metrics.Event("upstream_closing", "")
	}
	a.idleTimeout = keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	again := framed && !resp.Close
	if resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(d.NotRun) != "" {
		return a.refusal(resp), again
	}
	if v, err := strconv.ParseUint(resp.Header.Get(d.Version), 10, 64); err == nil {
		a.end.Version = v
		if a.rq.version > 0 && v != a.rq.version {
			return unknown(fault.MixedVersion), false
		}
		if a.out.started {
			a.rq.version = v
		}
	}
	if a.rq.route.Kind == streamKind && resp.StatusCode == http.StatusOK {
		err := a.stream(ctx, resp, framed)
		return a.bodyResult(ctx, err), again && err == nil
	}
	if a.out.started {
		return unknown(fault.UpstreamFailed), false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(data) > maxAnswerBytes {
		if err == nil {
			err = fault.New(fault.TooLarge, "answer")
		}
		return a.bodyResult(ctx, err), false
	}
	a.recordFirst()
	if resp.StatusCode >= http.StatusInternalServerError || resp.Header.Get(d.Signature) == "" {
		a.out.keepFailure(resp, data)
		return unknown(fault.UpstreamFailed), again
	}
	if err := a.out.writeWhole(resp, data); err != nil {
		return unknown(fault.Cancelled), again
	}
	return dispatch.Result{Outcome: dispatch.Done}, again
}

func (a *attempt) refusal(resp *http.Response) dispatch.Result {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return notRun(fault.WrongVersion)
	}
	return notRun(fault.QueueFull)
}

// bodyResult is the result of an answer whose body ended with err.
func (a *attempt) bodyResult(ctx context.Context, err error) dispatch.Result {
	switch {
	case err == nil:
		return dispatch.Result{Outcome: dispatch.Done}
	case fault.Is(err, errCaller):
		return unknown(fault.Cancelled)
	case fault.Is(err, fault.Truncated), fault.Is(err, fault.TooLarge), fault.Is(err, fault.Moved):
		return unknown(fault.CodeOf(err))
	}
	return a.connectionResult(ctx, err)
}

// recordFirst records the first sign of the answer.
func (a *attempt) recordFirst() {
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
		took := time.Since(a.startedAt)
		a.relay.table.RecordFirstEvent(time.Now(), a.to.Reservation, took, a.to.Predicted)
		a.relay.Metrics.FirstData(took.Seconds())
	}
}
