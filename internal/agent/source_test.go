package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/weights"
)

// slowEngine does not answer orders.
type slowEngine struct{ orders chan engine.Order }

// RoundTrip implements http.RoundTripper.
func (e *slowEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return nil, err
	}
	e.orders <- o
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// An order that was given up replaced the weights that a later one had loaded, at an engine that does not check fences.
func TestOrderThatWasGivenUpLoadsNothing(t *testing.T) {
	is := is.New(t)
	e := &slowEngine{orders: make(chan engine.Order, 1)}
	a, err := New(&settings.Agent{Source: "10.0.0.1:7500"}, Options{Engine: &http.Client{Transport: e}})
	is.NoErr(err)
	defer a.Close()
	data := []byte("chunk")
	is.NoErr(a.exchange.Store.Put(weights.Digest(data), data))
	pulls := &http.Client{Transport: &simnet.Transport{Find: func(string) http.Handler { return a.SourceHandler() }}}
	pull := func(o engine.Order) error {
		_, err := engine.Pull(pulls, o.Source, weights.Digest(data), len(data))
		return err
	}
	reload := func(digest string) (engine.Order, context.CancelFunc, chan bool) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool, 1)
		go func() { done <- a.loader.reload(ctx, target{Service: "llm", Digest: digest}) }()
		return <-e.orders, cancel, done
	}
	first, giveUp, done := reload("first")
	is.NoErr(pull(first))
	giveUp()
	is.True(!<-done)
	is.Equal(fault.CodeOf(pull(first)), fault.NotHeld)
	second, giveUp, done := reload("second")
	is.Equal(fault.CodeOf(pull(first)), fault.NotHeld)
	is.NoErr(pull(second))
	giveUp()
	<-done
	is.True(first.Fence.Before(second.Fence)) // Both are of one revision.
}
