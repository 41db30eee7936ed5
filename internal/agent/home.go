package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/view"
)

// homes knows since when this agent is the home of a key. It remembers the sets
// of boxes that served a service for as long as a key is remembered, so that a
// key whose home did not move is not held up when others' did.
type homes struct {
	mu      sync.Mutex
	window  time.Duration
	started time.Time
	history map[string][]placed
}

// placed is a set of boxes that serves a service from a time on.
type placed struct {
	since time.Time
	boxes []string
}

// maxHistory bounds the sets that are remembered; past it, the oldest are
// merged into "not the home", which only delays a key.
const maxHistory = 64

func (h *homes) keyWindow() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.window
}

// watchHomes records each placement.
func (a *Agent) watchHomes(ctx context.Context) error {
	for {
		v, changed := a.holder.Watch()
		if v.Config != nil {
			a.gate.SetKeyWindow(v.Config.Limits.KeyWindow)
			a.homes.record(time.Now(), a.started, v)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *homes) record(now, started time.Time, v *view.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.history == nil {
		h.history = map[string][]placed{}
	}
	h.window, h.started = v.Config.Limits.KeyWindow, started
	for service, boxes := range v.Placement.ByService {
		past := h.history[service]
		if n := len(past); n == 0 || !slices.Equal(past[n-1].boxes, boxes) {
			past = append(past, placed{now, boxes})
		}
		for len(past) > 1 && (now.Sub(past[1].since) > h.window || len(past) > maxHistory) {
			past = past[1:]
		}
		h.history[service] = past
	}
	for service := range h.history {
		if _, ok := v.Placement.ByService[service]; !ok {
			delete(h.history, service)
		}
	}
}

// of says what box knows of being the home of a dispatch's key.
func (h *homes) of(box string, d *dispatch.Dispatch, v *view.View) dispatch.KeyHome {
	if d.Key == "" {
		return dispatch.KeyHome{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	past := h.history[d.Service]
	home := dispatch.KeyHome{FreshUntil: v.FreshUntil, Since: time.Now()}
	for i := len(past) - 1; i >= 0; i-- {
		if rendezvous.First(d.Key, past[i].boxes) != box {
			break
		}
		home.IsHome, home.Since = true, past[i].since
	}
	return home
}
