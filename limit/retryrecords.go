package limit

import (
	"sync"
	"time"
)

const (
	// RetryRecordTTL is how long a record includes all retries of a gateway that reports nothing
	// more: until then it makes no more than Unconfirmed.
	RetryRecordTTL = 3 * time.Second
	// UnconfirmedFor is how long after its last confirmed report a gateway limits the retries that it
	// has not reported. It is longer than RetryRecordTTL by the time that a report takes at most.
	UnconfirmedFor = RetryRecordTTL + time.Second
	// maxRetryRecords bounds the gateways of which records are held.
	maxRetryRecords = 4096
	// retryRecordsFor is how long a record is held.
	retryRecordsFor = 10 * time.Minute
)

// RetryRecord is what is known of the retries of a gateway's box. Other gateways hold it for the
// next process of the box.
type RetryRecord struct {
	Process    uint64    // Identifies the process that reported.
	Seq        int       // Later reports of a process have higher ones.
	HeardAt    time.Time // When the gateway reported, or was last known to run.
	KnownSince time.Time // Services has all retries since then.
	Final      bool      // The process has ended as planned and made no more retries.
	Services   map[string]RetryHistory
}

// Complete reports whether the record has all retries of processes that ended before startedAt.
func (r *RetryRecord) Complete(startedAt time.Time) bool {
	return r.Final || startedAt.Sub(r.HeardAt) <= RetryRecordTTL
}

// Newer reports whether the record is to be preferred to an older one of the same gateway. A message
// may have been delayed, so reports of one process are ordered by their sequence.
func (r *RetryRecord) Newer(old *RetryRecord) bool {
	if r.Process == old.Process && r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.HeardAt.After(old.HeardAt)
}

// withUnconfirmed returns the record with the retries that may not have been reported counted as
// made at now.
func (r *RetryRecord) withUnconfirmed(now time.Time) RetryRecord {
	out := *r
	if r.Final {
		return out
	}
	out.Services = make(map[string]RetryHistory, len(r.Services))
	for service, h := range r.Services {
		steps := append([]RetryStep(nil), h.Steps...)
		h.Steps = append(steps, RetryStep{From: now, Until: now, Retries: h.Unconfirmed})
		out.Services[service] = h
	}
	return out
}

// RetryRecords holds the records of other gateways. The zero value is empty.
type RetryRecords struct {
	mu      sync.Mutex
	records map[string]RetryRecord // By gateway.
}

// Store keeps a record unless a newer one of the same gateway is held.
func (rs *RetryRecords) Store(now time.Time, gateway string, r RetryRecord) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.expire(now)
	old, ok := rs.records[gateway]
	if ok && !r.Newer(&old) || !ok && len(rs.records) >= maxRetryRecords {
		return
	}
	rs.put(gateway, r)
}

// Take returns the record for a process that started at startedAt, if it is complete. Retries that
// may not have been reported are counted as made. The process may end as well before it reports, so
// the record that is held from now on includes that it runs.
func (rs *RetryRecords) Take(now, startedAt time.Time, gateway string) (r RetryRecord, ok bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.expire(now)
	held, ok := rs.records[gateway]
	if !ok || !held.Complete(startedAt) {
		return RetryRecord{}, false
	}
	r = held.withUnconfirmed(now)
	next := r
	next.HeardAt, next.Final = now, false
	rs.put(gateway, next)
	return r, true
}

// All returns the records of all gateways.
func (rs *RetryRecords) All(now time.Time) map[string]RetryRecord {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.expire(now)
	out := make(map[string]RetryRecord, len(rs.records))
	for gateway, r := range rs.records {
		out[gateway] = r
	}
	return out
}

func (rs *RetryRecords) put(gateway string, r RetryRecord) {
	if rs.records == nil {
		rs.records = map[string]RetryRecord{}
	}
	rs.records[gateway] = r
}

func (rs *RetryRecords) expire(now time.Time) {
	for gateway, r := range rs.records {
		if now.Sub(r.HeardAt) > retryRecordsFor {
			delete(rs.records, gateway)
		}
	}
}
