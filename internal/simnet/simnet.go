// Package simnet simulates a network for tests that run real code in virtual time.
//
// A Network connects named Ends, which stand for processes, by net.Pipe. Every End has an up and
// a down Link of a given rate, which may be one and the same; what is written reserves time on
// the sender's up link and then on the receiver's down link. Network.Latency adds the delay of
// the path.
//
// A Network also injects faults. Cut closes the connections between two ends and refuses new
// ones. Stall holds back everything between two ends and closes nothing. Silence makes open
// connections lose what is written on them, for good, while new connections work. Reset closes
// open connections and drops what is under way. Remove ends an End like the crash of a process.
//
// Transport is an http.RoundTripper that calls handlers without any network.
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

// Link transmits bytes one after another at a rate.
type Link struct {
	Rate float64 // In bytes per second; 0 means no limit.

	mu   sync.Mutex
	free time.Time
	sent int64
}

// reserve schedules the transmission of n bytes from a time on and returns when it ends.
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

// SetRate changes the rate for later transmissions.
func (l *Link) SetRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Rate = rate
}

// Sent returns the number of bytes that the link has transmitted.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// Carry transmits n bytes over the up link and then the down link, in segments, and returns when
// they have arrived. A segment passes the up link while the one before passes the down link. Time
// on a link is never reserved ahead of now, so that a sender that waits for one link leaves no
// gap on the other.
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

// End is one process in a Network.
type End struct {
	Name  string
	Up    *Link
	Down  *Link
	Serve func(ctx context.Context, nc net.Conn) // Serves a connection from another end; nil refuses connections.

	ctx    context.Context
	cancel context.CancelFunc
}

// Network connects ends. Set its fields before use.
type Network struct {
	// Latency, if set, returns the one-way delay between two ends.
	Latency func(from, to string) time.Duration
	// Small is the size below which a write does not use the rate of the links. Tests have far
	// smaller chunks than real deployments, against which control messages would otherwise take
	// an unrealistic share of a link. Bytes of such writes are counted, see Control.
	Small int

	mu      sync.Mutex
	ends    map[string]*End
	cut     map[[2]string]bool
	stalled map[[2]string]bool
	wake    chan struct{}
	open    map[*path]bool // Connections that are open and not silent in both directions.
	control int64
}

// path is the state that the two sides of a connection share.
type path struct {
	dialer, listener string
	lost             [2]atomic.Bool // By direction: whether what is written is lost.
	reset            [2]atomic.Bool // By direction: whether the sender has reset the connection and the receiver is not told yet.
	ends             [2]net.Conn
}

// Add adds an end, or replaces the one with the same name.
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

// Remove removes an end, as when its process is killed: its connections close.
func (n *Network) Remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.ends[name]; e != nil {
		e.cancel()
		delete(n.ends, name)
	}
}

// Refuse makes a node refuse new connections. Those that are open go on.
func (n *Network) Refuse(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.ends, name)
}

// Control returns the number of bytes of all writes smaller than Small.
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

// Cut closes the connections between two ends and refuses new ones, or allows them again. An
// open connection closes at its next write.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = cut
	close(n.wake)
	n.wake = make(chan struct{})
}

// Stall holds back what two ends write to each other, or lets it pass again. It closes nothing.
func (n *Network) Stall(a, b string, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled[pairOf(a, b)] = stalled
	close(n.wake)
	n.wake = make(chan struct{})
}

// Silence makes open connections lose, from now on, what is written on them in either direction.
// There is no reset: neither side notices, not even that the other closes. New connections work.
// It applies to the connections for whose dialer (from) and listener (to) selects reports true;
// nil selects all.
func (n *Network) Silence(selects func(from, to string) bool) {
	n.silence(selects, toListener, toDialer)
}

// SilenceFromDialer is Silence for what the dialer of a connection sends; what the listener sends
// still arrives.
func (n *Network) SilenceFromDialer(selects func(from, to string) bool) {
	n.silence(selects, toListener)
}

// SilenceToDialer is Silence for what the listener of a connection sends; what the dialer sends
// still arrives.
func (n *Network) SilenceToDialer(selects func(from, to string) bool) { n.silence(selects, toDialer) }

// Reset resets open connections for both sides and drops what is under way.
func (n *Network) Reset(selects func(from, to string) bool) {
	for _, p := range n.openPaths(selects) {
		n.removePath(p)
		p.reset[toListener].Store(true)
		p.reset[toDialer].Store(true)
		_, _ = p.ends[toListener].Close(), p.ends[toDialer].Close()
	}
}

// Directions of a connection, which also index the sending sides in path.ends.
const (
	toListener = iota
	toDialer
)

func (n *Network) silence(selects func(from, to string) bool, directions ...int) {
	for _, p := range n.openPaths(selects) {
		for _, d := range directions {
			p.lost[d].Store(true)
		}
		if p.lost[toListener].Load() && p.lost[toDialer].Load() {
			n.removePath(p)
		}
	}
}

// openPaths returns the open connections for which selects reports true; nil selects all.
func (n *Network) openPaths(selects func(from, to string) bool) []*path {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*path
	for p := range n.open {
		if selects == nil || selects(p.dialer, p.listener) {
			out = append(out, p)
		}
	}
	return out
}

// addPath records a new open connection.
func (n *Network) addPath(from, to string, ends [2]net.Conn) *path {
	p := &path{dialer: from, listener: to, ends: ends}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[p] = true
	return p
}

// removePath removes a connection that is closed or silent in both directions.
func (n *Network) removePath(p *path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, p)
}

// linkState returns whether two ends are cut off from each other or stalled, and a channel that is
// closed at the next change of any pair.
func (n *Network) linkState(a, b string) (cut, stalled bool, wake chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pairOf(a, b)], n.stalled[pairOf(a, b)], n.wake
}

// Dial connects two ends by name, and serves the connection at the second.
func (n *Network) Dial(_ context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	a, b := n.ends[from], n.ends[to]
	n.mu.Unlock()
	if cut, _, _ := n.linkState(from, to); a == nil || cut {
		return nil, fault.New(fault.Unreachable, to)
	}
	if b == nil || b.Serve == nil {
		return nil, fault.Wrap(fault.Unreachable, syscall.ECONNREFUSED, to)
	}
	dialerPipe, listenerPipe := net.Pipe()
	p := n.addPath(from, to, [2]net.Conn{dialerPipe, listenerPipe})
	dialerConn := &conn{Conn: dialerPipe, net: n, path: p, from: a, to: b, closed: make(chan struct{}), refused: make(chan struct{})}
	listenerConn := &conn{Conn: listenerPipe, net: n, path: p, direction: toDialer, from: b, to: a, closed: make(chan struct{}), refused: make(chan struct{})}
	context.AfterFunc(a.ctx, func() { dialerConn.closeOnExit(listenerConn) })
	context.AfterFunc(b.ctx, func() { listenerConn.closeOnExit(dialerConn) })
	go b.Serve(b.ctx, listenerConn)
	return dialerConn, nil
}
