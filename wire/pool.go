package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// defaultRedialDelay is the default of Pool.RedialDelay.
const defaultRedialDelay = 300 * time.Millisecond

// Pool keeps one connection to each address. Set the exported fields before
// first use.
type Pool struct {
	Local       Hello
	Codec       *Codec
	Handlers    *Handlers
	Options     Options
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // TCP by default.
	Lifetime    context.Context                                          // Its end closes every connection.
	MaxAddrs    int                                                      // Addresses kept before unused ones are dropped; 4096 by default.
	RedialDelay time.Duration                                            // Time after a failure in which an address is not dialled; 300 ms by default.

	mu    sync.Mutex
	conns map[string]*poolEntry
}

// poolEntry is a connection that is established, being established, or failed and not retried
// until retryAt.
type poolEntry struct {
	ready   chan struct{}
	conn    *Conn
	err     error
	retryAt time.Time
}

// Get returns a live connection to addr, dialling if there is none. It fails at once during
// the redial delay after a failure.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	e, created := p.entry(addr)
	if created {
		p.connect(addr, e)
	}
	select {
	case <-e.ready:
		return e.conn, e.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Timeout, context.Cause(ctx), "dial "+addr)
	}
}

func (p *Pool) entry(addr string) (*poolEntry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*poolEntry{}
	}
	if e, ok := p.conns[addr]; ok && !e.replaceable() {
		return e, false
	}
	p.evict()
	e := &poolEntry{ready: make(chan struct{})}
	p.conns[addr] = e
	return e, true
}

// evict drops replaceable entries once the pool has reached MaxAddrs. The caller holds p.mu.
func (p *Pool) evict() {
	if len(p.conns) < intOrDefault(p.MaxAddrs, 4096) {
		return
	}
	for addr, e := range p.conns {
		if e.replaceable() {
			delete(p.conns, addr)
		}
	}
}

// replaceable reports whether the entry is finished and a new connection may be dialled.
func (e *poolEntry) replaceable() bool {
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

func (p *Pool) connect(addr string, e *poolEntry) {
	defer close(e.ready)
	e.conn, e.err = p.dial(addr)
	if e.err != nil {
		e.retryAt = time.Now().Add(p.redialDelay())
	}
}

func (p *Pool) redialDelay() time.Duration {
	if p.RedialDelay > 0 {
		return p.RedialDelay
	}
	return defaultRedialDelay
}

// dial connects to addr with its own deadline, independent of one caller's context, since others
// wait for the same result.
func (p *Pool) dial(addr string) (*Conn, error) {
	const dialTimeout = 2 * time.Second
	lifetime := p.Lifetime
	if lifetime == nil {
		lifetime = context.Background()
	}
	ctx, cancel := context.WithTimeout(lifetime, dialTimeout)
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
	return NewConn(lifetime, nc, p.Local, p.Codec, p.Handlers, true, p.Options)
}

// DialNew returns a new connection beside the pooled one, for a request that must not fail
// with the pooled connection. The caller closes it.
func (p *Pool) DialNew(ctx context.Context, addr string) (*Conn, error) {
	type dialResult struct {
		c   *Conn
		err error
	}
	done := make(chan dialResult, 1)
	go func() {
		c, err := p.dial(addr)
		done <- dialResult{c, err}
	}()
	select {
	case res := <-done:
		return res.c, res.err
	case <-ctx.Done():
		go func() {
			if res := <-done; res.c != nil {
				res.c.Close()
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

// Serve accepts connections until ctx ends, then closes ln. It accepts as a Listener does.
func (s *Server) Serve(ctx context.Context, inner net.Listener) error {
	ln := &Listener{inner, s.Options.withDefaults().OnFault}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	slots := make(chan struct{}, intOrDefault(s.MaxConns, 4096))
	for {
		nc, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(fault.ConnectionLost, err, "accept")
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
