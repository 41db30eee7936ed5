// Package link connects over TCP so that a dead path is noticed within about a
// second.
package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	dialWithin = 600 * time.Millisecond
	ackWithin  = 1200 * time.Millisecond // Bytes that are not acknowledged by then mean a dead path.
	probeEvery = time.Second
	probes     = 2
	// startWithin is how long a process that starts waits for another one: one that
	// is not there yet, or that everybody calls at once, may be a moment later, and
	// the kernel would ask again after a second.
	startWithin = 200 * time.Millisecond
)

// Dialer connects to other processes of the system.
type Dialer struct {
	// Starts reports whether this process has only just started, as far as the
	// others are concerned.
	Starts  func() bool
	Connect func(ctx context.Context, addr string) (net.Conn, error) // Dial by default.
}

// Dial connects to a process.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.Starts() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, startWithin)
		defer cancel()
	}
	if d.Connect != nil {
		return d.Connect(ctx, addr)
	}
	return Dial(ctx, addr)
}

// DialContext connects to an upstream, another process or the platform.
func DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialWithin, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes,
	}, Control: setUserTimeout}
	return d.DialContext(ctx, network, addr)
}

// Dial is DialContext over TCP.
func Dial(ctx context.Context, addr string) (net.Conn, error) { return DialContext(ctx, "tcp", addr) }

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackWithin.Milliseconds()))
	})
	return errors.Join(err, failed)
}
