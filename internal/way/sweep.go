package way

import (
	"runtime"
	"slices"
	"sync"
)

// Result is a plan with what it came to.
type Result struct {
	Scenario Scenario
	Metrics
}

// RunAll plays plans, as many at a time as there are processors, and returns them in
// their order.
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

// Summary is how plays compare with their bounds.
type Summary struct {
	Runs             int
	Median, P95, Max float64 // Of the ratios.
	ExtraCopies      float64 // Chunks that left the origin more than once, over one copy's.
	FailuresPerRun   float64 // Fetches that brought nothing, a play.
	CrossHallCopies  float64 // Copies that crossed into a hall.
	Worst            Result
}

// Summarize sums plays up. There is at least one.
func Summarize(ps []Result) Summary {
	s := Summary{Runs: len(ps)}
	ratios := make([]float64, len(ps))
	extra, copies, crossed := 0, 0, 0
	for i, p := range ps {
		ratios[i] = p.Ratio()
		if ratios[i] >= s.Max {
			s.Max, s.Worst = ratios[i], p
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
