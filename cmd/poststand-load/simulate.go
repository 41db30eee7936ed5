package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/way"
)

// wayCommand simulates the distribution of versions and compares its time with the lower
// bound that the links allow.
func wayCommand() *cobra.Command {
	var plans int
	var first uint64
	var each bool
	var only string
	c := &cobra.Command{
		Use:   "way",
		Short: "Simulate the distribution of a version with random faults, in virtual time",
		Long: "Simulates the distribution of weights over random networks, without faults and with random\n" +
			"faults, and prints the time until all boxes have a version, relative to the links' lower bound.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := c.OutOrStdout()
			for _, kind := range []struct {
				name string
				draw func(seed uint64) way.Scenario
				n    int
			}{{"no_faults", way.ScarceOrigin, max(1, plans/10)}, {"origin_away", way.OriginAway, max(1, plans/10)}, {"origin_silent", way.SilentOrigin, max(1, plans/10)}, {"random", way.RandomScenario, max(1, plans)}} {
				if only != "" && only != kind.name {
					continue
				}
				var scenarios []way.Scenario
				for i := range kind.n {
					scenarios = append(scenarios, kind.draw(first+uint64(i)))
				}
				results := way.RunAll(scenarios)
				if each {
					for _, p := range results {
						fmt.Fprintf(w, "ratio=%.3f all=%s half=%s bound=%s fetched=%d failed=%d %s\n", p.Ratio(), p.Last, p.Median, p.LowerBound, p.OriginChunks, p.OriginFailures, p.Scenario.String())
					}
				}
				s := way.Summarize(results)
				fmt.Fprintf(w, "plans=%s plays=%d median=%.3f most95=%.3f most=%.3f extra=%.4f across=%.3f failed=%.0f to_first_ms=%d to_half_ms=%d to_all_ms=%d resumed_ms=%d worst_seed=%d\n",
					kind.name, s.Runs, s.Median, s.P95, s.Max, s.ExtraCopies, s.CrossHallCopies, s.FailuresPerRun,
					s.ToFirst.Milliseconds(), s.ToMedian.Milliseconds(), s.ToLast.Milliseconds(), s.Resumed.Milliseconds(), s.Worst.Scenario.Seed)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&plans, "plans", 100, "simulations with random faults; a tenth as many run without faults")
	f.Uint64Var(&first, "first", 0, "seed of the first simulation")
	f.StringVar(&only, "only", "", "run only the simulations of this kind: no_faults, origin_away, origin_silent or random")
	f.BoolVar(&each, "each", false, "print a line for each simulation")
	return c
}
