package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/eventstream"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/quarantine"
	"github.com/poststand/poststand/route"
)

// Limits of one attempt.
const (
	maxStrayAnswers = 3        // Responses read in search of the matching one before the connection is abandoned.
	maxHeadBytes    = 32 << 10 // Of all headers that are read in search of the matching one.
	maxStrayBytes   = 1 << 20  // Of the bodies of responses to other requests.
	maxEventBytes   = 1 << 20
	maxLoggedID     = 64 // Bytes of the ID of another request.
)

// attempt is one try at sending a request to a replica. It runs in a goroutine of its own and
// passes on what it receives as parts. Its fields belong to that goroutine until its last part
// has been received or it has been abandoned, except for those that are set before it starts.
type attempt struct {
	relay     *Relay
	rq        *request
	to        route.Choice
	startedAt time.Time
	// lastEventID, version and continues are what the caller has of the answer: its last event,
	// the version that made it (0 for any), and whether it has any part. moreKnown is set if it is
	// known that events follow.
	lastEventID string
	version     uint64
	continues   bool
	moreKnown   bool
	isBackup    bool // Another attempt is open, which is silent.
	number      int  // Number of this attempt, from 1.
	// struck are the strike rounds of the attempts before this one, and strikes what is recorded if
	// the replica terminates during this one; both have one entry for each key of the request.
	struck  []struckRound
	strikes []quarantine.KeyStrike
	onTrial bool // The request is sent to learn whether it still crashes replicas.

	cancel context.CancelFunc
	parts  chan<- receivedPart
	resume chan struct{} // Receives once for each part but the last, when the next one may come.
	ended  chan struct{} // Closed when the attempt has released its connection.

	// gotData and silent belong to the delivery: the caller got data of this attempt, and the
	// replica was silent for longer than usual.
	gotData bool
	silent  bool

	conn        *conn
	stopAbort   func() bool // Stops the abort of conn when the attempt is cancelled.
	idleTimeout time.Duration
	sentAt      time.Time // When the request was written; zero before.
	// firstAt is when the first event or the complete answer arrived; zero before.
	firstAt     time.Time
	harmCheck   *time.Timer // Set with firstAt if the answer is a success; see checkHarm.
	complete    atomic.Bool // The answer is complete.
	result      route.RequestResult
	status      int
	recentSends int // Recent requests of this gateway to the replica, including this one.
	// lastDataAt is when the request was sent or data last arrived; zero before.
	lastDataAt time.Time
	// moreFollows is set if the replica has begun, or announced, more of a stream than was passed on.
	moreFollows bool
	lacksMemory bool // The answer was broken off for lack of memory, not for what the replica did.
	broken      breakdown
}

// part is something that a replica sent for the caller.
type part struct {
	resp   *http.Response     // Header of the answer that it belongs to; nil if there is none.
	stream bool               // The answer is a stream that may be passed on in parts.
	events eventstream.Events // Of a stream; in its last part, Data is what follows the last event.
	body   [][]byte           // Any other answer as a whole, in parts.
	last   bool               // The attempt has ended with result.
	result dispatch.Result
}

// receivedPart is a part with its attempt.
type receivedPart struct {
	part
	from *attempt
}

// run sends the request and passes on the answer.
func (a *attempt) run(ctx context.Context) {
	p := a.exchange(ctx)
	p.last = true
	a.finish(ctx, p.result)
	close(a.ended)
	a.send(ctx, p)
}

// send passes on a part, unless the attempt is abandoned.
func (a *attempt) send(ctx context.Context, p part) {
	select {
	case a.parts <- receivedPart{p, a}:
	case <-ctx.Done():
	}
}

// sendEvents passes on complete events and waits until more may follow. It reports whether the
// attempt goes on.
func (a *attempt) sendEvents(ctx context.Context, p part) bool {
	a.send(ctx, p)
	select {
	case <-a.resume:
		return true
	case <-ctx.Done():
		return false
	}
}

// finish reports the end of the attempt to the routing table.
func (a *attempt) finish(ctx context.Context, res dispatch.Result) {
	now := time.Now()
	a.result.Answered = a.status != 0
	switch res.Reason {
	case fault.Unreachable, fault.ConnectionLost, fault.LinkStalled, fault.Truncated, fault.Garbage, fault.AnswerTooLarge, fault.UpstreamFailed, fault.MixedVersion:
		a.result.Failed = ctx.Err() == nil && !a.lacksMemory
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

// exchange sends the request and returns the last part, which has the result.
func (a *attempt) exchange(ctx context.Context) part {
	reuse := false
	resp, res := a.open(ctx)
	p := part{result: res}
	if resp != nil {
		p, reuse = a.receive(ctx, resp)
	}
	a.release(reuse)
	return p
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
	dctx, cancel := context.WithDeadline(ctx, a.rq.deadline)
	defer cancel()
	c, err := a.connect(dctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil, notRun(fault.Cancelled)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.relay.recordRefusal(a.to.ID)
		}
		return nil, notRun(fault.Unreachable)
	}
	// Dialling may have taken seconds, and the replica may no longer accept the request.
	if code := a.relay.table.Recheck(time.Now(), a.to.Reservation); code != "" {
		_ = c.Close()
		a.relay.Metrics.Event("request_withdrawn", string(code))
		return nil, notRun(code)
	}
	if v := a.judge(time.Now()); v.Refused {
		_ = c.Close()
		return nil, dispatch.Result{Outcome: dispatch.NotRun, Reason: fault.Quarantined, RetryAt: v.Until}
	}
	a.conn = c
	a.stopAbort = context.AfterFunc(ctx, c.abort)
	n, err := a.write()
	a.lastDataAt = time.Now()
	if err != nil {
		if n == 0 {
			return nil, notRun(fault.Unreachable)
		}
		return nil, a.connectionResult(ctx, err)
	}
	return a.readHead(ctx)
}

// connect returns a connection to the replica. While another attempt is silent, idle connections
// may have gone silent as well.
func (a *attempt) connect(ctx context.Context) (*conn, error) {
	if a.isBackup {
		return a.relay.conns.dialNew(ctx, a.to.Addr)
	}
	idleLimit := maxIdle
	if !a.rq.repeatable() {
		idleLimit = maxIdleUnsafe
	}
	return a.relay.conns.get(ctx, a.to.Incarnation, a.to.Addr, idleLimit)
}

// write writes the whole request at once and returns the number of bytes written.
func (a *attempt) write() (int, error) {
	rq, names := a.rq, a.relay.headers
	remaining := time.Until(a.deadline())
	if remaining < time.Millisecond {
		return 0, fault.New(fault.PastDeadline, "")
	}
	h := rq.header.Clone()
	h.Set(names.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	h.Set(names.ExpectReplica, a.to.ID)
	if a.lastEventID != "" {
		h.Set(names.LastEventID, a.lastEventID)
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
	_ = a.conn.SetDeadline(rq.deadline)
	a.sentAt = time.Now()
	a.recentSends = a.relay.table.RecordSend(a.sentAt, a.to.Reservation)
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
//
// It is the replica's version as well if the request must end by that version's deadline: queued
// behind a change of version, it would begin on the next one and be cut.
func (a *attempt) expectedVersion() uint64 {
	if a.version > 0 {
		return a.version
	}
	olderDeadline := a.relay.versionDeadline(a.rq, 0)
	if !a.to.Engine || olderDeadline.IsZero() {
		return 0
	}
	mustEnd := !a.to.Deadline.IsZero() && a.rq.needsOutcome()
	if mustEnd || a.relay.versionDeadline(a.rq, a.to.Version).IsZero() || !time.Now().Before(olderDeadline) {
		return a.to.Version
	}
	return 0
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
		return unknown(fault.LinkStalled) // By the kernel.
	}
	return unknown(fault.ConnectionLost)
}

// readHead reads the header of the response to this request, skipping responses to others.
func (a *attempt) readHead(ctx context.Context) (*http.Response, dispatch.Result) {
	names := a.relay.headers
	headLeft, strayLeft := maxHeadBytes, int64(maxStrayBytes)
	for range maxStrayAnswers {
		resp, err := a.readNextHead(&headLeft)
		if err != nil {
			return nil, a.bodyResult(ctx, err)
		}
		a.lastDataAt = time.Now()
		a.recordHeaders(resp)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(names.RequestID)
		if id == a.rq.id || id == "" && !a.mayBeSurplus(resp) {
			return resp, dispatch.Result{}
		}
		a.relay.Metrics.Event("stray_answer", "")
		telemetry.Log("stray_answer", "id", a.rq.id, "replica", a.to.ID, "status", resp.StatusCode, "answer_id", id[:min(len(id), maxLoggedID)], "uses", a.conn.uses)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayLeft+1))
		if strayLeft -= n; strayLeft < 0 {
			err = fault.New(fault.AnswerTooLarge, "answers to other requests exceed the size limit")
		}
		if err != nil {
			return nil, a.bodyResult(ctx, err)
		}
	}
	return nil, unknown(fault.Garbage)
}

// readNextHead reads the header of the next response on the connection, of which left bytes may be read.
func (a *attempt) readNextHead(left *int) (*http.Response, error) {
	a.conn.headLeft = left
	defer func() { a.conn.headLeft = nil }()
	resp, err := http.ReadResponse(a.conn.r, &http.Request{Method: a.rq.method})
	if err != nil && *left <= 0 {
		err = errHeadTooLarge() // The parser may have replaced it by an error of its own.
	}
	return resp, err
}

// mayBeSurplus reports whether a response without an ID may belong to an earlier request of the
// connection and says that its request has not run. Believed, it would have a request that is running
// sent again. Misdirected requests are answered without an ID.
func (a *attempt) mayBeSurplus(resp *http.Response) bool {
	return a.conn.uses > 0 && resp.StatusCode != http.StatusMisdirectedRequest && resp.Header.Get(a.relay.headers.NotRun) != ""
}

// recordFirst records the arrival of the first data.
func (a *attempt) recordFirst() {
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
		took := time.Since(a.startedAt)
		a.relay.table.RecordFirstEvent(time.Now(), a.to.Reservation, took, a.to.Predicted)
		a.relay.Metrics.FirstData(took.Seconds())
		a.relay.recordPrediction(a.to, took)
		a.scheduleHarmCheck()
	}
}
