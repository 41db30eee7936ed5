package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var errTask = errors.New("task failed")

// The other tasks go on until the one that drains has ended, so that no request is cut off.
func TestFailedTaskStartsADrain(t *testing.T) {
	for name, task := range map[string]func(context.Context) error{
		"fails":  func(context.Context) error { return errTask },
		"panics": func(context.Context) error { panic("task failed") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const drainTime = 5 * time.Second
				stop, fail := context.WithCancelCause(t.Context())
				k := Kernel{OnFailure: fail}
				otherEnded := make(chan time.Time, 1)
				k.AddTask(task)
				k.AddTask(func(ctx context.Context) error {
					<-ctx.Done()
					otherEnded <- time.Now()
					return nil
				})
				k.AddDrainTask(func(context.Context) error {
					<-stop.Done()
					time.Sleep(drainTime)
					return Failure(stop)
				})
				began := time.Now()
				is.True(k.Run(t.Context()) != nil)
				is.Equal((<-otherEnded).Sub(began), drainTime)
			})
		})
	}
}

func TestFailedTaskStopsTheOthers(t *testing.T) {
	var k Kernel
	k.AddTask(func(context.Context) error { return errTask })
	k.AddTask(func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	is.New(t).Equal(k.Run(t.Context()), errTask)
}
