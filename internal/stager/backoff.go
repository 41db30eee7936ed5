package stager

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
)

// backoff records until when the box's replica has asked its agent to send nothing. It
// applies to reports, staged pieces and orders alike. The zero value is no backoff.
type backoff struct {
	mu    sync.Mutex
	until time.Time
}

// check returns an error while the backoff lasts: nothing may be sent to the replica then.
func (b *backoff) check(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.until) {
		return &fault.Error{Code: fault.UpstreamBackingOff, RetryAt: b.until}
	}
	return nil
}

// observe starts a backoff if the error of a call asks for one, and returns the error.
func (b *backoff) observe(err error) error {
	until := fault.RetryAt(err)
	if until.IsZero() {
		return err
	}
	telemetry.Log("replica_rests", "for", time.Until(until), "reason", fault.CodeOf(err))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = times.Later(b.until, until)
	return err
}

// wrapConn is wrap for a connection.
func (b *backoff) wrapConn(c *ReplicaConn) *ReplicaConn {
	return &ReplicaConn{
		Order: func(ctx context.Context, model string, version, orders uint64) error {
			if err := b.check(time.Now()); err != nil {
				return err
			}
			return b.observe(c.Order(ctx, model, version, orders))
		},
		Close: c.Close,
	}
}

// wrap returns calls to a replica that fail without being sent while the backoff lasts.
func (b *backoff) wrap(rep Replica) Replica {
	return Replica{
		Report: func(ctx context.Context) (Report, error) {
			if err := b.check(time.Now()); err != nil {
				return Report{}, err
			}
			out, err := rep.Report(ctx)
			return out, b.observe(err)
		},
		Connect: func(ctx context.Context) (*ReplicaConn, error) {
			if err := b.check(time.Now()); err != nil {
				return nil, err
			}
			c, err := rep.Connect(ctx)
			if err != nil {
				return nil, err
			}
			return b.wrapConn(c), nil
		},
		Stage: func(ctx context.Context, model string, piece int, data []byte) error {
			if err := b.check(time.Now()); err != nil {
				return err
			}
			return b.observe(rep.Stage(ctx, model, piece, data))
		},
		ListStaged: func(ctx context.Context, model string) ([]int, error) {
			if err := b.check(time.Now()); err != nil {
				return nil, err
			}
			out, err := rep.ListStaged(ctx, model)
			return out, b.observe(err)
		},
		ReadStaged: func(ctx context.Context, model string, piece, maxBytes int) ([]byte, error) {
			if err := b.check(time.Now()); err != nil {
				return nil, err
			}
			out, err := rep.ReadStaged(ctx, model, piece, maxBytes)
			return out, b.observe(err)
		},
	}
}
