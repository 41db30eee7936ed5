package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Plain is a stand-in for a plain service. Its answer is a fixed function of
// the path and body.
type Plain struct {
	Name        string
	ServiceTime time.Duration
	Ledger      Ledger
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"` // The Answer to the body.
}

// PlainTokens is the number of tokens in the Echo of a PlainAnswer.
const PlainTokens = 64

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ledger" {
		p.Ledger.serve(w, r)
		return
	}
	const maxBody = 8 << 20
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var ref struct {
		User string `json:"user"`
	}
	_ = json.Unmarshal(body, &ref)
	p.Ledger.Started(ref.User)
	time.Sleep(p.ServiceTime)
	reply(w, PlainAnswer{Service: p.Name, Path: r.URL.Path, Echo: Answer(string(body), p.Name, "", PlainTokens)})
}
