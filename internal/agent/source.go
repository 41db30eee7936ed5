package agent

import (
	"net/http"
	"sync"

	"github.com/poststand/poststand/weights"
)

// SourceHandler returns the HTTP handler from which the engine of this box pulls manifests and
// chunks that the box holds.
func (a *Agent) SourceHandler() http.Handler {
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

// eventCounts counts transfer events and their bytes by kind.
type eventCounts struct {
	mu     sync.Mutex
	byKind map[weights.EventKind]eventCount
}

type eventCount struct {
	Count int `json:"count"`
	Bytes int `json:"bytes"`
}

func (ec *eventCounts) add(e weights.Event) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	if ec.byKind == nil {
		ec.byKind = map[weights.EventKind]eventCount{}
	}
	c := ec.byKind[e.Kind]
	c.Count++
	c.Bytes += e.Bytes
	ec.byKind[e.Kind] = c
}

func (ec *eventCounts) snapshot() map[weights.EventKind]eventCount {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	out := map[weights.EventKind]eventCount{}
	for k, v := range ec.byKind {
		out[k] = v
	}
	return out
}

func (a *Agent) weightsEvent(e weights.Event) {
	a.weightsEvents.add(e)
	a.Metrics.Event("weights_"+string(e.Kind), "")
	if e.Bytes > 0 {
		a.Metrics.Bytes("weights_"+string(e.Kind), e.Bytes)
	}
}
