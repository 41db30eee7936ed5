package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// redialAfter is how long a failed address is left alone.
const redialAfter = 300 * time.Millisecond

// Pool keeps one connection to each address. Set the exported fields before
// first use.
type Pool struct {
	Local       Hello
	Codec       *Codec
	Handlers    *Handlers
	Options     Options
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // TCP by default.
	Lifetime    context.Context                                          // Ends every connection.
	MaxAddrs    int                                                      // Addresses remembered beyond the live ones; 4096 by default.
	RedialDelay time.Duration                                            // An address is left alone so long after a failure; 250 ms by default.

	mu    sync.Mutex
	conns map[string]*pooled
}

// pooled is a connection that is there, being made, or failed until retryAt.
type pooled struct {
	ready   chan struct{}
	conn    *Conn
	err     error
	retryAt time.Time
}

// Get returns a live connection to addr, dialling if there is none. It fails
// at once while the address is left alone after a failure.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	e, mine := p.entry(addr)
	if mine {
		p.connect(addr, e)
	}
	select {
	case <-e.ready:
		return e.conn, e.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Timeout, context.Cause(ctx), "dial "+addr)
	}
}

func (p *Pool) entry(addr string) (*pooled, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*pooled{}
	}
	if e, ok := p.conns[addr]; ok && !e.spent() {
		return e, false
	}
	p.forget()
	e := &pooled{ready: make(chan struct{})}
	p.conns[addr] = e
	return e, true
}

// forget drops what is of no use once there is much of it. The caller holds p.mu.
func (p *Pool) forget() {
	if len(p.conns) < orInt(p.MaxAddrs, 4096) {
		return
	}
	for addr, e := range p.conns {
		if e.spent() {
			delete(p.conns, addr)
		}
	}
}

// spent reports whether a new connection may be tried.
func (e *pooled) spent() bool {
	select {
	case <-e.ready:
	default:
		return false
	}
	if e.err != nil {
		return time.Now().After(e.retryAt)
	}
	select {
	case <-e.conn.Done():
		return true
	default:
		return false
	}
}

func (p *Pool) connect(addr string, e *pooled) {
	defer close(e.ready)
	e.conn, e.err = p.dial(addr)
	if e.err != nil {
		e.retryAt = time.Now().Add(p.redial())
	}
}

func (p *Pool) redial() time.Duration {
	if p.RedialDelay > 0 {
		return p.RedialDelay
	}
	return redialAfter
}

// dial is bounded by its own deadline, since others wait for the same result.
func (p *Pool) dial(addr string) (*Conn, error) {
	const dialWithin = 2 * time.Second
	life := p.Lifetime
	if life == nil {
		life = context.Background()
	}
	ctx, cancel := context.WithTimeout(life, dialWithin)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, addr)
	}
	return NewConn(life, nc, p.Local, p.Codec, p.Handlers, true, p.Options)
}

// DialNew returns a new connection beside the pooled one, for a question that
// must not share the fate of the first. The caller closes it.
func (p *Pool) DialNew(ctx context.Context, addr string) (*Conn, error) {
	type made struct {
		c   *Conn
		err error
	}
	done := make(chan made, 1)
	go func() {
		c, err := p.dial(addr)
		done <- made{c, err}
	}()
	select {
	case m := <-done:
		return m.c, m.err
	case <-ctx.Done():
		go func() {
			if m := <-done; m.c != nil {
				m.c.Close()
			}
		}()
		return nil, fault.Wrap(fault.Timeout, context.Cause(ctx), "dial "+addr)
	}
}

// Drop closes the connection to addr, if there is one.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	e := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if e == nil {
		return
	}
	select {
	case <-e.ready:
		if e.conn != nil {
			e.conn.Close()
		}
	default:
	}
}

// Server accepts connections from peers.
type Server struct {
	Local    Hello
	Codec    *Codec
	Handlers *Handlers
	Options  Options
	MaxConns int // Connections at once; 4096 by default.
}

// Serve accepts until ctx ends, then closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	slots := make(chan struct{}, orInt(s.MaxConns, 4096))
	for {
		nc, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(fault.Closed, err, "accept")
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				s.ServeConn(ctx, nc)
			}()
		default:
			s.Options.withDefaults().OnFault(fault.Busy)
			_ = nc.Close()
		}
	}
}

// ServeConn serves a single connection until it ends.
func (s *Server) ServeConn(ctx context.Context, nc net.Conn) {
	c, err := NewConn(ctx, nc, s.Local, s.Codec, s.Handlers, false, s.Options)
	if err != nil {
		return
	}
	<-c.Done()
}
