package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a link to an address. It forwards connections, with a delay and a rate, and can stop
// forwarding or cut all connections.
type proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration
	rate     *rate // Shared by all connections of the links between two regions; nil for no limit.

	mu      sync.Mutex
	stalled chan struct{} // Closed when forwarding resumes; nil while it is not stalled.
	conns   map[net.Conn]bool
}

// rate is a limit on the bytes of several links together.
type rate struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// take waits until n bytes may be sent.
func (r *rate) take(n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	now := time.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(time.Duration(float64(n) / r.bytesPerSecond * float64(time.Second)))
	wait := r.freeAt.Sub(now)
	r.mu.Unlock()
	time.Sleep(wait)
}

// newProxy starts a link that listens at addr and leads to target.
func newProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.link(in)
	}
}

func (p *proxy) link(in net.Conn) {
	p.waitForward()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.add(in, out)
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(out, in) })
	wg.Go(func() { p.forward(in, out) })
	wg.Wait()
	p.remove(in, out)
}

// forward copies bytes until from ends, and passes on how it ended.
func (p *proxy) forward(to, from net.Conn) {
	const chunk = 4 << 10
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.rate.take(n)
			time.Sleep(p.delay)
			p.waitForward()
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.waitForward()
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				reset(to)
			}
			return
		}
	}
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) add(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		p.conns[c] = true
	}
}

func (p *proxy) remove(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// waitForward waits while the link is stalled.
func (p *proxy) waitForward() {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// stall stops forwarding until resume; connections stay open.
func (p *proxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled == nil {
		p.stalled = make(chan struct{})
	}
}

func (p *proxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled != nil {
		close(p.stalled)
		p.stalled = nil
	}
}

// cut resets all open connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resume()
	p.cut()
}
