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

// homeTracker determines since when this agent has been the home of a key. It keeps
// the sets of boxes that served each service within the key window, so that a key
// whose home did not move is not delayed when the homes of other keys move.
type homeTracker struct {
	mu      sync.Mutex
	window  time.Duration
	started time.Time
	history map[string][]boxSet
}

// boxSet is a set of boxes that has served a service since a point in time.
type boxSet struct {
	since time.Time
	boxes []string
}

// maxHistory is the maximum number of sets that are kept for a service. Dropping the
// oldest can make the agent appear to have become the home of a key later than it
// did, which only delays requests with that key.
const maxHistory = 64

func (h *homeTracker) keyWindow() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.window
}

// watchHomes records each new placement until ctx ends.
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

func (h *homeTracker) record(now, started time.Time, v *view.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.history == nil {
		h.history = map[string][]boxSet{}
	}
	h.window, h.started = v.Config.Limits.KeyWindow, started
	for service, boxes := range v.Placement.ByService {
		sets := h.history[service]
		if n := len(sets); n == 0 || !slices.Equal(sets[n-1].boxes, boxes) {
			sets = append(sets, boxSet{now, boxes})
		}
		for len(sets) > 1 && (now.Sub(sets[1].since) > h.window || len(sets) > maxHistory) {
			sets = sets[1:]
		}
		h.history[service] = sets
	}
	for service := range h.history {
		if _, ok := v.Placement.ByService[service]; !ok {
			delete(h.history, service)
		}
	}
}

// keyHome returns whether and since when box is the home of the key of a dispatch.
func (h *homeTracker) keyHome(box string, d *dispatch.Dispatch, v *view.View) dispatch.KeyHome {
	if d.Key == "" {
		return dispatch.KeyHome{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	sets := h.history[d.Service]
	home := dispatch.KeyHome{FreshUntil: v.FreshUntil, Since: time.Now()}
	for i := len(sets) - 1; i >= 0; i-- {
		if rendezvous.First(d.Key, sets[i].boxes) != box {
			break
		}
		home.IsHome, home.Since = true, sets[i].since
	}
	return home
}
