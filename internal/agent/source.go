package agent

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/weights"
)

// SourceHandler returns the HTTP handler from which the engine of this box pulls manifests and
// chunks that the box holds, for its last order. An order that was given up may still be carried out:
// it finds nothing to load, so that it can't replace what a later one has loaded.
func (a *Agent) SourceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /orders/{order}/blobs/{digest}", func(w http.ResponseWriter, r *http.Request) {
		data, ok := a.exchange.Lookup(r.PathValue("digest"))
		if !ok || r.PathValue("order") != a.source.order() {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(data)
	})
	return mux
}

// orderSource names the order for which the engine may pull weights. The zero value names none.
type orderSource struct {
	mu      sync.Mutex
	current string // Empty for none.
}

// begin names a new order by its fence, and returns its URL below that of the source.
func (s *orderSource) begin(source string, f engine.Fence) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = fmt.Sprintf("%x-%d", f.Incarnation, f.Order)
	return "http://" + source + "/orders/" + s.current
}

// end withdraws the order that was named last.
func (s *orderSource) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = ""
}

func (s *orderSource) order() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
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
