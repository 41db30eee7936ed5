package weights

import (
	"math"
	"time"
)

// originState is the state of the origin as this box has observed it or received it by gossip.
type originState struct {
	down         bool      // A fetch failed, and no box is known to have been served since.
	probeAt      time.Time // When this box next probes the origin while it is down.
	turnsFrom    time.Time // When turns start after the origin has recovered.
	servedAt     time.Time // When the origin was last known to have served a box.
	failedAt     time.Time // When a fetch of this box last failed.
	loneFailures int       // Consecutive failures of this box while the origin served other boxes.
	backoffUntil time.Time // This box does not use the origin until then.
}

// originServed records that the origin has served some box. If it failed this box shortly
// before, only this box is affected, and it backs off.
func (p *Plan) originServed(now time.Time) {
	o := &p.origin
	o.servedAt = now
	p.originUp(now)
	if !o.failedAt.IsZero() && now.Sub(o.failedAt) < loneFailureWindow+loneFailureChunks*p.perChunkAtOrigin() {
		o.backoffUntil = now.Add(min(maxOriginBackoff, minOriginBackoff<<min(o.loneFailures, 8)))
		o.loneFailures++
	}
	o.failedAt = time.Time{}
}

// originUp records that the origin has started to serve some box. All turns restart after one
// stagger, so that gossip from other boxes whose probes were answered can arrive first.
func (p *Plan) originUp(now time.Time) {
	if p.origin.down {
		p.origin.down = false
		p.origin.turnsFrom = now.Add(p.stagger())
		clear(p.dueSince)
	}
}

// originDown records that the origin has failed some box. It counts as down until it is known
// to have served a box.
func (p *Plan) originDown(now time.Time) {
	if !p.origin.down {
		p.origin.down = true
		p.origin.probeAt = now.Add(p.probeWait())
	}
}

// probeWait returns a random delay until this box's next probe of an origin that is down. All
// boxes together send about probesPerStagger probes in one stagger.
func (p *Plan) probeWait() time.Duration {
	mean := float64(p.stagger()) / probesPerStagger * float64(max(1, len(p.members)))
	return time.Duration(min(maxProbeFactor*mean, -mean*math.Log(1-p.Rand.Float64())))
}

// originFailed records that a fetch from the origin failed without data.
func (p *Plan) originFailed(now time.Time, chunk int) {
	p.origin.failedAt = now
	p.release(chunk, true)
	p.originDown(now)
}

// originCorrupt records an answer of the origin that does not match its digest. The box
// retries at once; after every maxCorruptAnswers corrupt answers it leaves the chunk to other
// boxes for the validity of a claim.
func (p *Plan) originCorrupt(now time.Time, chunk int) {
	p.originServed(now)
	p.corruptAnswers[chunk]++
	if p.corruptAnswers[chunk]%maxCorruptAnswers != 0 {
		return
	}
	p.release(chunk, false)
	p.dueSince[chunk] = now
	p.turnAt[chunk] = now.Add(p.claimTerm())
}
