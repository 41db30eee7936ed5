package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/fault"
)

// Bounds of an answer.
const (
	maxEvent   = 1 << 20 // Bytes of one event of a stream.
	maxAnswer  = 16 << 20
	maxTail    = 4 << 10 // After the last event of a stream.
	maxResumes = 3       // Times that a cut stream is resumed on the engine.
)

// endOfStream is the last event of a whole stream, as model callers know it.
var endOfStream = []byte("data: [DONE]")

// run takes a record from the queue to its end.
func (a *Agent) run(ctx context.Context, rec *dispatch.Record) {
	<-rec.Dequeued
	if rec.Reason != "" {
		return
	}
	err := a.execute(ctx, rec)
	if err != nil {
		a.Metrics.Failed("run_failed", err)
		rec.Answer.Fail(err)
	}
	a.gate.Finish(time.Now(), rec)
}

func engineID(id dispatch.RequestID) string {
	return fmt.Sprintf("%016x-%d-%d", id.Incarnation, id.Seq, id.Attempt)
}

// execute runs a request on the engine or plain service of this box. From here
// on the request may have run, whatever happens.
func (a *Agent) execute(ctx context.Context, rec *dispatch.Record) error {
	d := rec.Dispatch
	r := &runner{agent: a, rec: rec}
	resp, err := r.ask(ctx, 0)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if d.Digest != "" && resp.StatusCode >= http.StatusInternalServerError {
		return fault.New(fault.UpstreamFailed, resp.Status)
	}
	if err := r.sameVersion(resp); err != nil {
		return err
	}
	rec.Answer.Begin(&dispatch.AnswerHead{
		ID: d.ID, Digest: d.Digest, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
	})
	if d.Stream && resp.StatusCode == http.StatusOK {
		return r.stream(ctx, resp)
	}
	return r.whole(resp)
}

// runner holds one request while it runs.
type runner struct {
	agent  *Agent
	rec    *dispatch.Record
	events int // Events of a stream that were passed on.
}

// ask sends the request, or asks to resume it from an event on.
func (r *runner) ask(ctx context.Context, from int) (*http.Response, error) {
	d := r.rec.Dispatch
	h := http.Header{}
	h.Set("Content-Type", d.ContentType)
	h.Set(engine.HeaderRequest, engineID(d.ID))
	if d.Adapter != "" {
		h.Set(engine.HeaderAdapter, d.Adapter)
	}
	if from > 0 {
		h.Set(engine.HeaderResume, strconv.Itoa(from))
	}
	return r.agent.engine.Run(ctx, d.Method, d.Path, d.Body, h)
}

// sameVersion refuses an answer of any version but the one dispatched for.
func (r *runner) sameVersion(resp *http.Response) error {
	d := r.rec.Dispatch
	if d.Digest == "" || resp.StatusCode != http.StatusOK || resp.Header.Get(engine.HeaderDigest) == d.Digest {
		return nil
	}
	return fault.New(fault.MixedVersion, resp.Header.Get(engine.HeaderDigest))
}

func (r *runner) whole(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return fault.Wrap(fault.Truncated, err, "")
	}
	if len(data) > maxAnswer {
		return fault.New(fault.TooLarge, "answer")
	}
	const part = 256 << 10
	for len(data) > 0 {
		n := min(part, len(data))
		r.rec.Answer.Append(data[:n])
		data = data[n:]
	}
	r.rec.Answer.End()
	return nil
}

// stream passes events on, and resumes the stream where it was cut.
func (r *runner) stream(ctx context.Context, resp *http.Response) error {
	for resumes := 0; ; resumes++ {
		err := r.readEvents(resp.Body)
		if err == nil {
			r.rec.Answer.End()
			finishBody(resp.Body)
			return nil
		}
		_ = resp.Body.Close()
		if ctx.Err() != nil {
			r.agent.abandon(r.rec.Dispatch)
			return fault.Wrap(fault.Timeout, ctx.Err(), "")
		}
		if resumes >= maxResumes || r.events == 0 {
			return fault.Wrap(fault.Truncated, err, "")
		}
		r.agent.Metrics.Event("stream_resumed", "")
		if resp, err = r.ask(ctx, r.events); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			_ = resp.Body.Close()
			return fault.New(fault.Truncated, "resume: "+resp.Status)
		}
		if err := r.sameVersion(resp); err != nil {
			_ = resp.Body.Close()
			return err
		}
	}
}

// finishBody reads to the end of a body whose last event was seen, so that its
// connection can be used again, but does not wait for an engine that holds it.
func finishBody(body io.ReadCloser) {
	const within = 50 * time.Millisecond
	closed := time.AfterFunc(within, func() { _ = body.Close() })
	defer closed.Stop()
	_, _ = io.CopyN(io.Discard, body, maxTail)
	_ = body.Close()
}

// readEvents passes on whole events until the last one of the stream.
func (r *runner) readEvents(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4<<10), maxEvent)
	sc.Split(splitEvents)
	for sc.Scan() {
		event := bytes.Clone(sc.Bytes())
		r.rec.Answer.Append(append(event, "\n\n"...))
		if bytes.Equal(event, endOfStream) {
			return nil
		}
		r.events++
	}
	if err := sc.Err(); err != nil {
		return fault.Wrap(fault.Closed, err, "stream")
	}
	return fault.New(fault.Truncated, "no last event")
}

// splitEvents cuts at empty lines. A last event that has no end is not one.
func splitEvents(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i], nil
	}
	return 0, nil, nil
}

// abandon tells the engine that nobody waits any more.
func (a *Agent) abandon(d *dispatch.Dispatch) {
	const within = time.Second
	ctx, cancel := context.WithTimeout(a.life, within)
	defer cancel()
	if d.Digest != "" {
		a.engine.Cancel(ctx, engineID(d.ID))
	}
}
