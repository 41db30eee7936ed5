// Package link dials TCP connections with short timeouts, keep-alive probes and a limit on
// unacknowledged data, so that a dead path to another process is detected within about a second.
// Connections to replicas are left open for longer: whoever sends a request decides what its
// silence means.
package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
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
	// replicaAckTimeout and replicaKeepAliveProbes are those of connections with requests to
	// replicas. A paused box or a full link acknowledges nothing for a while, and a request
	// whose connection is closed then is lost, so they are longer than callers wait.
	replicaAckTimeout      = 30 * time.Second
	replicaKeepAliveProbes = 30
	// idleKeepAliveInterval is the interval for connections that are many and mostly idle, and on
	// which a dead path is noticed by the timeouts of the requests sent there.
	idleKeepAliveInterval = 15 * time.Second
	// startupDialTimeout bounds each dial of a starting process, and those of a RetryDialer after
	// a failed one. A peer that is not up yet, or that many processes dial at once, may accept a
	// moment later, but the kernel would resend the SYN only after a second.
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

// RetryDialer dials a server that may be away. After a failed dial it uses a shorter timeout until
// one succeeds, so that a dial from before the server's return does not delay the next one.
type RetryDialer struct {
	Connect func(ctx context.Context, addr string) (net.Conn, error) // Establishes the connection; Dial if nil.
	failed  atomic.Bool
}

// DialContext connects to the server at addr.
func (d *RetryDialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	c, err := Dialer{Starting: d.failed.Load, Connect: d.Connect}.Dial(ctx, addr)
	d.failed.Store(err != nil)
	return c, err
}

// DialContext connects to another process or the platform.
func DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return dial(ctx, network, addr, ackTimeout, keepAliveInterval, keepAliveProbes)
}

// DialReset is DialContext for calls that change something. Closing the connection resets it: what has
// not been sent is dropped, and does not arrive after the call was given up.
func DialReset(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	return c, nil
}

// Dial is DialContext with network "tcp".
func Dial(ctx context.Context, addr string) (net.Conn, error) { return DialContext(ctx, "tcp", addr) }

// DialReplica connects to a replica, to send requests of callers.
func DialReplica(ctx context.Context, addr string) (net.Conn, error) {
	return dial(ctx, "tcp", addr, replicaAckTimeout, keepAliveInterval, replicaKeepAliveProbes)
}

// DialIdle connects to a process to which little is sent.
func DialIdle(ctx context.Context, addr string) (net.Conn, error) {
	return dial(ctx, "tcp", addr, ackTimeout, idleKeepAliveInterval, keepAliveProbes)
}

func dial(ctx context.Context, network, addr string, ackTimeout, keepAlive time.Duration, probes int) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: probes,
	}, Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, ackTimeout) }}
	return d.DialContext(ctx, network, addr)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
