package cmd

import (
	"bufio"
	"os"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
)

const maxLineBytes = 1 << 20 // Longer lines are an error.

// scanLog passes the lines of a process's log file to add, and counts those that are not log
// lines.
func scanLog(path string, add func(telemetry.Line)) (unparsed int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, fault.Wrap(fault.BadRequest, err, path)
	}
	defer func() { _ = f.Close() }()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if l, ok := telemetry.ParseLine(sc.Text()); ok {
			add(l)
		} else {
			unparsed++
		}
	}
	if err := sc.Err(); err != nil {
		return 0, fault.Wrap(fault.Garbage, err, path)
	}
	return unparsed, nil
}
