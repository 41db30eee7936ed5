package cmd

import (
	"bufio"
	"os"
	"regexp"
	"strings"

	"github.com/poststand/poststand/fault"
)

// logLine is one parsed line of a process's log.
type logLine struct {
	timestamp string // Day and time in klog's format, which sorts as text within a year.
	event     string
	fields    map[string]string
	text      string
}

var (
	linePattern  = regexp.MustCompile(`^.*?[IWE](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "([^"]+)"(.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

const maxLineBytes = 1 << 20

// scanLog passes the lines of a log file whose event is wanted to add, and counts all of its log
// lines and those that are not log lines of a process.
func scanLog(path string, wants func(event string) bool, add func(logLine)) (lines, unparsed int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, 0, fault.Wrap(fault.BadRequest, err, path)
	}
	defer func() { _ = f.Close() }()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		m := linePattern.FindStringSubmatch(sc.Text())
		if m == nil {
			unparsed++
			continue
		}
		lines++
		if !wants(m[2]) {
			continue
		}
		l := logLine{timestamp: m[1], event: m[2], fields: map[string]string{}, text: m[0]}
		for _, kv := range fieldPattern.FindAllStringSubmatch(m[3], -1) {
			l.fields[kv[1]] = strings.Trim(kv[2], `"`)
		}
		add(l)
	}
	if err := sc.Err(); err != nil {
		return 0, 0, fault.Wrap(fault.Garbage, err, path)
	}
	return lines, unparsed, nil
}
