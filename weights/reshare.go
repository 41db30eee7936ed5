package weights

import "time"

// stalledAfter is for how long no chunk leaves the origin until what is left is shared
// anew among the boxes: a part of the time after which the next box of an order takes a
// chunk over. All that has left the origin is known to all boxes by then, so they agree on
// what is left.
func (p *Plan) stalledAfter() time.Duration { return p.grace() / 2 }

// hasMoved records that a chunk has left the origin, which can be had then: a box that
// leaves it alone after a failure asks again, when the origin's link comes to its chunk.
func (p *Plan) hasMoved(now time.Time) {
	p.movedAt, p.reshared = now, false
	if !p.originAt.After(now) {
		return
	}
	ahead := 0 // Chunks that others fetch before the one of this box.
	for i := range p.Chunks {
		switch {
		case p.have.Has(i) || p.rarity[i] > 0:
		case p.LooksAfter(i):
			if at := now.Add(time.Duration(ahead) * p.Inject / time.Duration(p.Chunks)); at.Before(p.originAt) {
				p.originAt = at
			}
			return
		default:
			ahead++
		}
	}
}

// shareAnew gives the chunks that have yet to leave the origin to boxes anew, each about
// as many, when the origin has been away for a while. Without it, those of one box leave
// the origin one after the other, and its link carries all of their copies.
func (p *Plan) shareAnew(now time.Time, wake *time.Time) {
	if p.reshared || !p.Strategy.Balanced || p.movedAt.IsZero() {
		return
	}
	if at := p.movedAt.Add(p.stalledAfter()); at.After(now) {
		earlier(wake, at)
		return
	}
	var left []int
	due := false
	for i := range p.Chunks {
		if !p.have.Has(i) && p.rarity[i] == 0 {
			left = append(left, i)
			due = due || now.Sub(p.scheduled(i)) > p.stalledAfter()
		}
	}
	if !due {
		return
	}
	p.reshared = true
	o := orderOf(func(k int) string { return p.Strategy.OrderKey(left[k]) }, len(left), p.Self, p.names, true)
	for k, i := range left {
		p.order.first[i], p.order.position[i] = o.first[k], o.position[k]
		p.turn[i] = now.Add(time.Duration(o.position[k]) * p.grace())
		delete(p.granted, i)
	}
}
