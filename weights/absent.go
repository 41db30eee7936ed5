package weights

import (
	"math"
	"time"
)

// originState is what a box knows of the origin.
type originState struct {
	away     bool      // Nobody is known to have been served since a failure.
	tryAt    time.Time // While it is away, when this box tries it.
	backAt   time.Time // When turns begin, after it was away.
	movedAt  time.Time // When it was last known to have served some box,
	failedAt time.Time // and when it failed this one.
	troubles int       // Failures in a row after which it served others.
	leaveTil time.Time // It is left to others until then.
}

// moved records that the origin has served some box.
func (p *Plan) moved(now time.Time) {
	o := &p.origin
	o.movedAt = now
	p.back(now)
	if !o.failedAt.IsZero() && now.Sub(o.failedAt) < aloneIn+aloneChunks*p.perChunkAtOrigin() {
		o.leaveTil = now.Add(min(troubleMost, troubleFirst<<min(o.troubles, 8)))
		o.troubles++
	}
	o.failedAt = time.Time{}
}

// back records that the origin has begun to serve some box. All turns begin anew, once
// other boxes whose tries are answered had time to say so.
func (p *Plan) back(now time.Time) {
	if p.origin.away {
		p.origin.away = false
		p.origin.backAt = now.Add(p.stagger())
		clear(p.dueAt)
	}
}

// lost records that the origin has failed some box: it is taken to be away until it is
// known to have served one since.
func (p *Plan) lost(now time.Time) {
	if !p.origin.away {
		p.origin.away = true
		p.origin.tryAt = now.Add(p.probeWait())
	}
}

// probeWait draws the time until this box's next try at an origin that is away. All
// boxes together try it probesInStagger times in a stagger.
func (p *Plan) probeWait() time.Duration {
	mean := float64(p.stagger()) / probesInStagger * float64(max(1, len(p.names)))
	return time.Duration(min(probeMost*mean, -mean*math.Log(1-p.Rand.Float64())))
}

// originFailed records a fetch from the origin that brought nothing.
func (p *Plan) originFailed(now time.Time, chunk int) {
	p.origin.failedAt = now
	p.release(chunk, true)
	p.lost(now)
}

// originSpoilt records an answer of the origin that does not match its digest. The box
// asks again at once, and leaves the chunk to others if that is spoilt too.
func (p *Plan) originSpoilt(now time.Time, chunk int) {
	p.moved(now)
	p.spoilt[chunk]++
	if p.spoilt[chunk]%spoiltAllowed != 0 {
		return
	}
	p.release(chunk, false)
	p.dueAt[chunk] = now
	p.turn[chunk] = now.Add(p.claimFor())
}
