package peers

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/poststand/poststand/limit"
)

// A record must mean the same to its receiver: retries count for no shorter, and a past that is known
// for a time is not known for longer.
func TestRetryRecordIsReceivedAsItWasSent(t *testing.T) {
	const window, step = 10 * time.Second, 500 * time.Millisecond
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	sent := limit.RetryRecord{
		Process: 7, Seq: 3, HeardAt: at(900), KnownSince: at(8000), Final: true,
		Services: map[string]limit.RetryHistory{"s": {
			Steps:       []limit.RetryStep{{From: at(7777), Until: at(7277), Requests: 40, Retries: 5}, {From: at(120), Until: at(-380), Requests: 3, Retries: 1}},
			Unconfirmed: 4,
		}},
	}
	for _, tc := range []struct {
		name       string
		knownSince time.Time
	}{{"known for a time", at(8000)}, {"known for ever", time.Time{}}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sent.KnownSince = tc.knownSince
			m := NewRetryRecord("g", sent, window, now)
			is.True(m.Valid())
			got := m.Received(now, step)
			is.Equal(got.KnownSince, tc.knownSince)
			is.Equal([]any{got.Process, got.Seq, got.HeardAt, got.Final}, []any{sent.Process, sent.Seq, sent.HeardAt, sent.Final})
			h := got.Services["s"]
			is.Equal(h.Unconfirmed, 4)
			for i, s := range sent.Services["s"].Steps {
				is.Equal([]int{h.Steps[i].Requests, h.Steps[i].Retries}, []int{s.Requests, s.Retries})
				is.True(!h.Steps[i].Until.Before(s.Until) && h.Steps[i].Until.Sub(s.Until) < window/unitsPerWindow)
			}
		})
	}
}

// What another process sends may not overflow or crash a gateway.
func TestImplausibleRetryRecordsAreInvalid(t *testing.T) {
	step := func(age, requests, retries int) map[string]ServiceRetries {
		return map[string]ServiceRetries{"s": {Ages: []int{age}, Requests: []int{requests}, Retries: []int{retries}}}
	}
	is := is.New(t)
	valid := RetryRecord{Gateway: "g", KnownFor: ForeverKnown, Unit: time.Second, Services: step(1, 2, 3)}
	is.True(valid.Valid())
	for _, r := range []RetryRecord{
		{},
		{Gateway: "g", Age: -1},
		{Gateway: "g", Age: MaxReportedAge + 1},
		{Gateway: "g", KnownFor: -1},
		{Gateway: "g", Unit: -1},
		{Gateway: "g", Unit: MaxReportedAge + 1},
		{Gateway: "g", Services: step(-1, 0, 0)},
		{Gateway: "g", Services: step(maxStepAge+1, 0, 0)},
		{Gateway: "g", Services: step(0, -1, 0)},
		{Gateway: "g", Services: step(0, 0, maxStepCount+1)},
		{Gateway: "g", Services: map[string]ServiceRetries{"s": {Ages: []int{1}}}},
		{Gateway: "g", Services: map[string]ServiceRetries{"s": {Unconfirmed: -1}}},
		{Gateway: "g", Services: map[string]ServiceRetries{"s": {Ages: make([]int, maxRetrySteps+1), Requests: make([]int, maxRetrySteps+1), Retries: make([]int, maxRetrySteps+1)}}},
		{Gateway: strings.Repeat("g", maxGatewayLength+1)},
	} {
		if r.Valid() {
			t.Errorf("valid: %+v", r)
		}
	}
}

// A gateway reports all the time, so a report must stay small, whatever is in the window.
func TestReportsOfRetriesAreSmall(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	size := func(r limit.RetryRecord) int {
		b, err := msgpack.Marshal(&RetryReport{[]RetryRecord{NewRetryRecord("10.100.100.100:8740", r, 10*time.Second, now)}})
		is.NoErr(err)
		return len(b)
	}
	idle := size(limit.RetryRecord{Process: 1 << 63, Seq: 100, HeardAt: now, KnownSince: now.Add(-time.Hour)})
	var w limit.RetryWindow
	l := limit.RetryLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 10}
	for at := now.Add(-10 * time.Second); at.Before(now); at = at.Add(10 * time.Millisecond) {
		w.RecordRequest(at, l.Window)
		w.TrySpend(at, l, 0)
	}
	h, _ := w.History(now, l)
	one := size(limit.RetryRecord{Process: 1 << 63, Seq: 100, HeardAt: now, KnownSince: now.Add(-time.Hour), Services: map[string]limit.RetryHistory{"service": h}})
	t.Logf("%d bytes without requests, %d with a service", idle, one)
	is.True(idle < 120)
	is.True(one-idle < 150)
}
