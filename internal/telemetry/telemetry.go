// Package telemetry gives a process its metrics and log lines.
//
// Metrics are OpenTelemetry instruments, read over HTTP in the Prometheus text
// format. Every refusal, retry and other event is a counter with its reason.
// A log line is one event with key=value pairs, written by klog.
package telemetry

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/poststand/poststand/fault"
)

// Metrics holds the instruments of a process.
type Metrics struct {
	Handler http.Handler // Serves the metrics.

	meter      metric.Meter
	refusals   metric.Int64Counter
	retries    metric.Int64Counter
	outcomes   metric.Int64Counter
	events     metric.Int64Counter
	bytes      metric.Int64Counter
	moved      sync.Map // The attributes of bytes, by what was moved.
	firstToken metric.Float64Histogram
	whole      metric.Float64Histogram
}

// New returns the instruments, read through their Handler.
func New() (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "metrics")
	}
	m := &Metrics{
		Handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}),
		meter:   sdk.NewMeterProvider(sdk.WithReader(exp)).Meter("poststand"),
	}
	return m, m.instruments()
}

func (m *Metrics) instruments() error {
	var failed error
	counter := func(name, what string) metric.Int64Counter {
		c, err := m.meter.Int64Counter(name, metric.WithDescription(what))
		if err != nil {
			failed = fault.Wrap(fault.Internal, err, name)
		}
		return c
	}
	seconds := func(name, what string) metric.Float64Histogram {
		h, err := m.meter.Float64Histogram(name, metric.WithDescription(what), metric.WithUnit("s"))
		if err != nil {
			failed = fault.Wrap(fault.Internal, err, name)
		}
		return h
	}
	m.refusals = counter("poststand_refusals", "Requests and messages refused, by reason.")
	m.retries = counter("poststand_retries", "Further tries of requests, by the reason of the failed one.")
	m.outcomes = counter("poststand_outcomes", "Requests by the outcome that callers were told.")
	m.events = counter("poststand_events", "Other events, by name and reason.")
	m.bytes = counter("poststand_bytes", "Bytes moved, by what they were for.")
	m.firstToken = seconds("poststand_first_data_seconds", "Until the first part of an answer.")
	m.whole = seconds("poststand_answer_seconds", "Until the end of an answer.")
	return failed
}

func with(pairs ...string) metric.MeasurementOption {
	attrs := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		attrs = append(attrs, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(attrs...)
}

// Refused counts a refusal.
func (m *Metrics) Refused(reason fault.Code) {
	m.refusals.Add(context.Background(), 1, with("reason", string(reason)))
}

// Retried counts a further try.
func (m *Metrics) Retried(reason fault.Code) {
	m.retries.Add(context.Background(), 1, with("reason", string(reason)))
}

// Outcome counts what a caller was told.
func (m *Metrics) Outcome(outcome string, reason fault.Code) {
	m.outcomes.Add(context.Background(), 1, with("outcome", outcome, "reason", string(reason)))
}

// Event counts anything else, with a detail that is one of few words, or empty.
func (m *Metrics) Event(name, detail string) {
	m.events.Add(context.Background(), 1, with("event", name, "reason", detail))
}

// Failed counts a failure that is neither a refusal nor a retry.
func (m *Metrics) Failed(name string, err error) { m.Event(name, string(fault.CodeOf(err))) }

// Bytes counts bytes moved. It is called for each frame, so its attributes are made only
// once; what is one of few words.
func (m *Metrics) Bytes(what string, n int) {
	opt, ok := m.moved.Load(what)
	if !ok {
		opt, _ = m.moved.LoadOrStore(what, metric.WithAttributeSet(attribute.NewSet(attribute.String("what", what))))
	}
	m.bytes.Add(context.Background(), int64(n), opt.(metric.MeasurementOption))
}

// FirstData and Whole record seconds.
func (m *Metrics) FirstData(seconds float64) {
	m.firstToken.Record(context.Background(), seconds)
}

// Whole records the seconds until the end of an answer.
func (m *Metrics) Whole(seconds float64) { m.whole.Record(context.Background(), seconds) }

// Gauge registers a value that is read when metrics are.
func (m *Metrics) Gauge(name, what string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(what),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return fault.Wrap(fault.Internal, err, name)
	}
	return nil
}
