package wire

import (
	"context"
	"io"
	"reflect"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/poststand/poststand/fault"
)

// Stream is an ordered, bidirectional sequence of messages on a Conn.
type Stream struct {
	conn   *Conn
	id     uint64
	in     chan frame
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	sentLast bool
	gotLast  bool
}

// Handler serves a stream that the peer opened with m. The stream is closed
// when the handler returns.
type Handler func(ctx context.Context, s *Stream, m any)

// Handlers maps the types of messages to their handlers. The zero value has no handlers. It
// must not change once a connection uses it.
type Handlers struct {
	byType map[reflect.Type]Handler
}

// On registers fn as the handler for messages of type T.
func On[T any](h *Handlers, fn func(ctx context.Context, s *Stream, m *T)) {
	if h.byType == nil {
		h.byType = map[reflect.Type]Handler{}
	}
	h.byType[reflect.TypeFor[T]()] = func(ctx context.Context, s *Stream, m any) {
		fn(ctx, s, m.(*T))
	}
}

func (h *Handlers) find(m any) (Handler, bool) {
	if h == nil {
		return nil, false
	}
	fn, ok := h.byType[reflect.TypeOf(m).Elem()]
	return fn, ok
}

// Open starts a stream with m as its first message.
func (c *Conn) Open(ctx context.Context, m any) (*Stream, error) {
	s := c.newStream(c.nextID.Add(2))
	c.mu.Lock()
	c.streams[s.id] = s
	c.mu.Unlock()
	if err := s.Send(ctx, m); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Call opens a stream with m, returns the first reply and closes the stream.
func (c *Conn) Call(ctx context.Context, m any) (any, error) {
	s, err := c.Open(ctx, m)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	r, err := s.Recv(ctx)
	if err == io.EOF {
		return nil, fault.New(fault.ConnectionLost, "stream ended without a reply")
	}
	return r, err
}

func (c *Conn) newStream(id uint64) *Stream {
	s := &Stream{conn: c, id: id, in: make(chan frame, c.opts.StreamBuffer)}
	s.ctx, s.cancel = context.WithCancelCause(c.ctx)
	return s
}

// receive dispatches one frame from the peer. An error ends the connection.
func (c *Conn) receive(f frame) error {
	if f.kind == kindPing {
		c.answerPing(f)
		return nil
	}
	c.mu.Lock()
	s := c.streams[f.stream]
	c.mu.Unlock()
	if s == nil {
		return c.accept(f)
	}
	if f.kind == kindCancel {
		s.cancel(fault.New(fault.Cancelled, "by the peer"))
		return nil
	}
	if s.ctx.Err() != nil { // After a gap, a last message would pass for the end.
		c.opts.OnFault(fault.CodeOf(context.Cause(s.ctx)))
		return nil
	}
	select {
	case s.in <- f:
	default:
		c.opts.OnFault(fault.StreamOverflow)
		s.cancel(fault.New(fault.StreamOverflow, "stream buffer full: reader too slow"))
	}
	return nil
}

// answerPing answers a ping, so that the peer receives data as often as it asks for it. An
// answer has a nonzero stream number and is not answered in turn.
func (c *Conn) answerPing(f frame) {
	if f.stream != 0 {
		c.pingAnswered(time.Now())
		return
	}
	select {
	case c.out <- frame{kind: kindPing, stream: 1}:
	default: // A queued frame serves as the answer.
	}
}

// accept opens a stream for its first frame. A frame that cannot be a first frame, such as one
// for a stream that this end opened and has closed, is dropped and counted.
func (c *Conn) accept(f frame) error {
	openedHere := f.stream%2 == c.nextID.Load()%2
	if openedHere || f.kind == kindCancel || f.kind&^lastFlag < MinKind {
		c.opts.OnFault(fault.UnknownStream)
		return nil
	}
	m, err := c.codec.decode(f.kind&^lastFlag, f.body)
	if fault.Is(err, fault.Garbage) {
		return err
	}
	s := c.newStream(f.stream)
	if err != nil {
		c.refuse(s, err)
		return nil
	}
	fn, ok := c.handlers.find(m)
	if !ok {
		c.refuse(s, fault.New(fault.Unsupported, reflect.TypeOf(m).String()))
		return nil
	}
	c.mu.Lock()
	full := c.openedByPeer >= c.opts.MaxStreams
	if !full {
		c.openedByPeer++
		c.streams[s.id] = s
	}
	c.mu.Unlock()
	if full {
		c.refuse(s, fault.New(fault.Busy, "streams"))
		return nil
	}
	go c.run(s, fn, m)
	return nil
}

func (c *Conn) run(s *Stream, fn Handler, m any) {
	fn(s.ctx, s, m)
	s.Close()
	c.mu.Lock()
	c.openedByPeer--
	c.mu.Unlock()
}

// refuse sends an error without running a handler. It never blocks the read loop: if the write
// queue is full, the error is dropped and the peer's call times out.
func (c *Conn) refuse(s *Stream, err error) {
	c.opts.OnFault(fault.CodeOf(err))
	select {
	case c.out <- errorFrame(s.id, err):
	default:
	}
	s.cancel(err)
}

func errorFrame(id uint64, err error) frame {
	b, _ := marshal(&RemoteError{Code: fault.CodeOf(err), Detail: err.Error()})
	return frame{kind: kindError | lastFlag, stream: id, body: b}
}

// Send sends m.
func (s *Stream) Send(ctx context.Context, m any) error { return s.send(ctx, m, 0) }

// SendLast sends m and marks it as the last message of this direction.
func (s *Stream) SendLast(ctx context.Context, m any) error {
	s.mu.Lock()
	s.sentLast = true
	s.mu.Unlock()
	return s.send(ctx, m, lastFlag)
}

// Fail ends this direction of the stream with a typed error.
func (s *Stream) Fail(ctx context.Context, err error) error {
	s.mu.Lock()
	s.sentLast = true
	s.mu.Unlock()
	return s.conn.enqueue(ctx, errorFrame(s.id, err))
}

func (s *Stream) send(ctx context.Context, m any, flag Kind) error {
	k, b, err := s.conn.codec.encode(m)
	if err != nil {
		return err
	}
	if len(b) > s.conn.opts.MaxFrame {
		return fault.New(fault.TooLarge, "message")
	}
	if s.ctx.Err() != nil {
		return s.cause()
	}
	return s.conn.enqueue(ctx, frame{kind: k | flag, stream: s.id, body: b})
}

// Recv returns the next message. It returns io.EOF after the last one, and the peer's typed
// error if the peer refused or failed the stream.
func (s *Stream) Recv(ctx context.Context) (any, error) {
	if s.gotLast {
		return nil, io.EOF
	}
	select {
	case f := <-s.in:
		return s.decode(f)
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	// A select takes any case that is ready, so messages that came before the end may still be there.
	select {
	case f := <-s.in:
		return s.decode(f)
	default:
	}
	if s.ctx.Err() != nil {
		return nil, s.cause()
	}
	return nil, fault.Wrap(fault.Timeout, context.Cause(ctx), "receive")
}

func (s *Stream) decode(f frame) (any, error) {
	s.mu.Lock()
	s.gotLast = f.kind&lastFlag != 0
	s.mu.Unlock()
	k := f.kind &^ lastFlag
	if k != kindError {
		return s.conn.codec.decode(k, f.body)
	}
	var e RemoteError
	if err := msgpack.Unmarshal(f.body, &e); err != nil {
		return nil, fault.Wrap(fault.Garbage, err, "remote error")
	}
	return nil, &fault.Error{Code: e.Code, Detail: e.Detail}
}

func (s *Stream) cause() error {
	if s.conn.ctx.Err() != nil {
		return s.conn.cause()
	}
	return context.Cause(s.ctx)
}

// Close removes the stream. If neither end has finished, the peer is notified, and the context
// of its handler ends.
func (s *Stream) Close() {
	s.conn.mu.Lock()
	_, known := s.conn.streams[s.id]
	delete(s.conn.streams, s.id)
	s.conn.mu.Unlock()
	s.mu.Lock()
	finished := s.sentLast || s.gotLast
	s.mu.Unlock()
	if known && !finished && s.conn.ctx.Err() == nil {
		select {
		case s.conn.out <- frame{kind: kindCancel, stream: s.id}:
		default:
		}
	}
	s.cancel(fault.New(fault.ConnectionLost, "stream closed"))
}

// Finished reports whether the peer's last message has been received.
func (s *Stream) Finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gotLast
}

// Conn returns the connection that the stream is on.
func (s *Stream) Conn() *Conn { return s.conn }
