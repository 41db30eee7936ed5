package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// proxy is the link to one replica. While it is cut it passes on nothing and opens nothing, and when the
// cut heals it passes on what was sent meanwhile, as the kernels at both ends would.
type proxy struct {
	ln net.Listener
	to string
	// roundTrip, if set, is that of the link: what a cut held back comes as TCP sends it again, one segment
	// first, and twice as many after each round trip, the end of the connection with the last one.
	roundTrip time.Duration

	mu     sync.Mutex
	healed chan struct{} // Closed while the link is not cut.
}

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, healed: make(chan struct{})}
	close(p.healed)
	go p.run()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// wait waits until the link is not cut, and reports whether it was.
func (p *proxy) wait() (held bool) {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	select {
	case <-healed:
		return false
	default:
	}
	<-healed
	return true
}

// sendAgain passes on what a cut has held back, but for the last segment: it returns how much of b that is,
// and the end of the connection if that was held back as well.
func (p *proxy) sendAgain(to, from *net.TCPConn, b []byte, n int) (int, error) {
	const segment = 1448
	const settle = 5 * time.Millisecond // What was sent during the cut lies in this socket.
	var err error
	_ = from.SetReadDeadline(time.Now().Add(settle))
	for err == nil && n < len(b) {
		var more int
		more, err = from.Read(b[n:])
		n += more
	}
	_ = from.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	sent := 0
	for segments := 1; n-sent > segments*segment; segments *= 2 {
		if _, werr := to.Write(b[sent : sent+segments*segment]); werr != nil {
			return 0, werr
		}
		sent += segments * segment
		time.Sleep(p.roundTrip)
	}
	return copy(b, b[sent:n]), err
}

func (p *proxy) run() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	p.wait()
	nc, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.SetLinger(0) // Nobody listens: the caller is refused or reset.
		return
	}
	up := nc.(*net.TCPConn)
	defer func() { _ = up.Close() }()
	var both sync.WaitGroup
	both.Go(func() { p.pass(up, c) })
	both.Go(func() { p.pass(c, up) })
	both.Wait()
}

// pass passes on what from sends, and its end: a reset as a reset.
func (p *proxy) pass(to, from *net.TCPConn) {
	const size = 32 << 10
	b := make([]byte, size)
	for {
		n, err := from.Read(b)
		if held := p.wait(); held && err == nil && p.roundTrip > 0 {
			n, err = p.sendAgain(to, from, b, n)
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
