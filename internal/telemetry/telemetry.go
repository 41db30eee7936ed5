// Package telemetry provides the metrics, the admin endpoints and the logging of a process.
//
// Metrics are OpenTelemetry instruments, read over HTTP in the Prometheus text
// format. Every refusal, retry and other event is a counter with its reason.
// A log line is one event with key=value pairs, written by klog. LineWriter keeps a slow
// reader of the log from blocking the process. Admin serves metrics, health and status.
package telemetry

import (
	"context"
	"net/http"
	"strconv"
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
	Handler http.Handler // Serves the metrics in the Prometheus text format.

	meter            metric.Meter
	refusals         metric.Int64Counter
	retries          metric.Int64Counter
	outcomes         metric.Int64Counter
	events           metric.Int64Counter
	bytes            metric.Int64Counter
	notAdmitted      metric.Int64Counter
	byteAttributes   sync.Map // Attribute sets of the bytes counter, by purpose.
	firstDataSeconds metric.Float64Histogram
	answerSeconds    metric.Float64Histogram
	predictionError  metric.Float64Histogram
}

// New creates the instruments of a process.
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
	var lastErr error
	counter := func(name, description string) metric.Int64Counter {
		c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			lastErr = fault.Wrap(fault.Internal, err, name)
		}
		return c
	}
	seconds := func(name, description string, options ...metric.Float64HistogramOption) metric.Float64Histogram {
		options = append(options, metric.WithDescription(description), metric.WithUnit("s"))
		h, err := m.meter.Float64Histogram(name, options...)
		if err != nil {
			lastErr = fault.Wrap(fault.Internal, err, name)
		}
		return h
	}
	m.refusals = counter("poststand_refusals", "Requests and messages refused, by reason.")
	m.retries = counter("poststand_retries", "Further tries of requests, by the reason of the failed one.")
	m.outcomes = counter("poststand_outcomes", "Requests by the outcome that callers were told.")
	m.events = counter("poststand_events", "Other events, by name and reason.")
	m.bytes = counter("poststand_bytes", "Bytes moved, by what they were for.")
	m.notAdmitted = counter("poststand_not_admitted", "Requests not admitted, by cause and rank.")
	m.firstDataSeconds = seconds("poststand_first_data_seconds", "Until the first part of an answer.")
	m.answerSeconds = seconds("poststand_answer_seconds", "Until the end of an answer.")
	m.predictionError = seconds("poststand_prediction_error_seconds", "Difference of the measured from the predicted time to the first part of an answer, by what the prediction rested on.",
		metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2))
	return lastErr
}

func withAttributes(pairs ...string) metric.MeasurementOption {
	attrs := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		attrs = append(attrs, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(attrs...)
}

// Refused counts a refusal.
func (m *Metrics) Refused(reason fault.Code) {
	m.refusals.Add(context.Background(), 1, withAttributes("reason", string(reason)))
}

// NotAdmitted counts a request that admission refused. Cause must be one of few values.
func (m *Metrics) NotAdmitted(cause string, rank int) {
	const maxRank = 9 // Larger ranks are counted together.
	m.notAdmitted.Add(context.Background(), 1, withAttributes("cause", cause, "rank", strconv.Itoa(max(0, min(maxRank, rank)))))
}

// Retried counts a retry, by the reason why the previous attempt failed.
func (m *Metrics) Retried(reason fault.Code) {
	m.retries.Add(context.Background(), 1, withAttributes("reason", string(reason)))
}

// Outcome counts a request by the outcome that was reported to the caller.
func (m *Metrics) Outcome(outcome string, reason fault.Code) {
	m.outcomes.Add(context.Background(), 1, withAttributes("outcome", outcome, "reason", string(reason)))
}

// Event counts any other event. Detail must be empty or one of few values, since each
// value makes a time series.
func (m *Metrics) Event(name, detail string) {
	m.events.Add(context.Background(), 1, withAttributes("event", name, "reason", detail))
}

// Failure counts an error that is neither a refusal nor a retry.
func (m *Metrics) Failure(name string, err error) { m.Event(name, string(fault.CodeOf(err))) }

// Bytes counts transferred bytes. It is called for each frame, so the attributes of each
// purpose are built only once. Purpose must be one of few values.
func (m *Metrics) Bytes(purpose string, n int) {
	opt, ok := m.byteAttributes.Load(purpose)
	if !ok {
		opt, _ = m.byteAttributes.LoadOrStore(purpose, metric.WithAttributeSet(attribute.NewSet(attribute.String("what", purpose))))
	}
	m.bytes.Add(context.Background(), int64(n), opt.(metric.MeasurementOption))
}

// FirstData records the seconds until the first part of an answer.
func (m *Metrics) FirstData(seconds float64) {
	m.firstDataSeconds.Record(context.Background(), seconds)
}

// FullAnswer records the seconds until the end of an answer.
func (m *Metrics) FullAnswer(seconds float64) { m.answerSeconds.Record(context.Background(), seconds) }

// PredictionError records by how many seconds the first part of an answer was later than predicted,
// or earlier if negative. Basis must be one of few values.
func (m *Metrics) PredictionError(basis string, seconds float64) {
	side := "late"
	if seconds < 0 {
		side, seconds = "early", -seconds
	}
	m.predictionError.Record(context.Background(), seconds, withAttributes("basis", basis, "side", side))
}

// Gauge registers a gauge whose value is read when the metrics are collected.
func (m *Metrics) Gauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return fault.Wrap(fault.Internal, err, name)
	}
	return nil
}
