package simnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// closeOnExit closes the connection when the process of this side ends. The other side notices
// unless the connection is silent.
func (c *conn) closeOnExit(other *conn) {
	if c.silent() && c.to.ctx.Err() == nil {
		_ = c.Close()
		return
	}
	c.net.removePath(c.path)
	_, _ = c.Conn.Close(), other.Conn.Close()
}

// maxInFlight is the number of writes in one direction that may wait between the two links, like
// in the buffers of a real network path.
const maxInFlight = 2

// conn is one side of a connection. It delays and delivers what this side writes; reads come from
// the pipe as they are.
type conn struct {
	net.Conn
	net           *Network
	path          *path
	direction     int
	from, to      *End
	startDelivery sync.Once
	queue         chan packet // Writes that are not yet delivered.
	closed        chan struct{}
	refused       chan struct{} // Closed when the other side accepts no more bytes.
	closeOnce     sync.Once
	readDeadline  time.Time   // Set by the goroutine that reads.
	dropPending   atomic.Bool // Close drops writes that are not yet delivered.
}

type packet struct {
	data  []byte
	due   time.Time // When its first byte reaches the other side.
	reset bool      // A reset arrives with it.
}

// silent reports whether what is written is lost.
func (c *conn) silent() bool { return c.path.lost[c.direction].Load() }

// Silent reports whether what is written is lost, which Write does not report.
func (c *conn) Silent() bool { return c.silent() }

// RemoteAddr implements net.Conn. It returns the name of the other end.
func (c *conn) RemoteAddr() net.Addr { return addr(c.to.Name) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "sim" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// SetLinger works like that of net.TCPConn: with 0, Close drops what was written and is not yet
// delivered.
func (c *conn) SetLinger(seconds int) error {
	c.dropPending.Store(seconds == 0)
	return nil
}

// Close implements net.Conn. What was written is still delivered, unless SetLinger(0) was called.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		c.startDelivery.Do(func() {}) // A later Write must not start the delivery.
		if !c.silent() && (c.queue == nil || c.dropPending.Load()) {
			err = c.closePipe()
			return
		}
		err = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return err
}

// closePipe closes the connection for the other side too, unless it is silent.
func (c *conn) closePipe() error {
	if c.silent() {
		return nil
	}
	c.net.removePath(c.path)
	if c.dropPending.Load() {
		c.path.reset[c.direction].Store(true)
	}
	return c.Conn.Close()
}

// takeReset reports whether the other side has reset the connection. Later calls report false.
func (c *conn) takeReset() bool { return c.path.reset[1-c.direction].Swap(false) }

// Quiet reports whether the other side has not closed the connection. Data that is on its way does not
// count. A reset that it finds is not reported again.
func (c *conn) Quiet() bool {
	open := c.isOpen()
	if !open {
		c.takeReset()
	}
	return open
}

// isOpen reports whether the other side has not closed the connection.
func (c *conn) isOpen() bool {
	if c.path.reset[1-c.direction].Load() {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_, err := c.Conn.Read(nil)
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	if c.isClosed() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case err == nil:
	case c.isClosed():
		err = net.ErrClosed
	case !errors.Is(err, os.ErrDeadlineExceeded) && c.takeReset():
		err = syscall.ECONNRESET
	}
	return n, err
}

// ReadNotingWait is Read. It calls waits before that if the connection is open.
func (c *conn) ReadNotingWait(b []byte, waits func()) (int, error) {
	if c.isOpen() {
		waits()
	}
	return c.Read(b)
}

// Write implements net.Conn. It returns once the bytes have passed the up link and the queue has
// room for them.
func (c *conn) Write(b []byte) (int, error) { return c.write(packet{data: append([]byte(nil), b...)}) }

// WriteAndReset writes b and closes the connection. The other side can read b, and finds the reset as soon
// as it has.
func (c *conn) WriteAndReset(b []byte) error {
	_, err := c.write(packet{data: append([]byte(nil), b...), reset: true})
	return errors.Join(err, c.Close())
}

func (c *conn) write(p packet) (int, error) {
	b := p.data
	if err := c.waitPassable(); err != nil {
		return 0, err
	}
	c.startDelivery.Do(func() {
		c.queue = make(chan packet, maxInFlight)
		go c.deliver()
	})
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
	case c.queue <- p:
		return len(b), nil
	case <-c.refused:
	case <-c.closed:
	case <-c.from.ctx.Done():
	case <-c.to.ctx.Done():
	}
	return 0, net.ErrClosed
}

// writeToPipe passes bytes that have arrived to the other side. It ignores the writer's deadline,
// which applies only until its bytes are queued.
func (c *conn) writeToPipe(b []byte) error {
	for {
		n, err := c.Conn.Write(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		b = b[n:]
		_ = c.SetWriteDeadline(time.Time{})
	}
}

// isClosed reports whether this side has closed the connection.
func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// waitPassable waits while the two ends are stalled, and fails if they are cut.
func (c *conn) waitPassable() error {
	for {
		cut, stalled, wake := c.net.linkState(c.from.Name, c.to.Name)
		if cut {
			_ = c.Close()
			return net.ErrClosed
		}
		if !stalled {
			return nil
		}
		select {
		case <-wake:
		case <-c.closed:
			return net.ErrClosed
		case <-c.from.ctx.Done():
			return net.ErrClosed
		case <-c.to.ctx.Done():
			return net.ErrClosed
		}
	}
}

// deliver transmits the queued writes over the down link, in order, until the connection closes
// or one of the processes ends.
func (c *conn) deliver() {
	for {
		p, ok := c.nextPacket()
		if !ok {
			return
		}
		time.Sleep(time.Until(p.due))
		if len(p.data) >= c.net.Small {
			time.Sleep(time.Until(c.to.Down.reserve(time.Now(), len(p.data))))
		}
		if c.dropPending.Load() && c.isClosed() {
			return
		}
		if c.silent() {
			continue
		}
		if p.reset {
			c.path.reset[c.direction].Store(true)
		}
		if c.writeToPipe(p.data) != nil {
			close(c.refused)
			return
		}
	}
}

// nextPacket waits for the next write. ok is false, and the connection closed for the other side, once this
// side has closed it and nothing is queued; ok is false too if one of the processes has ended.
func (c *conn) nextPacket() (p packet, ok bool) {
	select {
	case p = <-c.queue:
		return p, true
	case <-c.closed:
	case <-c.from.ctx.Done():
	case <-c.to.ctx.Done():
	}
	// A select takes any case that is ready, so writes may still be queued.
	select {
	case p = <-c.queue:
		return p, true
	default:
	}
	if c.isClosed() {
		_ = c.closePipe()
	}
	return packet{}, false
}
