package load

import (
	"context"
	"net/http"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

// maxLedger limits the ledger of one engine or service, in bytes.
const maxLedger = 64 << 20

// compareLedgers reads the ledgers and compares them with the results of the requests.
func (r *Run) compareLedgers(ctx context.Context) error {
	runs := map[string]int{}
	for _, url := range r.Ledgers {
		ledger, err := r.fetchLedger(ctx, url)
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
	for ref, t := range r.results {
		if t.unsafe && runs[ref] > 1 {
			r.summary.Doubled++
		}
		if t.notRun && runs[ref] > 0 {
			r.summary.FalseNotRun++
		}
		if t.answers > 0 && runs[ref] == 0 {
			r.summary.Wrong++ // An answer to a request that never ran.
		}
	}
	return nil
}

func (r *Run) fetchLedger(ctx context.Context, url string) (map[string]int, error) {
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
	if err := bounded.DecodeJSON(resp.Body, maxLedger, "ledger", &ledger); err != nil {
		return nil, err
	}
	return ledger, nil
}
