package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/link"
)

// Idle times of connections to upstreams.
const (
	defaultIdle        = 1500 * time.Millisecond // Idle limit where the upstream sends no Keep-Alive timeout.
	idleMargin         = 700 * time.Millisecond  // Subtracted from the timeout that the upstream sends.
	maxIdle            = 20 * time.Second
	maxIdleUnsafe      = 400 * time.Millisecond // Idle limit for requests that may not be repeated.
	maxIdlePerUpstream = 64
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	r             *bufio.Reader
	idleSince     time.Time
	reusableUntil time.Time
	uses          int
	seenOpenAt    time.Time       // When the connection was last seen open before a request; zero if that can't be told.
	waitedAt      time.Time       // When a read last found it open and without data; zero before.
	raw           syscall.RawConn // Set by rawConn.
	// headLeft, if set, is how many more bytes may be read while the header of an answer is read.
	headLeft *int
}

// abort closes a connection whose request was abandoned. Bytes that have not left the box are
// dropped, so that they do not reach the upstream later.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// connPool keeps idle connections to upstreams. Dial defaults to link.DialReplica.
type connPool struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[fleet.Incarnation][]*conn // Keyed by incarnation of the upstream; the most recently used is last.
}

// get returns a connection that was idle for less than idleLimit, or a new one. If dialling
// fails, the request has not run.
func (p *connPool) get(ctx context.Context, to fleet.Incarnation, addr string, idleLimit time.Duration) (*conn, error) {
	for {
		c := p.take(to)
		if c == nil {
			break
		}
		now := time.Now()
		if now.Before(c.reusableUntil) && now.Sub(c.idleSince) < idleLimit && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dialNew(ctx, addr)
}

// dialNew returns a new connection.
func (p *connPool) dialNew(ctx context.Context, addr string) (*conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = link.DialReplica
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, addr)
	}
	const buffer = 8 << 10
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, buffer)
	return c, nil
}

func (p *connPool) take(from fleet.Incarnation) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[from]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[from] = cs[:len(cs)-1]
	return c
}

// put returns a connection to the pool after its answer is complete.
func (p *connPool) put(to fleet.Incarnation, c *conn, idleTimeout time.Duration) {
	now := time.Now()
	c.idleSince, c.reusableUntil = now, now.Add(idleTimeout)
	c.uses++
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[fleet.Incarnation][]*conn{}
	}
	poolFull := len(p.idle[to]) >= maxIdlePerUpstream
	if !poolFull {
		p.idle[to] = append(p.idle[to], c)
	}
	p.mu.Unlock()
	if poolFull {
		_ = c.Close()
	}
}

// sweep closes connections that have been idle for too long and those to upstreams that are no
// longer used.
func (p *connPool) sweep(now time.Time, inUse func(inc fleet.Incarnation) bool) {
	var expired []*conn
	p.mu.Lock()
	for inc, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if inUse(inc) && now.Before(c.reusableUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[inc] = kept
		if len(kept) == 0 {
			delete(p.idle, inc)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// isQuiet reports whether the upstream has neither sent anything nor closed the connection
// since the last answer. Data received while idle belongs to no request. A connection that is not
// quiet must be closed: its error may have been taken.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	quiet, known := c.isOpenWithoutData()
	if quiet && known {
		c.seenOpenAt = time.Now()
	}
	return quiet
}

// isOpenWithoutData reports whether the other end of the connection has neither sent unread data nor
// closed it; known is false if that can't be told.
func (c *conn) isOpenWithoutData() (quiet, known bool) {
	if q, ok := c.Conn.(interface{ Quiet() bool }); ok {
		return q.Quiet(), true
	}
	raw, err := c.rawConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported), !errors.Is(err, errors.ErrUnsupported)
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet, true
}

// keepAliveTimeout returns how long a connection may stay idle, given the upstream's
// Keep-Alive header.
func keepAliveTimeout(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			v = strings.TrimSpace(part)
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			return min(maxIdle, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
