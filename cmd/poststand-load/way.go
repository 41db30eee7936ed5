package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/way"
)

// wayCommand compares versions' ways to their boxes with what the links allow.
func wayCommand() *cobra.Command {
	var plans int
	var first uint64
	var each bool
	c := &cobra.Command{
		Use:   "way",
		Short: "Play a version's way to its boxes over random plans of faults, in virtual time",
		Long: "Plays the planner of weights over a described network, without faults and with faults\n" +
			"drawn at random, and prints how long all boxes took over what the links allow at best.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := c.OutOrStdout()
			for _, kind := range []struct {
				name string
				draw func(seed uint64) way.Scenario
				n    int
			}{{"no_faults", way.ScarceOrigin, max(1, plans/10)}, {"random", way.RandomScenario, max(1, plans)}} {
				var ps []way.Scenario
				for i := range kind.n {
					ps = append(ps, kind.draw(first+uint64(i)))
				}
				played := way.RunAll(ps)
				if each {
					for _, p := range played {
						fmt.Fprintf(w, "ratio=%.3f all=%s half=%s bound=%s fetched=%d failed=%d %s\n", p.Ratio(), p.Last, p.Median, p.LowerBound, p.OriginChunks, p.OriginFailures, p.Scenario.String())
					}
				}
				s := way.Summarize(played)
				fmt.Fprintf(w, "plans=%s plays=%d median=%.3f most95=%.3f most=%.3f extra=%.4f across=%.3f failed=%.0f worst_seed=%d\n",
					kind.name, s.Runs, s.Median, s.P95, s.Max, s.ExtraCopies, s.CrossHallCopies, s.FailuresPerRun, s.Worst.Scenario.Seed)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&plans, "plans", 100, "random plans; a tenth as many without faults")
	f.Uint64Var(&first, "first", 0, "seed of the first plan")
	f.BoolVar(&each, "each", false, "print a line for each play")
	return c
}
