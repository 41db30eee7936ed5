package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// Dials after a failed one end sooner. An origin that was away without refusing connections was
// asked again up to 0.6 s after its return, since boxes still waited for dials from before it.
func TestRetryDialer(t *testing.T) {
	is := is.New(t)
	var short []bool // Whether each dial had the shorter timeout.
	var result error
	d := &RetryDialer{Connect: func(ctx context.Context, _ string) (net.Conn, error) {
		deadline, ok := ctx.Deadline()
		short = append(short, ok && time.Until(deadline) <= startupDialTimeout)
		return nil, result
	}}
	for _, err := range []error{nil, fault.New(fault.Unreachable, "away"), fault.New(fault.Unreachable, "away"), nil, nil} {
		result = err
		_, got := d.DialContext(context.Background(), "tcp", "origin:1")
		is.Equal(got, err)
	}
	is.Equal(short, []bool{false, false, true, true, false})
}
