package telemetry

import (
	"io"

	"k8s.io/klog/v2"
)

// Discard drops all log lines, for tests.
func Discard() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// Log writes one event as key=value pairs.
func Log(event string, pairs ...any) { klog.InfoSDepth(1, event, pairs...) }

// LogError writes one event with its error as key=value pairs.
func LogError(err error, event string, pairs ...any) { klog.ErrorSDepth(1, err, event, pairs...) }
