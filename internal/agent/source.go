package agent

import (
	"net/http"
	"sync"

	"github.com/poststand/poststand/weights"
)

// Source lets the engine of this box pull the weights that are here.
func (a *Agent) Source() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /blobs/{digest}", func(w http.ResponseWriter, r *http.Request) {
		data, ok := a.exchange.Lookup(r.PathValue("digest"))
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(data)
	})
	return mux
}

// movedBytes counts weights by where they came from.
type movedBytes struct {
	mu    sync.Mutex
	kinds map[weights.EventKind]moved
}

type moved struct {
	Count int `json:"count"`
	Bytes int `json:"bytes"`
}

func (m *movedBytes) add(e weights.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = map[weights.EventKind]moved{}
	}
	k := m.kinds[e.Kind]
	k.Count++
	k.Bytes += e.Bytes
	m.kinds[e.Kind] = k
}

func (m *movedBytes) snapshot() map[weights.EventKind]moved {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[weights.EventKind]moved{}
	for k, v := range m.kinds {
		out[k] = v
	}
	return out
}

func (a *Agent) weightsEvent(e weights.Event) {
	a.moved.add(e)
	a.Metrics.Event("weights_"+string(e.Kind), "")
	if e.Bytes > 0 {
		a.Metrics.Bytes("weights_"+string(e.Kind), e.Bytes)
	}
}
