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

// Times of connections to upstreams.
const (
	defaultIdle        = 1500 * time.Millisecond // Rest after which one is not used again, where the upstream says nothing,
	idleMargin         = 700 * time.Millisecond  // and how long before the time that it said.
	maxIdle            = 20 * time.Second
	maxIdleUnsafe      = 400 * time.Millisecond // For requests that must not be lost.
	maxIdlePerUpstream = 64
)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	net.Conn
	r             *bufio.Reader
	idleSince     time.Time // When it became idle.
	reusableUntil time.Time // It is not used again after this.
	uses          int
}

// abort ends a connection whose request was given up. Bytes of it that have not left
// the box are dropped, so that they do not reach the upstream later.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// connPool keeps idle connections by upstream. The zero value needs Dial.
type connPool struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[fleet.Incarnation][]*conn // By the life of the upstream, the last used last.
}

// get returns a connection that rested for less than rest, or a new one. A new
// one that cannot be had leaves the request not run.
func (p *connPool) get(ctx context.Context, to fleet.Incarnation, addr string, rest time.Duration) (*conn, error) {
	for {
		c := p.take(to)
		if c == nil {
			break
		}
		now := time.Now()
		if now.Before(c.reusableUntil) && now.Sub(c.idleSince) < rest && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	dial := p.Dial
	if dial == nil {
		dial = link.Dial
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, addr)
	}
	const buffer = 8 << 10
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, buffer)}, nil
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

// put keeps a connection whose answer is over for the next request.
func (p *connPool) put(to fleet.Incarnation, c *conn, rest time.Duration) {
	now := time.Now()
	c.idleSince, c.reusableUntil = now, now.Add(rest)
	c.uses++
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[fleet.Incarnation][]*conn{}
	}
	full := len(p.idle[to]) >= maxIdlePerUpstream
	if !full {
		p.idle[to] = append(p.idle[to], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// sweep closes what has rested for too long, and all to upstreams that are used no more.
func (p *connPool) sweep(now time.Time, uses func(l fleet.Incarnation) bool) {
	var old []*conn
	p.mu.Lock()
	for l, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if uses(l) && now.Before(c.reusableUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[l] = kept
		if len(kept) == 0 {
			delete(p.idle, l)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// isQuiet reports whether the upstream has neither sent anything nor ended the
// connection since the last answer. Bytes that came belong to no request.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepAliveTimeout is for how long a connection may rest, by the upstream's word of it.
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
