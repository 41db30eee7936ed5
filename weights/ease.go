package weights

import "time"

// ObserveTransferTime adapts how many fetches are open to how long the parts of a chunk took
// from the first to the last, so that a link that is slower than it should be has
// no long queue in which other traffic waits.
func (p *Plan) ObserveTransferTime(took time.Duration) {
	most := float64(orDefault(p.Parallel, defaultParallel))
	if p.parallel == 0 {
		p.parallel = most
	}
	if took > p.slowAfter() {
		p.parallel = max(1, p.parallel/2)
		return
	}
	p.parallel = min(most, p.parallel+easeBack)
}

// slowAfter is how long the parts of a chunk take on a link that is slower than it
// should be.
func (p *Plan) slowAfter() time.Duration { return slowFetch * p.ChunkTime }

// mayAsk is how many fetches from the origin may be open now.
func (p *Plan) mayAsk() int {
	if p.SingleFetch {
		return 1
	}
	return orDefault(p.OriginParallel, defaultAtOrigin)
}

// ParallelFraction is the part of its usual fetches that a box may have open now.
func (p *Plan) ParallelFraction() float64 {
	if p.parallel == 0 {
		return 1
	}
	return p.parallel / float64(orDefault(p.Parallel, defaultParallel))
}

// mayOpen is how many fetches may be open now.
func (p *Plan) mayOpen() int {
	if p.SingleFetch {
		return 1 + p.atOrigin
	}
	if !p.AdaptiveParallel || p.parallel == 0 {
		return orDefault(p.Parallel, defaultParallel)
	}
	return int(p.parallel)
}
