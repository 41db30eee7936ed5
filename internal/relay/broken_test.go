package relay

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func TestWhoEnded(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	socketError := func(err error) error {
		return &net.OpError{Op: "read", Err: os.NewSyscallError("read", err)}
	}
	cases := []struct {
		name         string
		ctx          context.Context
		err          error
		pastDeadline bool
		want         endedBy
	}{
		{"closed", t.Context(), io.ErrUnexpectedEOF, false, endedByReplica},
		{"reset", t.Context(), socketError(syscall.ECONNRESET), false, endedByReplica},
		{"unacknowledged data", t.Context(), socketError(syscall.ETIMEDOUT), false, endedByKernel},
		{"unacknowledged data, at the deadline", t.Context(), socketError(syscall.ETIMEDOUT), true, endedByKernel},
		{"silent", t.Context(), os.ErrDeadlineExceeded, false, endedByGateway},
		{"silent until the deadline", t.Context(), os.ErrDeadlineExceeded, true, endedByDeadline},
		{"caller gone", cancelled, net.ErrClosed, false, endedByCaller},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(whoEnded(tc.ctx, tc.err, tc.pastDeadline), tc.want)
		})
	}
}
