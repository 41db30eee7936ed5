// Package kernel joins the services of one process.
//
// A process is a Kernel with services. A service is a value that others find
// by name, and usually a duty: a function that runs in a goroutine of its own
// until its context ends. When one duty fails, all are stopped, as oklog/run
// does it; the process then exits with that failure.
package kernel

import (
	"context"
	"fmt"

	"github.com/oklog/run"

	"github.com/poststand/poststand/fault"
)

// Kernel holds services by name. The zero value is ready for use. Services are
// added before Run and never after it, so lookups need no lock.
type Kernel struct {
	services map[string]any
	group    run.Group
}

// Add registers a service under a name, with its duty or nil. It panics when the name
// is taken, since that is an error of the program.
func (k *Kernel) Add(name string, service any, duty func(ctx context.Context) error) {
	if k.services == nil {
		k.services = map[string]any{}
	}
	if _, dup := k.services[name]; dup {
		panic("kernel: two services named " + name)
	}
	k.services[name] = service
	if duty != nil {
		k.AddTask(duty)
	}
}

// AddTask adds a goroutine that no other service needs to find.
func (k *Kernel) AddTask(duty func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	k.group.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// Run runs every duty until ctx ends or one of them returns.
func (k *Kernel) Run(ctx context.Context) error {
	k.AddTask(func(own context.Context) error {
		select {
		case <-ctx.Done():
		case <-own.Done():
		}
		return nil
	})
	return k.group.Run()
}

// Find returns the service of type T that has the given name.
func Find[T any](k *Kernel, name string) (T, error) {
	s, ok := k.services[name].(T)
	if !ok {
		return s, fault.New(fault.Internal, fmt.Sprintf("no service %q of type %T", name, s))
	}
	return s, nil
}
