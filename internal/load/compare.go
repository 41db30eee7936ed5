package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/poststand/poststand/fault"
)

// compare reads the ledgers and holds them against what callers were told.
func (r *Run) compare(ctx context.Context) error {
	runs := map[string]int{}
	for _, url := range r.Ledgers {
		ledger, err := r.ledger(ctx, url)
		if err != nil {
			return err
		}
		for ref, n := range ledger {
			runs[ref] += n
		}
	}
	if len(r.Ledgers) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, t := range r.told {
		if t.unsafe && runs[ref] > 1 {
			r.sum.Doubled++
		}
		if t.notRun && runs[ref] > 0 {
			r.sum.FalseNotRun++
		}
		if t.answers > 0 && runs[ref] == 0 {
			r.sum.Wrong++ // An answer to something that never ran.
		}
	}
	return nil
}

func (r *Run) ledger(ctx context.Context, url string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/ledger", nil)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, url)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, url)
	}
	defer func() { _ = resp.Body.Close() }()
	var ledger map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&ledger); err != nil {
		return nil, fault.Wrap(fault.Garbage, err, url)
	}
	return ledger, nil
}
