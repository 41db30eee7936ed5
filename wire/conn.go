package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/poststand/poststand/fault"
)

// Options sets limits and hooks of a connection. The zero value has safe defaults.
type Options struct {
	MaxFrame     int           // Greatest size of a body in bytes; 9 MiB by default.
	MaxStreams   int           // Greatest number of open streams opened by the peer; 4096 by default.
	StreamBuffer int           // Messages buffered for each stream; 512 by default.
	WriteQueue   int           // Frames waiting to be written; 128 by default.
	BufferSize   int           // Size of the read and write buffers; 8 KiB by default.
	PingInterval time.Duration // Idle time after which a ping is sent; 5 s by default.
	StallTimeout time.Duration // Time without data from the peer after which the connection fails; 15 s by default.
	// PingIntervalFor, if set, returns the current PingInterval for a peer, with a
	// StallTimeout of maxMissedPings intervals. If it returns zero, the two fields above
	// apply.
	PingIntervalFor  func(peer Hello) time.Duration
	HandshakeTimeout time.Duration // 5 s by default.
	OnFault          func(c fault.Code)
	OnTraffic        func(sent, received int) // Called with the bytes of each frame, including its header.
}

func (o Options) withDefaults() Options {
	o.MaxFrame = intOrDefault(o.MaxFrame, 9<<20)
	o.MaxStreams = intOrDefault(o.MaxStreams, 4096)
	o.StreamBuffer = intOrDefault(o.StreamBuffer, 512)
	o.WriteQueue = intOrDefault(o.WriteQueue, 128)
	o.BufferSize = intOrDefault(o.BufferSize, 8<<10)
	o.PingInterval = durationOrDefault(o.PingInterval, 5*time.Second)
	o.StallTimeout = durationOrDefault(o.StallTimeout, 15*time.Second)
	o.HandshakeTimeout = durationOrDefault(o.HandshakeTimeout, 5*time.Second)
	if o.OnFault == nil {
		o.OnFault = func(fault.Code) {}
	}
	if o.OnTraffic == nil {
		o.OnTraffic = func(int, int) {}
	}
	return o
}

func intOrDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}

func durationOrDefault(v, d time.Duration) time.Duration {
	if v == 0 {
		return d
	}
	return v
}

const headerSize = 4 + 1 + 8

// maxMissedPings is how many pings may go unanswered if Options.PingIntervalFor is set.
const maxMissedPings = 4

func (c *Conn) pingInterval() time.Duration {
	if interval := c.peerPingInterval(); interval > 0 {
		return interval
	}
	return c.opts.PingInterval
}

func (c *Conn) stallTimeout() time.Duration {
	if interval := c.peerPingInterval(); interval > 0 {
		return maxMissedPings * interval
	}
	return c.opts.StallTimeout
}

// peerPingInterval returns the result of Options.PingIntervalFor for the peer, or zero.
func (c *Conn) peerPingInterval() time.Duration {
	if c.opts.PingIntervalFor == nil {
		return 0
	}
	return c.opts.PingIntervalFor(c.remote)
}

type frame struct {
	kind   Kind
	stream uint64
	body   []byte
}

// Conn is one connection to a peer process. Its methods are safe for concurrent use.
type Conn struct {
	nc       net.Conn
	codec    *Codec
	handlers *Handlers
	opts     Options
	remote   Hello
	out      chan frame
	ctx      context.Context // Done when the connection ends.
	cancel   context.CancelCauseFunc
	nextID   atomic.Uint64

	mu           sync.Mutex
	streams      map[uint64]*Stream
	openedByPeer int // Streams opened by the peer that are still being served.
	// pingSentAt is when the oldest unanswered ping was sent; zero if none is unanswered.
	pingSentAt time.Time
	rtt        time.Duration // Round-trip time of the last answered ping.
}

// NewConn exchanges Hellos over nc, checks that of the peer and starts the connection's
// goroutines. The dialling end passes dialler true. On failure nc is closed. The connection
// lasts until Close, an error, or the end of ctx.
func NewConn(ctx context.Context, nc net.Conn, local Hello, codec *Codec, h *Handlers, dialler bool, opts Options) (*Conn, error) {
	c := &Conn{nc: nc, codec: codec, handlers: h, opts: opts.withDefaults(), streams: map[uint64]*Stream{}}
	c.out = make(chan frame, c.opts.WriteQueue)
	if dialler {
		c.nextID.Store(1)
	}
	r := bufio.NewReaderSize(nc, c.opts.BufferSize)
	if err := c.handshake(r, local); err != nil {
		c.opts.OnFault(fault.CodeOf(err))
		_ = nc.Close()
		return nil, err
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	go c.readLoop(r)
	go c.writeLoop()
	context.AfterFunc(c.ctx, func() { _ = nc.Close() })
	return c, nil
}

func (c *Conn) handshake(r *bufio.Reader, local Hello) error {
	if err := c.nc.SetDeadline(time.Now().Add(c.opts.HandshakeTimeout)); err != nil {
		return fault.Wrap(fault.ConnectionLost, err, "set deadline")
	}
	local.Magic, local.Protocol = magic, Protocol
	sent := make(chan error, 1)
	go func() { sent <- c.sendHello(local) }()
	remote, err := c.readHello(r)
	if err != nil {
		return err
	}
	if err := remote.check(local); err != nil {
		return err
	}
	if err := <-sent; err != nil {
		return err
	}
	c.remote = remote
	return nil
}

func (c *Conn) sendHello(local Hello) error {
	b, err := marshal(&local)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(appendFrame(nil, frame{kind: kindHello, body: b})); err != nil {
		return fault.Wrap(fault.ConnectionLost, err, "send hello")
	}
	return nil
}

func (c *Conn) readHello(r *bufio.Reader) (Hello, error) {
	const maxHello = 4 << 10
	f, err := readFrame(r, maxHello)
	if err != nil {
		return Hello{}, err
	}
	var h Hello
	if f.kind != kindHello || msgpack.Unmarshal(f.body, &h) != nil {
		return Hello{}, fault.New(fault.Garbage, "first frame is not a hello")
	}
	return h, nil
}

// Remote returns the peer's Hello.
func (c *Conn) Remote() Hello { return c.remote }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close ends the connection and every stream on it.
func (c *Conn) Close() { c.cancel(fault.New(fault.ConnectionLost, "connection closed locally")) }

func (c *Conn) cause() error {
	err := context.Cause(c.ctx)
	if fault.CodeOf(err) == fault.Internal {
		return fault.Wrap(fault.ConnectionLost, err, "")
	}
	return err
}

func appendFrame(b []byte, f frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.body)))
	b = append(b, byte(f.kind))
	b = binary.BigEndian.AppendUint64(b, f.stream)
	return append(b, f.body...)
}

func readFrame(r io.Reader, maxBody int) (frame, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, ioError(err)
	}
	n := int(binary.BigEndian.Uint32(h[:4]))
	if n > maxBody {
		return frame{}, fault.New(fault.TooLarge, "frame")
	}
	body, err := readBody(r, n)
	if err != nil {
		return frame{}, ioError(err)
	}
	return frame{kind: Kind(h[4]), stream: binary.BigEndian.Uint64(h[5:]), body: body}, nil
}

// readBody reads n bytes. Its buffer grows with what has come, since a peer may announce a body and never send it.
func readBody(r io.Reader, n int) ([]byte, error) {
	const firstBytes = 64 << 10
	body := make([]byte, min(n, firstBytes))
	for read := 0; ; {
		if _, err := io.ReadFull(r, body[read:]); err != nil {
			return nil, err
		}
		if len(body) == n {
			return body, nil
		}
		read = len(body)
		larger := make([]byte, min(n, 2*read))
		copy(larger, body)
		body = larger
	}
}

// ioError returns the typed error for a failed read or write of the connection.
func ioError(err error) error {
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return fault.Wrap(fault.LinkStalled, err, "read")
	}
	return fault.Wrap(fault.ConnectionLost, err, "read")
}

func (c *Conn) readLoop(r *bufio.Reader) {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(c.stallTimeout()))
		f, err := readFrame(r, c.opts.MaxFrame)
		if err != nil {
			c.fail(err)
			return
		}
		c.opts.OnTraffic(0, headerSize+len(f.body))
		if err := c.receive(f); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *Conn) fail(err error) {
	if c.ctx.Err() == nil {
		c.opts.OnFault(fault.CodeOf(err))
	}
	c.cancel(err)
}

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, c.opts.BufferSize)
	ping := time.NewTimer(c.pingInterval())
	defer ping.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.out:
			if err := c.writeAll(w, f); err != nil {
				c.fail(err)
				return
			}
		case <-ping.C:
			c.pingSent(time.Now())
			if err := c.writeAll(w, frame{kind: kindPing}); err != nil {
				c.fail(err)
				return
			}
		}
		ping.Reset(c.pingInterval())
	}
}

// pingSent records that a ping is being sent.
func (c *Conn) pingSent(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pingSentAt.IsZero() {
		c.pingSentAt = now
	}
}

// pingAnswered records the answer to a ping.
func (c *Conn) pingAnswered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pingSentAt.IsZero() {
		c.rtt, c.pingSentAt = now.Sub(c.pingSentAt), time.Time{}
	}
}

// RTT returns the round-trip time of the last ping, or the time since a ping that is still
// unanswered if that is longer. Zero means not known. Pings are sent only while the connection
// is idle.
func (c *Conn) RTT(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pingSentAt.IsZero() {
		return max(c.rtt, now.Sub(c.pingSentAt))
	}
	return c.rtt
}

// writeAll writes f and all other queued frames, then flushes once.
func (c *Conn) writeAll(w *bufio.Writer, f frame) error {
	for {
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.stallTimeout()))
		c.opts.OnTraffic(headerSize+len(f.body), 0)
		if _, err := w.Write(appendFrame(make([]byte, 0, headerSize+len(f.body)), f)); err != nil {
			return ioError(err)
		}
		select {
		case f = <-c.out:
			continue
		default:
		}
		if err := w.Flush(); err != nil {
			return ioError(err)
		}
		return nil
	}
}

func (c *Conn) enqueue(ctx context.Context, f frame) error {
	select {
	case c.out <- f:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Cancelled, context.Cause(ctx), "send")
	case <-c.ctx.Done():
		return c.cause()
	}
}
