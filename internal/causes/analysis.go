package causes

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Causes of late answers.
const (
	lateBeforeSend = "late_before_send" // The request waited, or its caller came back, for too long.
	lateAtReplica  = "late_at_replica"
)

// clockSlack is how far the clocks of two gateways may differ when a caller comes back.
const clockSlack = 100 // ms

// Analysis collects the events of gateways.
type Analysis struct {
	DefaultTarget time.Duration // Latency target of lines that have none.

	names          names
	attempts       []attempt
	predictions    [len(predictedBounds)]prediction
	allPredictions prediction
	reportAges     [len(ageBounds)]ageError
	allReportAges  ageError
}

// Wants reports whether events of this name are analysed.
func Wants(name string) bool { return name == requestEvent || name == refusedEvent }

// Add adds an event. Events that Wants does not report are ignored; an event that cannot be read
// is an error with code fault.Garbage and changes nothing.
func (a *Analysis) Add(e Event) error {
	if !Wants(e.Name) {
		return nil
	}
	t, err := a.attemptOf(e)
	if err != nil {
		return err
	}
	p, err := predictedOf(e)
	if err != nil {
		return err
	}
	a.attempts = append(a.attempts, t)
	if t.fate == inTime && t.first >= 0 && p.engine {
		a.addPrediction(p, t)
	}
	return nil
}

// Cause is a number of requests that were not answered in time, with what they have in common.
type Cause struct {
	Requests                        int
	Route, Rank, Organisation, Hall string
	Retry                           bool // The caller had been refused before.
	Cause                           string
}

// Count is the number of requests that were not answered in time and have one thing in common.
type Count struct {
	By, Value string
	Requests  int
}

// Total is the number of requests with one outcome.
type Total struct {
	Outcome      string
	Requests     int
	RefusedFirst int // Those of them that were refused before.
}

// Report is the result of an analysis.
type Report struct {
	Totals      []Total
	Counts      []Count         // By each property of Cause alone, the most frequent first.
	Causes      []Cause         // The most frequent first.
	Predictions []PredictionRow // By range, then all.
	ReportAges  []ReportAgeRow  // By range, then all.
}

// Report returns the result for all events that have been added.
func (a *Analysis) Report() Report {
	slices.SortFunc(a.attempts, compareAttempts)
	totals := make([]Total, fates)
	for i := range totals {
		totals[i].Outcome = fateNames[i]
	}
	causes := map[causeKey]int{}
	for rest := a.attempts; len(rest) > 0; {
		n := requestLength(rest)
		f, retry, cause := a.outcomeOf(rest[:n])
		totals[f].Requests++
		if retry {
			totals[f].RefusedFirst++
		}
		if f != inTime && f != invalid {
			causes[causeKey{rest[n-1].group, retry, cause}]++
		}
		rest = rest[n:]
	}
	found := a.causes(causes)
	return Report{Totals: totals, Counts: countsOf(found), Causes: found, Predictions: a.predictionRows(), ReportAges: a.reportAgeRows()}
}

// compareAttempts orders attempts so that those at one request follow each other.
func compareAttempts(a, b attempt) int {
	return cmp.Or(
		bytes.Compare(a.key[:], b.key[:]), cmp.Compare(a.group.route, b.group.route),
		cmp.Compare(a.group.organisation, b.group.organisation), cmp.Compare(a.endedAt, b.endedAt),
	)
}

// requestLength returns how many of the attempts, from the first on, are at one request.
func requestLength(attempts []attempt) int {
	n := 1
	for n < len(attempts) && follows(attempts[n-1], attempts[n]) {
		n++
	}
	return n
}

// follows reports whether an attempt is the retry of one that was refused.
func follows(before, t attempt) bool {
	return before.hasKey && t.hasKey && before.key == t.key && before.fate == refused &&
		before.group.route == t.group.route && before.group.organisation == t.group.organisation &&
		t.arrivedAt >= before.endedAt-clockSlack && t.arrivedAt <= before.endedAt+int64(before.left)+clockSlack
}

// outcomeOf returns the fate of a request from its attempts, whether it was refused before its
// last one, and the cause if it was not answered in time.
func (a *Analysis) outcomeOf(attempts []attempt) (f fate, retry bool, cause string) {
	last := attempts[len(attempts)-1]
	retry = len(attempts) > 1
	if last.fate != inTime {
		return last.fate, retry, a.names.text(last.reason)
	}
	before := max(0, last.arrivedAt-attempts[0].arrivedAt) + int64(last.waited)
	atReplica := int64(last.first - last.waited)
	target := int64(last.target)
	switch {
	case target <= 0 || last.first < 0 || before+atReplica <= target:
		return inTime, retry, ""
	case before >= target || before > atReplica:
		return late, retry, lateBeforeSend
	}
	return late, retry, lateAtReplica
}

// causeKey is what causes are counted by.
type causeKey struct {
	group group
	retry bool
	cause string
}

// causes returns the counted causes, the most frequent first.
func (a *Analysis) causes(counts map[causeKey]int) []Cause {
	var out []Cause
	for k, n := range counts {
		out = append(out, Cause{
			Requests: n, Route: a.names.text(k.group.route), Rank: a.names.text(k.group.rank),
			Organisation: a.names.text(k.group.organisation), Hall: a.names.text(k.group.hall), Retry: k.retry, Cause: k.cause,
		})
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), slices.Compare(a.values(), b.values()))
	})
	return out
}

// properties are the names of what Cause.values returns.
var properties = []string{"cause", "route", "rank", "organisation", "hall", "attempt"}

// values returns what the requests of a cause have in common.
func (c Cause) values() []string {
	attempt := "first"
	if c.Retry {
		attempt = "retry"
	}
	return []string{c.Cause, c.Route, c.Rank, c.Organisation, c.Hall, attempt}
}

// countsOf counts the requests of all causes by each property alone, in the order of properties.
func countsOf(all []Cause) []Count {
	var out []Count
	for i, by := range properties {
		n := map[string]int{}
		for _, c := range all {
			n[c.values()[i]] += c.Requests
		}
		var counts []Count
		for value, requests := range n {
			counts = append(counts, Count{By: by, Value: value, Requests: requests})
		}
		slices.SortFunc(counts, func(a, b Count) int {
			return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Value, b.Value))
		})
		out = append(out, counts...)
	}
	return out
}
