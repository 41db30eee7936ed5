// Package link dials TCP connections with short timeouts, keep-alive probes and a limit on
// unacknowledged data, so that a dead path is detected within about a second.
package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts and probes of connections.
const (
	dialTimeout       = 600 * time.Millisecond
	ackTimeout        = 1200 * time.Millisecond // Data that is unacknowledged for longer closes the connection.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// startupDialTimeout bounds each dial of a starting process. A peer that is not up yet,
	// or that many processes dial at once, may accept a moment later, but the kernel would
	// resend the SYN only after a second.
	startupDialTimeout = 200 * time.Millisecond
)

// Dialer connects to other processes of the system.
type Dialer struct {
	// Starting reports whether this process is still starting, so that dials use the
	// shorter startup timeout.
	Starting func() bool
	Connect  func(ctx context.Context, addr string) (net.Conn, error) // Establishes the connection; Dial if nil.
}

// Dial connects to a process at addr.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.Starting() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, startupDialTimeout)
		defer cancel()
	}
	if d.Connect != nil {
		return d.Connect(ctx, addr)
	}
	return Dial(ctx, addr)
}

// DialContext connects to an upstream, another process or the platform.
func DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}, Control: setUserTimeout}
	return d.DialContext(ctx, network, addr)
}

// Dial is DialContext with network "tcp".
func Dial(ctx context.Context, addr string) (net.Conn, error) { return DialContext(ctx, "tcp", addr) }

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
