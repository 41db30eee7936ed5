package wire

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// scriptedListener fails with each of errs in turn, and then waits until it is closed.
type scriptedListener struct {
	net.Listener
	errs   []error
	closed chan struct{}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *scriptedListener) Close() error {
	close(l.closed)
	return nil
}

func TestServerOutlivesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shortages := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
		ln := &scriptedListener{errs: append(shortages, shortages...), closed: make(chan struct{})}
		var faults []fault.Code
		s := &Server{Options: Options{OnFault: func(c fault.Code) { faults = append(faults, c) }}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx, ln) }()
		time.Sleep(10 * maxAcceptDelay)
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatal("the server ended:", err)
		default:
		}
		is.Equal(len(faults), 2*len(shortages))
		cancel()
		is.NoErr(<-ended)
	})
}
