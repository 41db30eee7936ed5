// Package simnet fakes links for tests that run real code in virtual time.
//
// A Network joins named ends with net.Pipe. Every end has an up and a down
// Link, which may be one and the same, of a given rate; bytes reserve time on
// both in turn. Pairs of ends can be cut, which refuses and closes, or stalled,
// which lets nothing through and closes nothing; open connections can go silent for
// good while new ones work.
package simnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/poststand/poststand/fault"
)

// Link carries bytes one after another at a rate.
type Link struct {
	Rate float64 // Bytes a second; 0 is no limit.

	mu   sync.Mutex
	free time.Time
	sent int64
}

// reserve books n bytes from a time on and returns when they have passed.
func (l *Link) reserve(at time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent += int64(n)
	if l.Rate == 0 {
		return at
	}
	if l.free.Before(at) {
		l.free = at
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.Rate * float64(time.Second)))
	return l.free
}

// SetRate changes the rate from now on.
func (l *Link) SetRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Rate = rate
}

// Sent returns the bytes that the link has carried.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// Carry takes n bytes over the up link and then the down link, in segments, and
// returns when they have arrived. The next segment goes up while the one before
// comes down. Time on a link is only ever booked from now on, so that a sender
// that waits for one link leaves no gap on the other.
func Carry(up, down *Link, n int) {
	const segment = 2 << 10
	arrived := time.Now()
	for n > 0 {
		part := min(n, segment)
		n -= part
		time.Sleep(time.Until(up.reserve(time.Now(), part)))
		time.Sleep(time.Until(arrived))
		arrived = down.reserve(time.Now(), part)
	}
	time.Sleep(time.Until(arrived))
}

// End is one process of a Network.
type End struct {
	Name  string
	Up    *Link
	Down  *Link
	Serve func(ctx context.Context, nc net.Conn) // Takes connections from others.

	ctx    context.Context
	cancel context.CancelFunc
}

// Network joins ends. Set its fields before use.
type Network struct {
	Latency func(from, to string) time.Duration
	// Small is the size below which a write rides free of the links' rates. It
	// keeps control messages, which are counted, from weighing as much against
	// the small chunks of a test as they never would against real ones.
	Small int

	mu      sync.Mutex
	ends    map[string]*End
	cut     map[[2]string]bool
	stalled map[[2]string]bool
	wake    chan struct{}
	open    map[*path]bool // Connections that may still carry something.
	control int64
}

// path is what the two sides of one connection share.
type path struct {
	from, to string
	lost     [2]atomic.Bool // What goes there, and what comes back, is lost.
	ends     [2]net.Conn
}

// Add joins an end, or puts a new one in the place of an old one.
func (n *Network) Add(e *End) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ends == nil {
		n.ends = map[string]*End{}
		n.cut, n.stalled = map[[2]string]bool{}, map[[2]string]bool{}
		n.wake = make(chan struct{})
		n.open = map[*path]bool{}
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	n.ends[e.Name] = e
}

// Remove takes an end out, as when its box dies: its connections close.
func (n *Network) Remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.ends[name]; e != nil {
		e.cancel()
		delete(n.ends, name)
	}
}

// Control returns the bytes of small writes so far.
func (n *Network) Control() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut refuses connections between two ends, and closes theirs, until healed.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = cut
	close(n.wake)
	n.wake = make(chan struct{})
}

// Stall lets nothing through between two ends and closes nothing.
func (n *Network) Stall(a, b string, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled[pairOf(a, b)] = stalled
	close(n.wake)
	n.wake = make(chan struct{})
}

// Silence has open connections carry nothing any more, in either direction and without a
// reset: what is written on them is lost, and that one side closes does not show on the
// other. New connections work. It concerns those from one end to another for which which
// reports true; nil is all.
func (n *Network) Silence(which func(from, to string) bool) { n.lose(which, there, back) }

// SilenceFromDialer is Silence for what those who opened a connection send on it;
// what they are sent still comes.
func (n *Network) SilenceFromDialer(which func(from, to string) bool) { n.lose(which, there) }

// SilenceToDialer is Silence for what those who opened a connection are sent on it.
func (n *Network) SilenceToDialer(which func(from, to string) bool) { n.lose(which, back) }

// Reset closes open connections for both sides, and what is on its way is lost.
func (n *Network) Reset(which func(from, to string) bool) {
	for _, p := range n.found(which) {
		n.over(p)
		_, _ = p.ends[there].Close(), p.ends[back].Close()
	}
}

// The directions of a connection.
const (
	there = iota
	back
)

func (n *Network) lose(which func(from, to string) bool, ways ...int) {
	for _, p := range n.found(which) {
		for _, w := range ways {
			p.lost[w].Store(true)
		}
		if p.lost[there].Load() && p.lost[back].Load() {
			n.over(p)
		}
	}
}

// found returns the open connections for which which reports true; nil is all.
func (n *Network) found(which func(from, to string) bool) []*path {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*path
	for p := range n.open {
		if which == nil || which(p.from, p.to) {
			out = append(out, p)
		}
	}
	return out
}

// begin notes a connection that is open from now on.
func (n *Network) begin(from, to string, ends [2]net.Conn) *path {
	p := &path{from: from, to: to, ends: ends}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[p] = true
	return p
}

// over notes that a connection carries nothing any more.
func (n *Network) over(p *path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, p)
}

func (n *Network) state(a, b string) (cut, stalled bool, wake chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pairOf(a, b)], n.stalled[pairOf(a, b)], n.wake
}

// Dial connects two ends by name.
func (n *Network) Dial(_ context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	a, b := n.ends[from], n.ends[to]
	n.mu.Unlock()
	if cut, _, _ := n.state(from, to); a == nil || cut {
		return nil, fault.New(fault.Unreachable, to)
	}
	if b == nil || b.Serve == nil {
		return nil, fault.Wrap(fault.Unreachable, syscall.ECONNREFUSED, to)
	}
	near, far := net.Pipe()
	p := n.begin(from, to, [2]net.Conn{near, far})
	here := &conn{Conn: near, net: n, shared: p, from: a, to: b, ended: make(chan struct{}), refused: make(chan struct{})}
	answering := &conn{Conn: far, net: n, shared: p, way: back, from: b, to: a, ended: make(chan struct{}), refused: make(chan struct{})}
	context.AfterFunc(a.ctx, func() { here.dies(answering) })
	context.AfterFunc(b.ctx, func() { answering.dies(here) })
	go b.Serve(b.ctx, answering)
	return here, nil
}
