package simnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// dies ends the connection since this side's process has. The other side notices, unless
// the connection is silent.
func (c *conn) dies(other *conn) {
	if c.silent() && c.to.ctx.Err() == nil {
		_ = c.Close()
		return
	}
	c.net.over(c.shared)
	_, _ = c.Conn.Close(), other.Conn.Close()
}

// inFlight is how many writes of one direction may be between the links, as in
// the buffers of a real path.
const inFlight = 2

// conn is one direction's writes with the delays of its path.
type conn struct {
	net.Conn
	net      *Network
	shared   *path
	way      int
	from, to *End
	once     sync.Once
	path     chan packet // Written and not yet delivered.
	ended    chan struct{}
	refused  chan struct{} // Closed when the other side takes nothing any more.
	end      sync.Once
	reset    atomic.Bool // Closing drops what is not yet delivered.
}

type packet struct {
	data []byte
	due  time.Time // When the first of it reaches the other side.
}

// silent reports whether what is written is lost.
func (c *conn) silent() bool { return c.shared.lost[c.way].Load() }

// Silent reports whether what is written is lost, of which who writes notices nothing.
func (c *conn) Silent() bool { return c.silent() }

// RemoteAddr implements net.Conn: it is the name of the other end.
func (c *conn) RemoteAddr() net.Addr { return addr(c.to.Name) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "sim" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// SetLinger is that of a net.TCPConn: with 0, closing the connection drops what was
// written and is not yet delivered.
func (c *conn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return nil
}

// Close implements net.Conn. What was written is still delivered, see SetLinger.
func (c *conn) Close() error {
	var err error
	c.end.Do(func() {
		close(c.ended)
		c.once.Do(func() {}) // Nothing can be written any more.
		if !c.silent() && (c.path == nil || c.reset.Load()) {
			err = c.closePipe()
			return
		}
		err = c.SetReadDeadline(time.Unix(1, 0))
	})
	return err
}

// closePipe shows the other side that the connection is over, unless it is silent.
func (c *conn) closePipe() error {
	if c.silent() {
		return nil
	}
	c.net.over(c.shared)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.isEnded() {
		err = net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It returns once the bytes have left on the up link
// and there is room on the path.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.passable(); err != nil {
		return 0, err
	}
	c.once.Do(func() {
		c.path = make(chan packet, inFlight)
		go c.deliver()
	})
	p := packet{data: append([]byte(nil), b...)}
	if len(b) >= c.net.Small {
		time.Sleep(time.Until(c.from.Up.reserve(time.Now(), len(b))))
	} else {
		c.net.mu.Lock()
		c.net.control += int64(len(b))
		c.net.mu.Unlock()
	}
	p.due = time.Now()
	if c.net.Latency != nil {
		p.due = p.due.Add(c.net.Latency(c.from.Name, c.to.Name))
	}
	select {
	case c.path <- p:
		return len(b), nil
	case <-c.refused:
	case <-c.ended:
	case <-c.from.ctx.Done():
	case <-c.to.ctx.Done():
	}
	return 0, net.ErrClosed
}

// hand gives the other side what has arrived there. The writer's deadline is over once
// its bytes are on the path.
func (c *conn) hand(b []byte) error {
	for {
		n, err := c.Conn.Write(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		b = b[n:]
		_ = c.SetWriteDeadline(time.Time{})
	}
}

// isEnded reports whether this side has closed the connection.
func (c *conn) isEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// passable waits while the pair is stalled, and fails when it is cut.
func (c *conn) passable() error {
	for {
		cut, stalled, wake := c.net.state(c.from.Name, c.to.Name)
		if cut {
			_ = c.Close()
			return net.ErrClosed
		}
		if !stalled {
			return nil
		}
		select {
		case <-wake:
		case <-c.ended:
			return net.ErrClosed
		case <-c.from.ctx.Done():
			return net.ErrClosed
		case <-c.to.ctx.Done():
			return net.ErrClosed
		}
	}
}

// deliver takes what was written over the down link, in order.
func (c *conn) deliver() {
	for {
		var p packet
		select {
		case p = <-c.path:
		default:
			select {
			case p = <-c.path:
			case <-c.ended:
				_ = c.closePipe()
				return
			case <-c.from.ctx.Done():
				return
			case <-c.to.ctx.Done():
				return
			}
		}
		time.Sleep(time.Until(p.due))
		if len(p.data) >= c.net.Small {
			time.Sleep(time.Until(c.to.Down.reserve(time.Now(), len(p.data))))
		}
		if c.reset.Load() && c.isEnded() {
			return
		}
		if c.silent() {
			continue
		}
		if c.hand(p.data) != nil {
			close(c.refused)
			return
		}
	}
}
