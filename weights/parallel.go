package weights

import "time"

// ObserveTransferTime adjusts the limit of open fetches to the time between the first and the
// last part of a chunk. On a link that is slower than expected this avoids a long queue, which
// would delay other traffic.
func (p *Plan) ObserveTransferTime(took time.Duration) {
	limit := float64(orDefault(p.Parallel, defaultParallel))
	if p.currentParallel == 0 {
		p.currentParallel = limit
	}
	if took > p.slowAfter() {
		p.currentParallel = max(1, p.currentParallel/2)
		return
	}
	p.currentParallel = min(limit, p.currentParallel+parallelStep)
}

// slowAfter returns the transfer time of a chunk above which the link counts as slower than
// expected.
func (p *Plan) slowAfter() time.Duration { return slowFetchChunks * p.ChunkTime }

// originLimit returns how many fetches from the origin may be open.
func (p *Plan) originLimit() int {
	if p.SingleFetch {
		return 1
	}
	return orDefault(p.OriginParallel, defaultAtOrigin)
}

// ParallelFraction returns the number of fetches that may be open as a fraction of the
// configured number.
func (p *Plan) ParallelFraction() float64 {
	if p.currentParallel == 0 {
		return 1
	}
	return p.currentParallel / float64(orDefault(p.Parallel, defaultParallel))
}

// fetchLimit returns how many fetches may be open.
func (p *Plan) fetchLimit() int {
	if p.SingleFetch {
		return 1 + p.openAtOrigin
	}
	if !p.AdaptiveParallel || p.currentParallel == 0 {
		return orDefault(p.Parallel, defaultParallel)
	}
	return int(p.currentParallel)
}
