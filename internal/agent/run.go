package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/eventstream"
)

// Limits of an answer.
const (
	maxEventBytes = 1 << 20 // Size of one event of a stream, and of what comes without an event.
	maxResumes    = 3       // How often an interrupted stream is resumed on the engine.
)

// endOfStream is the last event of a complete stream in the chat completions protocol.
var endOfStream = []byte("data: [DONE]")

// run waits until a record leaves the queue, and then executes its request.
func (a *Agent) run(ctx context.Context, rec *dispatch.Record) {
	<-rec.Dequeued
	if rec.Reason != "" {
		return
	}
	err := a.execute(ctx, rec)
	if err != nil {
		a.Metrics.Failure("run_failed", err)
		rec.Answer.Fail(err)
	}
	a.gate.Finish(time.Now(), rec)
}

func engineRequestID(id dispatch.RequestID) string {
	return fmt.Sprintf("%016x-%d-%d", id.Incarnation, id.Seq, id.Attempt)
}

// execute runs a request on the engine or plain service of this box. Once it is
// called, the request may have run, even if it returns an error.
func (a *Agent) execute(ctx context.Context, rec *dispatch.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{agent: a, rec: rec, memory: bounded.AnswerReader{Memory: &a.answerMemory, Abort: cancel}}
	defer r.memory.Release()
	err := r.run(ctx)
	if reason := r.memory.Err(); err != nil && reason != nil {
		return reason
	}
	return err
}

// run sends the request and reads its answer.
func (r *runner) run(ctx context.Context) error {
	d := r.rec.Dispatch
	resp, err := r.send(ctx, 0)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if d.Digest != "" && resp.StatusCode >= http.StatusInternalServerError {
		return fault.New(fault.UpstreamFailed, resp.Status)
	}
	if err := r.checkVersion(ctx, resp); err != nil {
		return err
	}
	r.rec.Answer.Begin(&dispatch.AnswerHead{
		ID: d.ID, Digest: d.Digest, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
	})
	if d.Stream && resp.StatusCode == http.StatusOK {
		return r.readStream(ctx, resp)
	}
	return r.readBody(ctx, resp)
}

// runner is the state of one request while it runs.
type runner struct {
	agent  *Agent
	rec    *dispatch.Record
	memory bounded.AnswerReader // Holds the memory of what is read.
	events int                  // Events of a stream that were appended to the answer.
	bytes  int                  // Bytes of these events.
	// moreKnown is set if the engine has begun an event that was not appended yet.
	moreKnown bool
}

// send sends the request to the engine. If from is positive, it requests that the
// stream be resumed from that event.
func (r *runner) send(ctx context.Context, from int) (*http.Response, error) {
	d := r.rec.Dispatch
	h := http.Header{}
	h.Set("Content-Type", d.ContentType)
	h.Set(engine.HeaderRequest, engineRequestID(d.ID))
	if d.Adapter != "" {
		h.Set(engine.HeaderAdapter, d.Adapter)
	}
	if from > 0 {
		h.Set(engine.HeaderResume, strconv.Itoa(from))
	}
	return r.agent.engine.Run(ctx, d.Method, d.Path, d.Body, h, d.Unsafe)
}

// checkVersion returns an error if the answer is from another version than that of the
// dispatch. An engine need not name its version in an answer other than 200: it may have started again
// and have none, so that its state is asked for.
func (r *runner) checkVersion(ctx context.Context, resp *http.Response) error {
	want, got := r.rec.Dispatch.Digest, resp.Header.Get(engine.HeaderDigest)
	if want == "" || got == want {
		return nil
	}
	if got == "" && resp.StatusCode != http.StatusOK && r.engineLife(ctx) == eventstream.LifeSame {
		return nil
	}
	return fault.New(fault.MixedVersion, got)
}

func (r *runner) readBody(ctx context.Context, resp *http.Response) error {
	parts, err := r.memory.ReadAll(resp.Body, resp.ContentLength)
	if fault.Is(err, fault.AnswerTooLarge) {
		return err
	}
	if err != nil {
		return fault.Wrap(fault.Truncated, err, "")
	}
	end := eventstream.End{Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed}
	if !end.Framed {
		end.Replica = r.engineLife(ctx)
	}
	if end.Verdict() != eventstream.Whole {
		return fault.New(fault.Truncated, "answer ended with its engine")
	}
	const partBytes = 256 << 10
	for _, part := range parts {
		for data := range slices.Chunk(part, partBytes) {
			r.rec.Answer.Append(data)
		}
	}
	r.rec.Answer.End()
	return nil
}

// engineLife tells whether the engine of an answer that has ended with its connection is still the same
// process: one that was started again holds no version until the agent loads it. Nothing is known of the
// life of plain services.
func (r *runner) engineLife(ctx context.Context) eventstream.Life {
	digest := r.rec.Dispatch.Digest
	if digest == "" {
		return eventstream.LifeSame
	}
	if state, err := r.agent.engine.State(ctx); err != nil || state.Digest != digest {
		return eventstream.LifeEnded
	}
	return eventstream.LifeSame
}

// readStream appends the events of a stream to the answer, and resumes the stream where
// it was interrupted.
func (r *runner) readStream(ctx context.Context, resp *http.Response) error {
	for resumes := 0; ; resumes++ {
		err := r.readEvents(resp.Body)
		if err == nil {
			r.rec.Answer.End()
			drainBody(resp.Body)
			return nil
		}
		_ = resp.Body.Close()
		if fault.Is(err, fault.AnswerTooLarge) {
			r.agent.cancelOnEngine(r.rec.Dispatch)
			return err
		}
		if ctx.Err() != nil {
			r.agent.cancelOnEngine(r.rec.Dispatch)
			return fault.Wrap(fault.Timeout, ctx.Err(), "")
		}
		if resumes >= maxResumes || r.events == 0 {
			return fault.Wrap(fault.Truncated, err, "")
		}
		r.agent.Metrics.Event("stream_resumed", "")
		if resp, err = r.send(ctx, r.events); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			_ = resp.Body.Close()
			return fault.New(fault.Truncated, "resume: "+resp.Status)
		}
		if err := r.checkVersion(ctx, resp); err != nil {
			_ = resp.Body.Close()
			return err
		}
	}
}

// drainBody reads a body to its end after its last event, so that the connection can be
// reused. It waits at most 50 ms for an engine that keeps the body open.
func drainBody(body io.ReadCloser) {
	const timeout = 50 * time.Millisecond
	closed := time.AfterFunc(timeout, func() { _ = body.Close() })
	defer closed.Stop()
	bounded.Drain(body)
	_ = body.Close()
}

// readEvents appends complete events to the answer up to the last event of the stream.
func (r *runner) readEvents(body io.Reader) error {
	s := eventstream.Splitter{MaxEvent: maxEventBytes, Reserve: r.memory.Reserve}
	withoutEvent := 0 // Bytes since the last event.
	for {
		n, err := s.Fill(body)
		withoutEvent += n
		for event := s.TakeOne(); event.Count > 0; event = s.TakeOne() {
			if bytes.Equal(bytes.TrimSpace(event.Data), endOfStream) {
				return r.endStream(event.Data)
			}
			if err := r.appendEvent(event.Data); err != nil {
				return err
			}
			withoutEvent = 0
		}
		if err == nil && withoutEvent <= maxEventBytes {
			continue
		}
		if err == nil {
			return fault.New(fault.AnswerTooLarge, "stream brings no event")
		}
		if fault.Is(err, fault.AnswerTooLarge) {
			return err
		}
		r.moreKnown = r.moreKnown || s.InsideEvent()
		if err == io.EOF {
			return fault.New(fault.Truncated, "no last event")
		}
		return fault.Wrap(fault.ConnectionLost, err, "stream")
	}
}

// appendEvent appends an event to the answer, which holds all of a stream.
func (r *runner) appendEvent(event []byte) error {
	if err := r.memory.Reserve(r.bytes, len(event)); err != nil {
		return err
	}
	r.rec.Answer.Append(bytes.Clone(event))
	r.events++
	r.bytes += len(event)
	r.moreKnown = false
	return nil
}

// endStream appends the last event of a stream, unless others must come before it.
func (r *runner) endStream(last []byte) error {
	end := eventstream.End{Framed: true, Stream: true, Events: r.events, Continues: true, MoreKnown: r.moreKnown}
	if r.moreKnown {
		end.Events = 0 // None since the one that was begun.
	}
	if end.Verdict() != eventstream.Whole {
		return fault.New(fault.Truncated, "stream ended without the event that was begun before")
	}
	r.rec.Answer.Append(bytes.Clone(last))
	return nil
}

// cancelOnEngine cancels a request on the engine because no process waits for its answer.
func (a *Agent) cancelOnEngine(d *dispatch.Dispatch) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(a.lifetime, timeout)
	defer cancel()
	if d.Digest != "" {
		a.engine.Cancel(ctx, engineRequestID(d.ID))
	}
}
