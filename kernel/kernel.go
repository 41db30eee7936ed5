// Package kernel runs the services of one process and lets them find each other.
//
// A process has one Kernel, to which its services are added. A service is a value
// that other services find by name with Find. It usually has a task: a function
// that runs in its own goroutine until its context is cancelled. When one task
// returns, all others are stopped, as in oklog/run, and Run returns its error. A process
// whose requests must not be cut off sets OnFailure, so that a task that fails starts a drain.
//
// A WorkerSet runs one goroutine for each member of a changing set.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/oklog/run"

	"github.com/poststand/poststand/fault"
)

// Kernel holds services by name. The zero value is ready for use. Services must be
// added before Run and never after it, so lookups need no lock.
type Kernel struct {
	// OnFailure, if set, is called when a task fails or panics, and the other tasks go on: it
	// has to make the drain task return. Otherwise a failure stops all tasks at once.
	OnFailure func(err error)

	services map[string]any
	group    run.Group
}

// Add registers a service under a name, with its task or nil. It panics if the name is
// already registered, since that is a programming error.
func (k *Kernel) Add(name string, service any, task func(ctx context.Context) error) {
	if k.services == nil {
		k.services = map[string]any{}
	}
	if _, dup := k.services[name]; dup {
		panic("kernel: two services named " + name)
	}
	k.services[name] = service
	if task != nil {
		k.AddTask(task)
	}
}

// AddTask adds a task without a name, for what no other service needs to find.
func (k *Kernel) AddTask(task func(ctx context.Context) error) {
	k.AddDrainTask(func(ctx context.Context) error { return k.run(ctx, task) })
}

// AddDrainTask adds the task that finishes the work of a process that stops. All other tasks
// are stopped when it returns, whether it fails or not.
func (k *Kernel) AddDrainTask(task func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	k.group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// run runs a task. If it fails or panics and OnFailure is set, run returns only when ctx is
// cancelled.
func (k *Kernel) run(ctx context.Context, task func(ctx context.Context) error) error {
	if k.OnFailure == nil {
		return task(ctx)
	}
	err := recovered(ctx, task)
	if err != nil && ctx.Err() == nil {
		k.OnFailure(err)
		<-ctx.Done()
	}
	return err
}

// recovered runs a task and returns its panic as an error.
func recovered(ctx context.Context, task func(ctx context.Context) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fault.New(fault.Internal, fmt.Sprintf("task panicked: %v\n%s", p, debug.Stack()))
		}
	}()
	return task(ctx)
}

// Run runs every task until ctx is cancelled or one of them returns.
func (k *Kernel) Run(ctx context.Context) error {
	k.AddTask(func(taskCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-taskCtx.Done():
		}
		return nil
	})
	return k.group.Run()
}

// Failure returns the error for which stop was cancelled; nil if it was cancelled without one,
// as by a signal.
func Failure(stop context.Context) error {
	if err := context.Cause(stop); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Find returns the service of type T that has the given name.
func Find[T any](k *Kernel, name string) (T, error) {
	s, ok := k.services[name].(T)
	if !ok {
		return s, fault.New(fault.Internal, fmt.Sprintf("no service %q of type %T", name, s))
	}
	return s, nil
}
