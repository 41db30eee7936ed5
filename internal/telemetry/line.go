package telemetry

import (
	"regexp"
	"strings"
)

// Line is one parsed line of a process's log.
type Line struct {
	Timestamp string // Day and time in klog's format, which sorts as text within a year.
	Event     string
	Text      string
	pairs     string
}

var (
	linePattern = regexp.MustCompile(`^.*?[IWE](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "([^"]+)"(.*)$`)
	pairPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// ParseLine parses a line without its line break, and reports whether it is a log line of a
// process. Other text may precede the line.
func ParseLine(text string) (Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	return Line{Timestamp: m[1], Event: m[2], Text: text, pairs: m[3]}, true
}

// Fields returns the values of the line by their keys, without quotes.
func (l *Line) Fields() map[string]string {
	fields := map[string]string{}
	for _, kv := range pairPattern.FindAllStringSubmatch(l.pairs, -1) {
		fields[kv[1]] = strings.Trim(kv[2], `"`)
	}
	return fields
}
