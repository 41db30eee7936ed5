// Command poststand-load sends an open-loop load to gateways, verifies every
// answer and prints one line of key=value, or JSON. It exits non-zero if an
// answer was wrong, lost or doubled, or a "not run" was false.
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
	err := command().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "poststand-load:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
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
			if err := print(c, s, asJSON); err != nil {
				return err
			}
			if bad := s.Wrong + s.Lost + s.Doubled + s.FalseNotRun; bad > 0 {
				return fault.New(fault.UpstreamFailed, fmt.Sprintf("%d requests broke a promise", bad))
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringSliceVar(&r.Gateways, "gateway", nil, "URL of a gateway, any number")
	f.StringSliceVar(&r.Ledgers, "ledger", nil, "URL of a stand-in with a ledger, any number")
	f.StringSliceVar(&r.Services, "service", nil, "model service, any number")
	f.StringSliceVar(&r.Plains, "plain", nil, "plain service, any number")
	f.StringSliceVar(&r.Organisations, "organisation", nil, "organisation, any number")
	f.Float64Var(&r.Rate, "rate", 50, "requests a second")
	f.DurationVar(&r.For, "for", 10*time.Second, "how long requests arrive")
	f.DurationVar(&r.BurstAt, "burst-at", 0, "when the burst begins")
	f.DurationVar(&r.BurstFor, "burst-for", 0, "how long it lasts")
	f.Float64Var(&r.BurstFactor, "burst-factor", 0, "times the rate during the burst")
	f.DurationVar(&r.Timeout, "timeout", 5*time.Second, "deadline of each request")
	f.IntVar(&r.Tokens, "tokens", 16, "tokens of an answer")
	f.IntVar(&r.Mix.Whole, "whole", 4, "share of answers given whole")
	f.IntVar(&r.Mix.Stream, "stream", 4, "share of streamed answers")
	f.IntVar(&r.Mix.Plain, "plain-share", 1, "share of safe calls of plain services")
	f.IntVar(&r.Mix.Unsafe, "unsafe-share", 1, "share of unsafe calls")
	f.IntVar(&r.Mix.Keyed, "keyed-share", 0, "share of unsafe calls with a key, sent twice")
	f.Uint64Var(&r.Seed, "seed", 1, "seed of what is drawn")
	f.BoolVar(&r.GatewaysDie, "gateways-die", false, "count connections cut by a dead gateway apart")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(wayCommand())
	return c
}

func print(c *cobra.Command, s *load.Summary, asJSON bool) error {
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
