// Command poststand-load sends an open-loop load to gateways, verifies every answer and
// prints one line of key=value pairs, or JSON. It exits non-zero if an answer was wrong or
// lost, an unsafe request ran twice, or a request reported as not run did run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/load"
	"github.com/poststand/poststand/rendezvous"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "poststand-load:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	r := &load.Run{}
	var asJSON bool
	c := &cobra.Command{
		Use:           "poststand-load",
		Short:         "Send an open-loop load and verify every answer",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := r.Do(c.Context())
			if err != nil {
				return err
			}
			if err := printSummary(c, s, asJSON); err != nil {
				return err
			}
			if violations := s.Wrong + s.Lost + s.Doubled + s.FalseNotRun; violations > 0 {
				return fault.New(fault.UpstreamFailed, fmt.Sprintf("%d requests were answered wrongly, lost, run twice or falsely reported as not run", violations))
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringSliceVar(&r.Gateways, "gateway", nil, "URL of a gateway; may be repeated")
	f.StringSliceVar(&r.Ledgers, "ledger", nil, "URL of a stand-in with a ledger; may be repeated")
	f.StringSliceVar(&r.Services, "service", nil, "model service; may be repeated")
	f.StringSliceVar(&r.PlainServices, "plain", nil, "plain service; may be repeated")
	f.StringSliceVar(&r.Organisations, "organisation", nil, "organisation; may be repeated")
	f.Float64Var(&r.Rate, "rate", 50, "requests per second")
	f.DurationVar(&r.Duration, "for", 10*time.Second, "duration of the load")
	f.DurationVar(&r.BurstAt, "burst-at", 0, "start of the burst, from the start of the load")
	f.DurationVar(&r.BurstFor, "burst-for", 0, "duration of the burst")
	f.Float64Var(&r.BurstFactor, "burst-factor", 0, "factor on the rate during the burst")
	f.DurationVar(&r.Timeout, "timeout", 5*time.Second, "deadline of each request")
	f.IntVar(&r.Tokens, "tokens", 16, "tokens of an answer")
	f.IntVar(&r.Mix.Unstreamed, "whole", 4, "share of answers that are not streamed")
	f.IntVar(&r.Mix.Stream, "stream", 4, "share of streamed answers")
	f.IntVar(&r.Mix.Plain, "plain-share", 1, "share of safe calls of plain services")
	f.IntVar(&r.Mix.Unsafe, "unsafe-share", 1, "share of unsafe calls of plain services")
	f.IntVar(&r.Mix.Keyed, "keyed-share", 0, "share of unsafe calls with a key, sent twice")
	f.Uint64Var(&r.Seed, "seed", 1, "seed of the random load")
	f.BoolVar(&r.GatewaysMayCrash, "gateways-die", false, "count connections lost with a killed gateway separately")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(wayCommand())
	return c
}

func printSummary(c *cobra.Command, s *load.Summary, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(s)
	}
	var refused []string
	for _, code := range rendezvous.Sorted(s.Refused) {
		refused = append(refused, fmt.Sprintf("%s:%d", code, s.Refused[code]))
	}
	_, err := fmt.Fprintf(c.OutOrStdout(),
		"sent=%d answers=%d wrong=%d lost=%d doubled=%d false_not_run=%d cut=%d unknown=%d versions=%d refused=%s "+
			"first_p50_ms=%.1f first_p95_ms=%.1f first_p99_ms=%.1f gap_p95_ms=%.1f whole_p50_ms=%.1f whole_p99_ms=%.1f\n",
		s.Sent, s.Answers, s.Wrong, s.Lost, s.Doubled, s.FalseNotRun, s.Cut, s.Unknown, len(s.Versions), strings.Join(refused, ","),
		s.FirstP50, s.FirstP95, s.FirstP99, s.GapP95, s.WholeP50, s.WholeP99)
	return err
}
