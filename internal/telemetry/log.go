package telemetry

import (
	"io"

	"k8s.io/klog/v2"
)

// lines receives the log lines of the process after Start.
var lines *LineWriter

// Start sends the log lines of the process to out. It is called once, before the first line.
func Start(out io.Writer) {
	lines = NewLineWriter(out)
	klog.SetOutput(lines)
}

// Flush waits for a short time until the lines that have been logged are written. Later lines
// are dropped, so it is called just before the process exits.
func Flush() {
	klog.Flush()
	if lines != nil {
		lines.Close()
	}
}

// Discard drops all log lines, for tests.
func Discard() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// Log writes one event as key=value pairs.
func Log(event string, pairs ...any) { klog.InfoSDepth(1, event, pairs...) }

// LogError writes one event with its error as key=value pairs.
func LogError(err error, event string, pairs ...any) { klog.ErrorSDepth(1, err, event, pairs...) }
