package peers

import (
	"context"
	"math"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/limit"
)

// Bounds of plausible values in a RetryRecord.
const (
	maxRetrySteps = 256
	maxStepCount  = 1 << 24
	maxStepAge    = 1 << 16 // In units.
	maxGateways   = 1 << 16
	// maxGatewayLength is the longest address, in bytes.
	maxGatewayLength = 64
)

// RetryRecord is what the sender knows of the retries of one gateway. Clocks differ, so times travel
// as ages.
type RetryRecord struct {
	Gateway  string                    // Its address.
	Process  uint64                    // See limit.RetryRecord.
	Seq      int                       // See limit.RetryRecord.
	Age      time.Duration             // Time since it reported.
	KnownFor time.Duration             // All of its retries for this long are known; ForeverKnown if all are.
	Final    bool                      `msgpack:",omitempty"` // The process has ended as planned.
	Unit     time.Duration             `msgpack:",omitempty"` // Unit of ages of steps.
	Services map[string]ServiceRetries `msgpack:",omitempty"`
}

// ForeverKnown is the RetryRecord.KnownFor of a gateway that has made no other retries ever.
const ForeverKnown = time.Duration(math.MaxInt64)

// ServiceRetries are the requests and retries to one service, by short time spans, the oldest first.
type ServiceRetries struct {
	Ages        []int // Time since the start of each span, in units.
	Requests    []int
	Retries     []int
	Unconfirmed int // Retries that the gateway may have made since it reported.
}

// RetryReport reports the retries of gateways: the sender's own, and in its last report those that
// it holds of others. It is answered by a RetryReportReceived.
type RetryReport struct{ Records []RetryRecord }

// RetryReportReceived answers a RetryReport.
type RetryReportReceived struct{}

// RetryQuery asks for the record of the sender, a process that has started. It is answered by a
// RetryAnswer.
type RetryQuery struct {
	Gateway string        // Its address.
	Up      time.Duration // Time since its start.
}

// RetryAnswer answers a RetryQuery.
type RetryAnswer struct {
	Found    bool // Whether Record includes all retries of earlier processes.
	Record   RetryRecord
	Gateways int // See Gossip.RecentCount.
}

// Valid reports whether the record is plausible: its values are within bounds.
func (r *RetryRecord) Valid() bool {
	if r.Gateway == "" || len(r.Gateway) > maxGatewayLength || r.Age < 0 || r.Age > MaxReportedAge || r.KnownFor < 0 || r.Unit < 0 || r.Unit > MaxReportedAge {
		return false
	}
	for _, s := range r.Services {
		if !s.valid() {
			return false
		}
	}
	return true
}

func (s *ServiceRetries) valid() bool {
	if len(s.Ages) > maxRetrySteps || len(s.Requests) != len(s.Ages) || len(s.Retries) != len(s.Ages) || s.Unconfirmed < 0 || s.Unconfirmed > maxStepCount {
		return false
	}
	for i := range s.Ages {
		if s.Ages[i] < 0 || s.Ages[i] > maxStepAge || s.Requests[i] < 0 || s.Requests[i] > maxStepCount || s.Retries[i] < 0 || s.Retries[i] > maxStepCount {
			return false
		}
	}
	return true
}

// unitsPerWindow is the precision of ages of steps.
const unitsPerWindow = 100

// NewRetryRecord returns the message for a record, given the length of the window. Ages are rounded
// down, so that the receiver counts retries for no shorter.
func NewRetryRecord(gateway string, r limit.RetryRecord, window time.Duration, now time.Time) RetryRecord {
	out := RetryRecord{
		Gateway: gateway, Process: r.Process, Seq: r.Seq, Age: max(0, now.Sub(r.HeardAt)), KnownFor: ForeverKnown, Final: r.Final,
	}
	if !r.KnownSince.IsZero() {
		out.KnownFor = max(0, now.Sub(r.KnownSince))
	}
	if len(r.Services) == 0 {
		return out
	}
	out.Unit, out.Services = max(1, window/unitsPerWindow), make(map[string]ServiceRetries, len(r.Services))
	for service, h := range r.Services {
		s := ServiceRetries{Unconfirmed: h.Unconfirmed}
		for _, step := range h.Steps {
			s.Ages = append(s.Ages, int(max(0, now.Sub(step.From))/out.Unit))
			s.Requests = append(s.Requests, step.Requests)
			s.Retries = append(s.Retries, step.Retries)
		}
		out.Services[service] = s
	}
	return out
}

// Received returns the record of a message that was sent at sentAt or later. Steps may have lasted for
// stepLength.
func (r *RetryRecord) Received(sentAt time.Time, stepLength time.Duration) limit.RetryRecord {
	out := limit.RetryRecord{Process: r.Process, Seq: r.Seq, HeardAt: sentAt.Add(-r.Age), Final: r.Final, Services: make(map[string]limit.RetryHistory, len(r.Services))}
	if r.KnownFor != ForeverKnown {
		out.KnownSince = sentAt.Add(-r.KnownFor)
	}
	for service, s := range r.Services {
		h := limit.RetryHistory{Unconfirmed: s.Unconfirmed}
		for i, age := range s.Ages {
			from := sentAt.Add(-time.Duration(age) * r.Unit)
			h.Steps = append(h.Steps, limit.RetryStep{From: from, Until: from.Add(stepLength), Requests: s.Requests[i], Retries: s.Retries[i]})
		}
		out.Services[service] = h
	}
	return out
}

// ReportRetries sends records to the gateway at an address, and returns once it has received them.
func (g *Gossip) ReportRetries(ctx context.Context, addr string, records []RetryRecord) error {
	m, err := g.call(ctx, addr, &RetryReport{records})
	if err != nil {
		return err
	}
	if _, ok := m.(*RetryReportReceived); !ok {
		return fault.New(fault.Garbage, "invalid answer to a report of retries")
	}
	return nil
}

// QueryRetries asks the gateway at an address for what it knows of earlier processes of this gateway,
// which started at startedAt.
func (g *Gossip) QueryRetries(ctx context.Context, addr string, startedAt time.Time) (*RetryAnswer, error) {
	m, err := g.call(ctx, addr, &RetryQuery{Gateway: g.Self.Addr, Up: time.Since(startedAt)})
	if err != nil {
		return nil, err
	}
	a, ok := m.(*RetryAnswer)
	if !ok || a.Gateways < 0 || a.Gateways > maxGateways || a.Found && (a.Record.Gateway != g.Self.Addr || !a.Record.Valid()) {
		return nil, fault.New(fault.Garbage, "invalid answer to a query of retries")
	}
	return a, nil
}
