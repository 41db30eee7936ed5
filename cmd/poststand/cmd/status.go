package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

// summary holds the fields that all statuses share, and the state of weight transfers.
type summary struct {
	Role      string `json:"role"`
	Box       string `json:"box"`
	Hall      string `json:"hall"`
	Revision  uint64 `json:"revision"`
	Digest    string `json:"configuration"`
	Fresh     bool   `json:"fresh"`
	State     string `json:"state"`
	Transfers map[string]struct {
		Chunks     int       `json:"chunks"`
		Missing    int       `json:"missing"`
		CompleteBy time.Time `json:"complete_by"`
	} `json:"transfers"`
	Weights map[string]struct {
		Count int `json:"count"`
		Bytes int `json:"bytes"`
	} `json:"weights"`
}

func statusCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "status ADMIN...",
		Short: "Show the status of daemons at their admin addresses and whether their configurations agree",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return printStatus(c.Context(), c.OutOrStdout(), args, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print each daemon's whole status")
	return c
}

func printStatus(ctx context.Context, w io.Writer, addrs []string, asJSON bool) error {
	revisions := map[string]int{}
	failed := 0
	for i, result := range fetchAll(ctx, addrs) {
		if result.err != nil {
			failed++
			_, _ = fmt.Fprintf(w, "admin=%s error=%q\n", addrs[i], result.err)
			continue
		}
		if asJSON {
			_, _ = fmt.Fprintln(w, string(result.data))
			continue
		}
		var s summary
		if err := json.Unmarshal(result.data, &s); err != nil {
			return fault.Wrap(fault.Garbage, err, addrs[i])
		}
		revisions[s.Digest]++
		_, _ = fmt.Fprintln(w, statusLine(&s))
	}
	if !asJSON {
		_, _ = fmt.Fprintf(w, "daemons=%d unreachable=%d configurations=%d\n", len(addrs), failed, len(revisions))
	}
	if failed > 0 {
		return fault.New(fault.Unreachable, fmt.Sprintf("%d of %d daemons", failed, len(addrs)))
	}
	return nil
}

type statusResult struct {
	data []byte
	err  error
}

// fetchAll requests the statuses of many processes concurrently and returns the results in
// the order of addrs.
func fetchAll(ctx context.Context, addrs []string) []statusResult {
	const concurrency = 64
	results := make([]statusResult, len(addrs))
	slots := make(chan struct{}, concurrency)
	var wg sync.WaitGroup
	for i, addr := range addrs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i].data, results[i].err = fetchStatus(ctx, nil, addr)
		})
	}
	wg.Wait()
	return results
}

func statusLine(s *summary) string {
	line := fmt.Sprintf("box=%s hall=%s role=%s revision=%d fresh=%t", s.Box, s.Hall, s.Role, s.Revision, s.Fresh)
	if s.State != "" {
		line += " state=" + s.State
	}
	chunks, missing := 0, 0
	var latest time.Time
	for _, t := range s.Transfers {
		chunks += t.Chunks
		missing += t.Missing
		if t.CompleteBy.After(latest) {
			latest = t.CompleteBy
		}
	}
	if chunks > 0 {
		line += fmt.Sprintf(" chunks=%d missing=%d", chunks, missing)
	}
	if left := time.Until(latest).Round(time.Second); left > 0 {
		line += fmt.Sprintf(" left=%s", left)
	}
	for _, kind := range []string{"origin", "peer_in_hall", "peer_across", "stall", "corrupt"} {
		if m := s.Weights[kind]; m.Count > 0 {
			line += fmt.Sprintf(" %s=%d/%dB", kind, m.Count, m.Bytes)
		}
	}
	return line
}

// maxStatus limits a status, in bytes.
const maxStatus = 4 << 20

// fetchStatus requests a status with c, or bounded.DefaultClient if c is nil.
func fetchStatus(ctx context.Context, c *http.Client, addr string) ([]byte, error) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, addr)
	}
	if c == nil {
		c = bounded.DefaultClient
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, addr)
	}
	defer func() { _ = resp.Body.Close() }()
	return bounded.ReadAll(resp.Body, maxStatus, addr)
}
