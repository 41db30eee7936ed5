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

// Timeouts and limits of one attempt.
const (
	minFirstWait    = 900 * time.Millisecond // Minimum time that a repeatable request waits for its first data.
	firstWaitFactor = 4                      // Multiple of the predicted time that it waits, if that is longer.
	minGapWait      = 900 * time.Millisecond // Minimum time to wait for the next event of a stream.
	gapWaitFactor   = 2                      // Multiple of the route's event gap to wait, if that is longer.
	maxStrayAnswers = 3                      // Responses read in search of the matching one before the connection is abandoned.
	maxAnswerBytes  = 16 << 20
	maxEventBytes   = 1 << 20
)

// attempt is one try at sending a request to a replica.
type attempt struct {
	relay       *Relay
	rq          *request
	out         *answer
	to          route.Choice
	startedAt   time.Time
	conn        *conn
	stopAbort   func() bool    // Stops the abort of conn on cancellation by the caller.
	resp        *http.Response // Set in advance if the stream was opened before this attempt runs.
	headTimeout time.Duration  // If set, limits the wait for the response header.
	idleTimeout time.Duration
	// firstAt is when the first event or the complete answer arrived; zero before.
	firstAt time.Time
	round   int    // Strike round if the replica terminates during this attempt.
	epoch   uint64 // Epoch of the quarantine status when the request was sent.
	result  route.RequestResult
	status  int
	// lastDataAt is when the request was sent or data last arrived; zero before.
	lastDataAt time.Time
	broken     breakdown
}

// run sends the request and passes on the answer. The result covers this attempt only.
func (a *attempt) run(ctx context.Context) dispatch.Result {
	res := a.exchange(ctx)
	a.finish(ctx, res)
	return res
}

// finish reports the end of the attempt to the routing table.
func (a *attempt) finish(ctx context.Context, res dispatch.Result) {
	now := time.Now()
	a.result.Answered = a.status != 0
	switch res.Reason {
	case fault.Unreachable, fault.ConnectionLost, fault.LinkStalled, fault.Truncated, fault.Garbage, fault.UpstreamFailed, fault.MixedVersion:
		a.result.Failed = ctx.Err() == nil
	case fault.QueueFull:
		a.result.Full = true
	case fault.WrongVersion:
		a.result.NotHeld = true
	}
	a.relay.table.Done(now, a.to.Reservation, a.result)
}

func notRun(c fault.Code) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.NotRun, Reason: c}
}

func unknown(c fault.Code) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.Unknown, Reason: c}
}

func (a *attempt) exchange(ctx context.Context) dispatch.Result {
	resp, res, reuse := a.resp, dispatch.Result{}, false
	if resp == nil {
		resp, res = a.open(ctx)
	}
	if resp != nil {
		res, reuse = a.forward(ctx, resp)
	}
	a.release(reuse)
	return res
}

// release returns the connection to the pool, or aborts it if it can't be reused.
func (a *attempt) release(reuse bool) {
	if a.conn == nil {
		return
	}
	if a.stopAbort() && reuse && a.conn.r.Buffered() == 0 {
		a.relay.conns.put(a.to.Incarnation, a.conn, a.idleTimeout)
		return
	}
	a.conn.abort()
}

// open sends the request and reads the response header. If there is no response, the result
// gives the reason.
func (a *attempt) open(ctx context.Context) (*http.Response, dispatch.Result) {
	a.startedAt = time.Now()
	idleLimit := maxIdle
	if !a.rq.repeatable() {
		idleLimit = maxIdleUnsafe
	}
	dctx, cancel := context.WithDeadline(ctx, a.rq.deadline)
	defer cancel()
	c, err := a.relay.conns.get(dctx, a.to.Incarnation, a.to.Addr, idleLimit)
	if err != nil {
		if ctx.Err() != nil {
			return nil, notRun(fault.Cancelled)
		}
		return nil, notRun(fault.Unreachable)
	}
	// Dialling may have taken seconds, and the replica may no longer accept the request.
	if code := a.relay.table.Recheck(time.Now(), a.to.Reservation); code != "" {
		_ = c.Close()
		a.relay.Metrics.Event("request_withdrawn", string(code))
		return nil, notRun(code)
	}
	a.conn = c
	a.stopAbort = context.AfterFunc(ctx, c.abort)
	a.relay.inFlight.setReplica(a.rq, a.to.ID)
	n, err := a.send()
	a.lastDataAt = time.Now()
	if err != nil {
		if n == 0 {
			return nil, notRun(fault.Unreachable)
		}
		return nil, a.connectionResult(ctx, err)
	}
	return a.readHead(ctx)
}

// send writes the whole request at once and returns the number of bytes written.
func (a *attempt) send() (int, error) {
	rq, names := a.rq, a.relay.headers
	remaining := time.Until(a.deadline())
	if remaining < time.Millisecond {
		return 0, fault.New(fault.PastDeadline, "")
	}
	h := rq.header.Clone()
	h.Set(names.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	h.Set(names.ExpectReplica, a.to.ID)
	if rq.lastEventID != "" {
		h.Set(names.LastEventID, rq.lastEventID)
	}
	if v := a.expectedVersion(); v > 0 {
		h.Set(names.ExpectVersion, strconv.FormatUint(v, 10))
	}
	if len(rq.body) > 0 || rq.method != http.MethodGet && rq.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(rq.body)))
	}
	var b bytes.Buffer
	b.WriteString(rq.method + " " + rq.target + " HTTP/1.1\r\nHost: " + rq.host + "\r\n")
	if err := h.Write(&b); err != nil {
		return 0, fault.Wrap(fault.BadRequest, err, "writing the request header")
	}
	b.WriteString("\r\n")
	b.Write(rq.body)
	now := time.Now()
	_ = a.conn.SetDeadline(a.readDeadline(now, a.firstWait()))
	rq.limit, rq.recentSends = a.to.Limit, a.relay.table.RecordSend(now, a.to.Reservation)
	return a.conn.Write(b.Bytes())
}

// deadline returns the time by which the replica must have finished the request.
func (a *attempt) deadline() time.Time {
	if a.to.Deadline.IsZero() {
		return a.rq.deadline
	}
	return times.Earlier(a.rq.deadline, a.to.Deadline)
}

// expectedVersion returns the only version that may run the request, or 0 if any may. If the
// answer has begun, it is the version of that part. Otherwise, at a replica with an engine and
// once older versions have a start deadline, it is the replica's version if that one has no
// deadline itself, or if the deadline of older versions has passed. Without an expected version,
// a request sent on outdated information would start on the older version, and nothing would
// cancel it at that version's deadline.
func (a *attempt) expectedVersion() uint64 {
	if a.rq.version > 0 {
		return a.rq.version
	}
	olderDeadline := a.relay.versionDeadline(a.rq, 0)
	if !a.to.Engine || olderDeadline.IsZero() {
		return 0
	}
	if a.relay.versionDeadline(a.rq, a.to.Version).IsZero() || !time.Now().Before(olderDeadline) {
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

// readDeadline returns when to stop waiting for data. A request that may be repeated waits for
// at most wait, so that it can go to another replica. Before its first data, any request also
// stops at the deadline of the replica's version, so that none starts on a version past its
// deadline. That includes requests that may not be repeated: they could otherwise start as
// late as their caller's deadline.
func (a *attempt) readDeadline(now time.Time, wait time.Duration) time.Time {
	t := a.rq.deadline
	if a.rq.repeatable() {
		t = times.Earlier(t, now.Add(wait))
	}
	if !a.firstAt.IsZero() || !a.to.Engine {
		return t
	}
	if deadline := a.relay.versionDeadline(a.rq, a.to.Version); !deadline.IsZero() {
		t = times.Earlier(t, deadline)
	}
	return t
}

// connectionResult returns the result of a request whose connection failed with err.
func (a *attempt) connectionResult(ctx context.Context, err error) dispatch.Result {
	a.recordBreakdown(ctx, err)
	switch {
	case ctx.Err() != nil:
		return unknown(fault.Cancelled)
	case isTimeout(err) && !time.Now().Before(a.rq.deadline):
		return unknown(fault.Timeout)
	case isTimeout(err):
		return unknown(fault.LinkStalled)
	}
	return unknown(fault.ConnectionLost)
}

// readHead reads the header of the response to this request, skipping responses to others.
func (a *attempt) readHead(ctx context.Context) (*http.Response, dispatch.Result) {
	names := a.relay.headers
	req := &http.Request{Method: a.rq.method}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(a.conn.r, req)
		if err != nil {
			return nil, a.connectionResult(ctx, err)
		}
		a.lastDataAt = time.Now()
		a.recordHeaders(resp)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := resp.Header.Get(names.RequestID); id == "" || id == a.rq.id {
			return resp, dispatch.Result{}
		}
		a.relay.Metrics.Event("stray_answer", "")
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
			return nil, a.connectionResult(ctx, err)
		}
	}
	return nil, unknown(fault.Garbage)
}

// forward passes on an answer and reports whether its connection can be reused.
func (a *attempt) forward(ctx context.Context, resp *http.Response) (dispatch.Result, bool) {
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
		return a.refusal(resp), reusable
	}
	if v, err := strconv.ParseUint(resp.Header.Get(names.Version), 10, 64); err == nil {
		a.result.Version = v
		if a.rq.version > 0 && v != a.rq.version {
			return unknown(fault.MixedVersion), false
		}
		if a.out.started {
			a.rq.version = v
		}
	}
	if a.rq.route.Kind == streamKind && resp.StatusCode == http.StatusOK {
		err := a.stream(ctx, resp, framed)
		return a.bodyResult(ctx, err), reusable && err == nil
	}
	if a.out.started {
		return unknown(fault.UpstreamFailed), false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(data) > maxAnswerBytes {
		if err == nil {
			err = fault.New(fault.TooLarge, "answer exceeds the size limit")
		}
		return a.bodyResult(ctx, err), false
	}
	a.recordFirst()
	if resp.StatusCode >= http.StatusInternalServerError || resp.Header.Get(names.Signature) == "" {
		a.out.keepFailure(resp, data)
		return unknown(fault.UpstreamFailed), reusable
	}
	if err := a.out.writeWhole(resp, data); err != nil {
		return unknown(fault.Cancelled), reusable
	}
	return dispatch.Result{Outcome: dispatch.Done}, reusable
}

func (a *attempt) refusal(resp *http.Response) dispatch.Result {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return notRun(fault.WrongVersion)
	}
	return notRun(fault.QueueFull)
}

// bodyResult returns the result of an answer whose body ended with err.
func (a *attempt) bodyResult(ctx context.Context, err error) dispatch.Result {
	switch {
	case err == nil:
		return dispatch.Result{Outcome: dispatch.Done}
	case fault.Is(err, errCaller):
		a.broken = breakdown{by: endedByCaller, err: err}
		return unknown(fault.Cancelled)
	case fault.Is(err, fault.Moved):
		return unknown(fault.Moved)
	case fault.Is(err, fault.Truncated), fault.Is(err, fault.TooLarge):
		a.recordBreakdown(ctx, err)
		return unknown(fault.CodeOf(err))
	}
	return a.connectionResult(ctx, err)
}

// recordFirst records the arrival of the first data.
func (a *attempt) recordFirst() {
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
		took := time.Since(a.startedAt)
		a.relay.table.RecordFirstEvent(time.Now(), a.to.Reservation, took, a.to.Predicted)
		a.relay.Metrics.FirstData(took.Seconds())
	}
}
