package stager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// An agent asks its replica how it stands up to 25 times a second, and gives it pieces and
// orders. A replica that turned one of these away and asked for 1 s of rest was sent 5 to 10
// more in it. Whatever call it asks in, none of any kind is made until then.
func TestReplicaThatAsksItsAgentForRestGetsIt(t *testing.T) {
	ctx := context.Background()
	calls := map[string]func(rep Replica) error{
		"report": func(rep Replica) error { _, err := rep.Report(ctx); return err },
		"order":  func(rep Replica) error { return rep.Order(ctx, "m", 2, 0) },
		"stage":  func(rep Replica) error { return rep.Stage(ctx, "m", 0, nil) },
		"staged": func(rep Replica) error { _, err := rep.ListStaged(ctx, "m"); return err },
		"read":   func(rep Replica) error { _, err := rep.ReadStaged(ctx, "m", 0); return err },
	}
	for name, first := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				made := 0
				answer := func() error {
					made++
					if made == 1 {
						return &fault.Error{Code: fault.Throttled, RetryAt: time.Now().Add(3 * time.Second)}
					}
					return nil
				}
				var r rest
				rep := r.respect(Replica{
					Report:     func(context.Context) (Report, error) { return Report{}, answer() },
					Order:      func(context.Context, string, uint64, uint64) error { return answer() },
					Stage:      func(context.Context, string, int, []byte) error { return answer() },
					ListStaged: func(context.Context, string) ([]int, error) { return nil, answer() },
					ReadStaged: func(context.Context, string, int) ([]byte, error) { return nil, answer() },
				})
				is.Equal(fault.CodeOf(first(rep)), fault.Throttled)
				for range 29 {
					time.Sleep(100 * time.Millisecond)
					for _, call := range calls {
						is.Equal(fault.CodeOf(call(rep)), fault.UpstreamResting)
					}
				}
				is.Equal(made, 1)
				time.Sleep(100 * time.Millisecond)
				for _, call := range calls {
					is.NoErr(call(rep))
				}
				is.Equal(made, 1+len(calls))
			})
		})
	}
}
