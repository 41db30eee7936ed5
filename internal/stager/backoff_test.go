package stager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// An agent requests reports from its replica up to 25 times a second, and sends it pieces
// and orders. A replica that refused one of these calls and asked for a backoff of 1 s was
// sent 5 to 10 more calls within it. Whichever call starts the backoff, no call of any kind
// may be sent until it ends.
func TestReplicaBackoffIsRespected(t *testing.T) {
	ctx := context.Background()
	calls := map[string]func(rep Replica, c *ReplicaConn) error{
		"report": func(rep Replica, _ *ReplicaConn) error { _, err := rep.Report(ctx); return err },
		"order":  func(_ Replica, c *ReplicaConn) error { return c.Order(ctx, "m", 2, 0) },
		"order on a new connection": func(rep Replica, _ *ReplicaConn) error {
			c, err := rep.Connect(ctx)
			if err != nil {
				return err
			}
			return c.Order(ctx, "m", 2, 0)
		},
		"stage":  func(rep Replica, _ *ReplicaConn) error { return rep.Stage(ctx, "m", 0, nil) },
		"staged": func(rep Replica, _ *ReplicaConn) error { _, err := rep.ListStaged(ctx, "m"); return err },
		"read":   func(rep Replica, _ *ReplicaConn) error { _, err := rep.ReadStaged(ctx, "m", 0, 1); return err },
	}
	for name, first := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sent := 0
				answer := func() error {
					sent++
					if sent == 1 {
						return &fault.Error{Code: fault.Throttled, RetryAt: time.Now().Add(3 * time.Second)}
					}
					return nil
				}
				var b backoff
				rep := b.wrap(Replica{
					Report: func(context.Context) (Report, error) { return Report{}, answer() },
					Connect: func(context.Context) (*ReplicaConn, error) {
						return &ReplicaConn{Order: func(context.Context, string, uint64, uint64) error { return answer() }}, nil
					},
					Stage:      func(context.Context, string, int, []byte) error { return answer() },
					ListStaged: func(context.Context, string) ([]int, error) { return nil, answer() },
					ReadStaged: func(context.Context, string, int, int) ([]byte, error) { return nil, answer() },
				})
				c, err := rep.Connect(ctx)
				is.NoErr(err)
				is.Equal(fault.CodeOf(first(rep, c)), fault.Throttled)
				for range 29 {
					time.Sleep(100 * time.Millisecond)
					for _, call := range calls {
						is.Equal(fault.CodeOf(call(rep, c)), fault.UpstreamBackingOff)
					}
				}
				is.Equal(sent, 1)
				time.Sleep(100 * time.Millisecond)
				for _, call := range calls {
					is.NoErr(call(rep, c))
				}
				is.Equal(sent, 1+len(calls))
			})
		})
	}
}
