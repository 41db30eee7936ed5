package telemetry

import (
	"k8s.io/klog/v2"
)

// Log writes one event as key=value pairs.
func Log(event string, pairs ...any) { klog.InfoSDepth(1, event, pairs...) }

// LogError writes one event with the failure that it is about.
func LogError(err error, event string, pairs ...any) { klog.ErrorSDepth(1, err, event, pairs...) }
