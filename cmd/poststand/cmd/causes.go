package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/causes"
	"github.com/poststand/poststand/internal/telemetry"
)

func causesCommand() *cobra.Command {
	target, rows := 400*time.Millisecond, 50
	c := &cobra.Command{
		Use:   "causes LOGFILE...",
		Short: "Count unserved and late requests by cause from gateways' log files",
		Long: "Prints how requests ended, what those that were not answered in time have in common, and how\n" +
			"well their first events were predicted. The attempts of a caller that was refused and came\n" +
			"back count as one request. Lines that are not log lines, or cannot be read, are counted.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if target < 0 || rows < 0 {
				return fault.New(fault.BadRequest, "--target and --rows must not be negative")
			}
			return printCauses(c, args, target, rows)
		},
	}
	c.Flags().DurationVar(&target, "target", target, "latency target of requests whose lines have none; 0 for none")
	c.Flags().IntVar(&rows, "rows", rows, "combinations of properties to print at most; 0 for all")
	return c
}

func printCauses(c *cobra.Command, files []string, target time.Duration, rows int) error {
	a := causes.Analysis{DefaultTarget: target}
	lines, unparsed, unreadable, requests := 0, 0, 0, 0
	for _, file := range files {
		n, err := scanLog(file, func(l telemetry.Line) {
			lines++
			if !causes.Wants(l.Event) {
				return
			}
			requests++
			if err := a.Add(causes.Event{Name: l.Event, Timestamp: l.Timestamp, Fields: l.Fields()}); err != nil {
				unreadable++
			}
		})
		if err != nil {
			return err
		}
		unparsed += n
	}
	if requests == unreadable {
		return fault.New(fault.NotHeld, "no line of a request")
	}
	if err := a.Report().Write(c.OutOrStdout(), rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "\nlines=%d not_log_lines=%d unreadable_lines=%d\n", lines, unparsed, unreadable)
	return err
}
