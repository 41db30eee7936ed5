package cmd

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID LOGFILE...",
		Short: "Show the log lines about one request from processes' log files",
		Long: "Prints the lines of the request with the given id, and those of the replicas that it was sent to,\n" +
			"in the order of their times. Lines that are not log lines are counted.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var all []logLine
			unparsed := 0
			for _, file := range args[1:] {
				n, err := scanLog(file, func(l telemetry.Line) {
					all = append(all, logLine{timestamp: l.Timestamp, fields: l.Fields(), text: l.Text})
				})
				if err != nil {
					return err
				}
				unparsed += n
			}
			found := relatedLines(all, args[0])
			for _, l := range found {
				_, _ = fmt.Fprintln(c.OutOrStdout(), l.text)
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "lines=%d of=%d not_log_lines=%d\n", len(found), len(all), unparsed)
			if len(found) == 0 {
				return fault.New(fault.NotHeld, "no line of request "+args[0])
			}
			return nil
		},
	}
}

// logLine is one line of a process's log.
type logLine struct {
	timestamp string
	fields    map[string]string
	text      string
}

// relatedLines returns the lines about a request and about the replicas that it was sent
// to, ordered by time. It is pure.
func relatedLines(all []logLine, id string) []logLine {
	replicas := map[string]bool{}
	addrs := map[string]bool{}
	for _, l := range all {
		if l.fields["id"] != id {
			continue
		}
		for _, attempt := range strings.Split(attemptsOf(&l), ",") {
			if name, _, ok := strings.Cut(attempt, "="); ok {
				replicas[name] = true
			}
		}
	}
	for _, l := range all {
		if replicas[l.fields["id"]] && l.fields["addr"] != "" {
			addrs[l.fields["addr"]] = true
		}
	}
	var out []logLine
	for _, l := range all {
		if l.fields["id"] == id || replicas[l.fields["id"]] || addrs[l.fields["addr"]] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return strings.Compare(a.timestamp, b.timestamp) })
	return out
}

// attemptsOf returns the replicas that a request was sent to, with the result of each
// attempt. Older processes log it under the key "sends".
func attemptsOf(l *logLine) string {
	if v, ok := l.fields["attempts"]; ok {
		return v
	}
	return l.fields["sends"]
}
