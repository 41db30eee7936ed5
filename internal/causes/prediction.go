package causes

import (
	"math"
	"strconv"
)

// Lower bounds of the ranges by which predictions are counted, in milliseconds. A report's age
// of -1 means that there was no report.
var (
	predictedBounds = [...]int32{0, 50, 100, 150, 200, 250, 300}
	ageBounds       = [...]int32{-1, 0, 50, 200, 400, 600}
)

// An answer that comes more than laterThan after its predicted time counts as late in ReportAgeRow.
const laterThan = 200 // ms

// maxFirst is the longest time until the first event that is counted by the millisecond. Longer
// ones are counted as maxFirst.
const maxFirst = 10_000 // ms

// allRanges is the name of the row, the last one, that counts all answers.
const allRanges = "all"

// predicted is what a line tells of the prediction for its request.
type predicted struct {
	engine bool
	first  int32 // ms
	age    int32 // ms; -1 without a report.
}

// predictedOf reads the prediction of an event.
func predictedOf(e Event) (predicted, error) {
	r := fieldReader{fields: e.Fields}
	p := predicted{
		engine: r.millis("prompt", 0) > 0 && e.Fields["predicted_ms"] != "",
		first:  r.millis("predicted_ms", 0), age: max(-1, r.millis("report_age_ms", -1)),
	}
	return p, r.err
}

// prediction counts the answers that were predicted within one range.
type prediction struct {
	count, overTarget int
	firsts            []int32 // Count by milliseconds until the first event.
}

// ageError counts the errors of predictions by reports of one range of ages.
type ageError struct {
	count, later int
	sum          int64 // Of absolute errors, ms.
}

// addPrediction adds an answered attempt.
func (a *Analysis) addPrediction(p predicted, t attempt) {
	a.predictions[rangeOf(predictedBounds[:], p.first)].add(t)
	a.allPredictions.add(t)
	lateBy := int64(t.first) - int64(t.waited) - int64(p.first)
	a.reportAges[rangeOf(ageBounds[:], p.age)].add(lateBy)
	a.allReportAges.add(lateBy)
}

func (p *prediction) add(t attempt) {
	if p.firsts == nil {
		p.firsts = make([]int32, maxFirst+1)
	}
	p.count++
	p.firsts[min(maxFirst, t.first)]++
	if t.target > 0 && t.first > t.target {
		p.overTarget++
	}
}

// add adds an answer by how many milliseconds later than predicted it came.
func (e *ageError) add(lateBy int64) {
	e.count++
	e.sum += max(lateBy, -lateBy)
	if lateBy > laterThan {
		e.later++
	}
}

// rangeOf returns the index of the last bound that is not above n, or 0.
func rangeOf(bounds []int32, n int32) int {
	i := 0
	for i+1 < len(bounds) && bounds[i+1] <= n {
		i++
	}
	return i
}

// rangeName returns the name of a range.
func rangeName(bounds []int32, i int) string {
	from := strconv.Itoa(int(bounds[i]))
	switch {
	case bounds[i] < 0:
		return "none"
	case i+1 == len(bounds):
		return from + "+"
	}
	return from + "-" + strconv.Itoa(int(bounds[i+1]-1))
}

// PredictionRow describes the answers whose first event was predicted within one range.
type PredictionRow struct {
	Range      string // Milliseconds.
	Requests   int
	P50, P90   int     // Milliseconds until the first event.
	OverTarget float64 // Share.
}

// ReportAgeRow describes the answers whose replica was chosen by reports of one range of ages.
type ReportAgeRow struct {
	Range     string // Milliseconds.
	Requests  int
	MeanError float64 // Mean absolute error of the prediction, in milliseconds.
	Later     float64 // Share that came more than laterThan later than predicted.
}

func (a *Analysis) predictionRows() []PredictionRow {
	var out []PredictionRow
	for i := range a.predictions {
		out = append(out, a.predictions[i].row(rangeName(predictedBounds[:], i)))
	}
	return append(out, a.allPredictions.row(allRanges))
}

func (p *prediction) row(name string) PredictionRow {
	return PredictionRow{
		Range: name, Requests: p.count, P50: p.percentile(0.5), P90: p.percentile(0.9), OverTarget: float64(p.overTarget) / float64(max(1, p.count)),
	}
}

func (a *Analysis) reportAgeRows() []ReportAgeRow {
	var out []ReportAgeRow
	for i := range a.reportAges {
		out = append(out, a.reportAges[i].row(rangeName(ageBounds[:], i)))
	}
	return append(out, a.allReportAges.row(allRanges))
}

func (e *ageError) row(name string) ReportAgeRow {
	n := float64(max(1, e.count))
	return ReportAgeRow{Range: name, Requests: e.count, MeanError: float64(e.sum) / n, Later: float64(e.later) / n}
}

// percentile returns the smallest time until the first event that a share of the answers does
// not exceed.
func (p *prediction) percentile(share float64) int {
	need := int(math.Ceil(share * float64(p.count)))
	for ms, n := range p.firsts {
		if need -= int(n); need <= 0 {
			return ms
		}
	}
	return 0
}
