package standin

import (
	"net/http"
	"sync"
)

// Ledger counts how often the request with each reference was started.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// Started records that the request with the given reference started to run.
func (l *Ledger) Started(ref string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[ref]++
}

// Runs returns how often the request with each reference was started.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.runs))
	for k, v := range l.runs {
		out[k] = v
	}
	return out
}

func (l *Ledger) serve(w http.ResponseWriter, _ *http.Request) { reply(w, l.Runs()) }
