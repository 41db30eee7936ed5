package agent

import (
	"time"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/weights"
)

// Status is the status that an agent reports on its admin port.
type Status struct {
	Role      string                           `json:"role"`
	Box       string                           `json:"box"`
	Hall      string                           `json:"hall"`
	Revision  uint64                           `json:"revision"`
	Digest    string                           `json:"configuration"`
	Fleet     uint64                           `json:"fleet"`
	Fresh     bool                             `json:"fresh"`
	State     string                           `json:"state"`
	Wanted    target                           `json:"wanted"`
	Loaded    target                           `json:"loaded"`
	Report    dispatch.Report                  `json:"report"`
	Transfers map[string]Progress              `json:"transfers"`
	Weights   map[weights.EventKind]eventCount `json:"weights"`
	Memory    int64                            `json:"weights_bytes"`
}

// Progress is the progress of a transfer.
type Progress struct {
	Chunks     int       `json:"chunks"`
	Missing    int       `json:"missing"`
	CompleteBy time.Time `json:"complete_by"` // An estimate, or zero if there is none.
}

func (a *Agent) status() any {
	v := a.holder.Get()
	s := &Status{
		Role: "agent", Box: a.Settings.Box, Hall: a.Settings.Hall,
		Revision: v.Revision(), Digest: v.Digest, Fleet: v.Fleet.Version, Fresh: time.Now().Before(v.FreshUntil),
		Report: a.gate.Report(time.Now()), Transfers: map[string]Progress{},
		Weights: a.weightsEvents.snapshot(), Memory: a.exchange.Store.Bytes(),
	}
	l := a.loader
	l.mu.Lock()
	s.State, s.Wanted, s.Loaded = l.state, l.target, l.loaded
	l.mu.Unlock()
	for _, digest := range s.Wanted.artifacts() {
		if t := a.exchange.Transfer(digest); t != nil {
			n, missing := t.Progress()
			s.Transfers[digest] = Progress{n, missing, t.CompleteBy(time.Now())}
		}
	}
	return s
}
