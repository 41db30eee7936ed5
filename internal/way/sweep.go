package way

import (
	"runtime"
	"slices"
	"sync"
)

// Played is a plan with what it came to.
type Played struct {
	Plan Plan
	Figures
}

// Sweep plays plans, as many at a time as there are processors, and returns them in
// their order.
func Sweep(plans []Plan) []Played {
	out := make([]Played, len(plans))
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				out[i] = Played{plans[i], plans[i].Play()}
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
	Plays                int
	Median, Most95, Most float64 // Of the ratios.
	Extra                float64 // Chunks that left the origin more than once, over one copy's.
	Failed               float64 // Fetches that brought nothing, a play.
	Across               float64 // Copies that crossed into a hall.
	Worst                Played
}

// Summarize sums plays up. There is at least one.
func Summarize(ps []Played) Summary {
	s := Summary{Plays: len(ps)}
	ratios := make([]float64, len(ps))
	extra, copies, crossed := 0, 0, 0
	for i, p := range ps {
		ratios[i] = p.Ratio()
		if ratios[i] >= s.Most {
			s.Most, s.Worst = ratios[i], p
		}
		extra += max(0, p.Fetched-p.Plan.Chunks)
		copies += p.Plan.Chunks
		crossed += p.Plan.Chunks * (p.Plan.Halls - 1)
		s.Across += float64(p.Crossed)
		s.Failed += float64(p.Failed) / float64(len(ps))
	}
	slices.Sort(ratios)
	s.Median, s.Most95 = ratios[len(ratios)/2], ratios[(len(ratios)-1)*95/100]
	s.Across /= float64(crossed)
	s.Extra = float64(extra) / float64(copies)
	return s
}
