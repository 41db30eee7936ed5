package cmd

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID LOGFILE...",
		Short: "Tell the story of one request from processes' log files",
		Long: "Prints the lines of the request with the given id, and those of the replicas that it was sent to,\n" +
			"in the order of their times. Lines that are not log lines are counted.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var all []logLine
			other := 0
			for _, file := range args[1:] {
				lines, n, err := readLog(file)
				if err != nil {
					return err
				}
				all, other = append(all, lines...), other+n
			}
			found := story(all, args[0])
			for _, l := range found {
				_, _ = fmt.Fprintln(c.OutOrStdout(), l.text)
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "lines=%d of=%d not_log_lines=%d\n", len(found), len(all), other)
			if len(found) == 0 {
				return fault.New(fault.NotHeld, "no line of request "+args[0])
			}
			return nil
		},
	}
}

// logLine is one line of a process.
type logLine struct {
	at     string // The day and time as klog writes them, which sort as text within a year.
	fields map[string]string
	text   string
}

var (
	linePattern  = regexp.MustCompile(`^.*?[IWE](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "([^"]+)"(.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

const maxLine = 1 << 20

// readLog reads a log file, and counts the lines that are none of a process.
func readLog(path string) (lines []logLine, other int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, fault.Wrap(fault.BadRequest, err, path)
	}
	defer func() { _ = f.Close() }()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		m := linePattern.FindStringSubmatch(sc.Text())
		if m == nil {
			other++
			continue
		}
		l := logLine{at: m[1], fields: map[string]string{}, text: sc.Text()}
		for _, kv := range fieldPattern.FindAllStringSubmatch(m[3], -1) {
			l.fields[kv[1]] = strings.Trim(kv[2], `"`)
		}
		lines = append(lines, l)
	}
	if err := sc.Err(); err != nil {
		return nil, 0, fault.Wrap(fault.Garbage, err, path)
	}
	return lines, other, nil
}

// story returns the lines of a request and of the replicas that it was sent to, in
// order. It is pure.
func story(all []logLine, id string) []logLine {
	replicas := map[string]bool{}
	addrs := map[string]bool{}
	for _, l := range all {
		if l.fields["id"] != id {
			continue
		}
		for _, send := range strings.Split(attemptsOf(&l), ",") {
			if name, _, ok := strings.Cut(send, "="); ok {
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
	slices.SortStableFunc(out, func(a, b logLine) int { return strings.Compare(a.at, b.at) })
	return out
}

// attemptsOf returns the replicas that a request was sent to, and how each attempt
// ended. Lines of processes before the key was renamed have it as "sends".
func attemptsOf(l *logLine) string {
	if v, ok := l.fields["attempts"]; ok {
		return v
	}
	return l.fields["sends"]
}
