package relay

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A replica that was found alive may terminate right after: the probe says nothing of a connection that
// broke later. That it has terminated counts for all connections that break about then.
func TestProbeFromBeforeTheBreakProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		alive, dials := true, 0
		e := endProbes{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			if !alive {
				return nil, syscall.ECONNREFUSED
			}
			c, _ := net.Pipe()
			return c, nil
		}}
		is.True(!e.ended("r", "addr", time.Now()))
		is.True(!e.ended("r", "addr", time.Now().Add(-time.Second))) // Answered by the same probe.
		is.Equal(dials, 1)
		time.Sleep(10 * time.Millisecond)
		alive = false
		is.True(e.ended("r", "addr", time.Now()))
		is.Equal(dials, 2)
		time.Sleep(10 * time.Millisecond)
		is.True(e.ended("r", "addr", time.Now()))
		is.Equal(dials, 2)
	})
}

// The system closes the connections of a process that terminates before its listener, so that a probe in
// between is still accepted.
func TestProbeOfAListenerThatIsAboutToClose(t *testing.T) {
	for _, tc := range []struct {
		name   string
		closes time.Duration // When the accepted connection is closed; never if 0.
		ended  bool
	}{{"terminates", 5 * time.Millisecond, true}, {"lives", 0, false}, {"closes idle connections", time.Second, false}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				e := endProbes{Dial: func(context.Context, string) (net.Conn, error) {
					dials++
					if dials > 1 {
						return nil, syscall.ECONNREFUSED
					}
					c, accepted := net.Pipe()
					if tc.closes > 0 {
						time.AfterFunc(tc.closes, func() { _ = accepted.Close() })
					}
					return c, nil
				}}
				is.New(t).Equal(e.ended("r", "addr", time.Now()), tc.ended)
			})
		})
	}
}
