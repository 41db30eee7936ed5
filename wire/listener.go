package wire

import (
	"errors"
	"net"
	"time"

	"github.com/poststand/poststand/fault"
)

// Listener is a listener whose Accept fails only when it is closed. While the process or the
// machine lacks descriptors or memory, it waits and tries again.
type Listener struct {
	net.Listener
	OnFault func(fault.Code) // Called for each failure to accept a connection; may be nil.
}

// Delays after failures to accept a connection. The first one is doubled with each further one.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// Listen returns a Listener at a TCP address.
func Listen(addr string, onFault func(fault.Code)) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, addr)
	}
	return &Listener{ln, onFault}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(maxAcceptDelay, 2*delay) {
		nc, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return nc, err
		}
		if l.OnFault != nil {
			l.OnFault(fault.AcceptFailed)
		}
		time.Sleep(delay)
	}
}
