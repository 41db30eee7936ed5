package simnet

import (
	"net"
	"sync"
)

// Listener is a listener that accepts the connections passed to Offer. Use NewListener.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns an open Listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Offer passes a connection to Accept. It returns once it is accepted.
func (l *Listener) Offer(nc net.Conn) { l.conns <- nc }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It fails when it is called again.
func (l *Listener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		close(l.closed)
		err = nil
	})
	return err
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// DelayedConn returns data that it has read after a delay, like a process that has read it from
// the kernel and is not scheduled to handle it yet.
type DelayedConn struct {
	net.Conn
	Delay func() // Waits.
}

// Read implements net.Conn.
func (c *DelayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 { // A server reads a single byte to detect that the caller has disconnected.
		c.Delay()
	}
	return n, err
}
