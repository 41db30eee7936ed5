package stager

import (
	"context"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/internal/times"
)

// rest is until when the box's replica has asked its agent to be left alone. It holds for
// looks at the replica, pieces and orders alike. The zero value is none.
type rest struct {
	mu    sync.Mutex
	until time.Time
}

// over returns an error while the replica rests: nothing may be sent to it then.
func (r *rest) over(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.until) {
		return &fault.Error{Code: fault.UpstreamResting, RetryAt: r.until}
	}
	return nil
}

// heard takes note of a call's failure that asks for rest, and returns it.
func (r *rest) heard(err error) error {
	until := fault.RetryAt(err)
	if until.IsZero() {
		return err
	}
	telemetry.Log("replica_rests", "for", time.Until(until), "reason", fault.CodeOf(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = times.Later(r.until, until)
	return err
}

// respect returns calls of a replica that are not made while it rests.
func (r *rest) respect(rep Replica) Replica {
	return Replica{
		Report: func(ctx context.Context) (Report, error) {
			if err := r.over(time.Now()); err != nil {
				return Report{}, err
			}
			out, err := rep.Report(ctx)
			return out, r.heard(err)
		},
		Order: func(ctx context.Context, model string, version, orders uint64) error {
			if err := r.over(time.Now()); err != nil {
				return err
			}
			return r.heard(rep.Order(ctx, model, version, orders))
		},
		Stage: func(ctx context.Context, model string, piece int, data []byte) error {
			if err := r.over(time.Now()); err != nil {
				return err
			}
			return r.heard(rep.Stage(ctx, model, piece, data))
		},
		ListStaged: func(ctx context.Context, model string) ([]int, error) {
			if err := r.over(time.Now()); err != nil {
				return nil, err
			}
			out, err := rep.ListStaged(ctx, model)
			return out, r.heard(err)
		},
		ReadStaged: func(ctx context.Context, model string, piece int) ([]byte, error) {
			if err := r.over(time.Now()); err != nil {
				return nil, err
			}
			out, err := rep.ReadStaged(ctx, model, piece)
			return out, r.heard(err)
		},
	}
}
