package way

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Result is a scenario with the metrics of its run.
type Result struct {
	Scenario Scenario
	Metrics
}

// RunAll runs scenarios, as many in parallel as there are processors, and returns the results
// in the order of the scenarios.
func RunAll(plans []Scenario) []Result {
	out := make([]Result, len(plans))
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				out[i] = Result{plans[i], plans[i].Run()}
			}
		})
	}
	for i := range plans {
		next <- i
	}
	close(next)
	wg.Wait()
	return out
}

// Summary aggregates the results of runs.
type Summary struct {
	Runs             int
	Median, P95, Max float64 // Statistics of Metrics.Ratio.
	ExtraCopies      float64 // Chunks fetched from the origin beyond one copy, as a share of one copy.
	FailuresPerRun   float64 // Failed fetches from the origin, per run.
	CrossHallCopies  float64 // Copies sent into each hall other than the origin's.
	// Means of the time from when the origin had sent the last chunk until the first, the median
	// and the last box had the version, and from the end of the last outage until the origin sent
	// the first chunk.
	ToFirst, ToMedian, ToLast, Resumed time.Duration
	Worst                              Result
}

// Summarize aggregates results, of which there must be at least one.
func Summarize(ps []Result) Summary {
	s := Summary{Runs: len(ps)}
	ratios := make([]float64, len(ps))
	n := time.Duration(len(ps))
	extra, copies, crossed := 0, 0, 0
	for i, p := range ps {
		ratios[i] = p.Ratio()
		if ratios[i] >= s.Max {
			s.Max, s.Worst = ratios[i], p
		}
		s.ToFirst += (p.First - p.OriginLast) / n
		s.ToMedian += (p.Metrics.Median - p.OriginLast) / n
		s.ToLast += (p.Last - p.OriginLast) / n
		if o := p.Scenario.OriginOutages; p.OriginFirst > 0 && len(o) > 0 {
			s.Resumed += (p.OriginFirst - o[len(o)-1].To) / n
		}
		extra += max(0, p.OriginChunks-p.Scenario.Chunks)
		copies += p.Scenario.Chunks
		crossed += p.Scenario.Chunks * (p.Scenario.Halls - 1)
		s.CrossHallCopies += float64(p.CrossHallChunks)
		s.FailuresPerRun += float64(p.OriginFailures) / float64(len(ps))
	}
	slices.Sort(ratios)
	s.Median, s.P95 = ratios[len(ratios)/2], ratios[(len(ratios)-1)*95/100]
	s.CrossHallCopies /= float64(crossed)
	s.ExtraCopies = float64(extra) / float64(copies)
	return s
}
