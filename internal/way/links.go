package way

import (
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

// flow is a chunk on the origin's link, which its flows share.
type flow struct {
	to    *box
	chunk int
	left  float64 // Bytes.
}

// reach reports whether two boxes hear each other now.
func (w *world) reach(a, b *box) bool {
	if a.lost || b.lost {
		return false
	}
	ha, hb := w.hall(a.i), w.hall(b.i)
	for _, c := range w.Partitions {
		if c.holds(w.now) && ha != hb && (c.Hall == ha || c.Hall == hb) {
			return false
		}
	}
	return true
}

// reachOrigin reports whether a box reaches the origin now.
func (w *world) reachOrigin(b *box) bool {
	for _, s := range w.OriginOutages {
		if s.holds(w.now) {
			return false
		}
	}
	for _, c := range w.Partitions {
		if h := w.hall(b.i); c.holds(w.now) && h != 0 && (c.Hall == h || c.Hall == 0) {
			return false
		}
	}
	return !b.lost
}

func (w *world) latency(a, b *box) time.Duration {
	if w.hall(a.i) == w.hall(b.i) {
		return w.InHallLatency
	}
	return w.CrossHallLatency
}

func (w *world) originLatency(b *box) time.Duration {
	if w.hall(b.i) == 0 {
		return w.InHallLatency
	}
	return w.CrossHallLatency
}

// onLink is the time that a chunk takes on a share of a box's link.
func (w *world) onLink(b *box, share float64) time.Duration {
	rate := w.BoxRate * share
	if f := w.LinkFactor[b.i]; f > 0 {
		rate *= f
	}
	return time.Duration(float64(w.ChunkBytes) / rate * float64(time.Second))
}

// serve puts a chunk on the origin's link.
func (w *world) serve(b *box, chunk int) {
	if !w.reachOrigin(b) {
		w.after(w.originLatency(b), func() { b.fetched(chunk, -1, fault.Unreachable) })
		return
	}
	w.advance()
	w.flows = append(w.flows, &flow{b, chunk, float64(w.ChunkBytes)})
	w.plan()
}

// advance counts what the flows have carried since the last change.
func (w *world) advance() {
	if n := len(w.flows); n > 0 {
		each := w.OriginRate * (w.now - w.moved).Seconds() / float64(n)
		for _, f := range w.flows {
			f.left -= each
		}
	}
	w.moved = w.now
}

// plan has the flow that ends first end.
func (w *world) plan() {
	if len(w.flows) == 0 {
		return
	}
	least := w.flows[0]
	for _, f := range w.flows {
		if f.left < least.left {
			least = f
		}
	}
	in := time.Duration(max(0, least.left) * float64(len(w.flows)) / w.OriginRate * float64(time.Second))
	w.after(in+time.Microsecond, func() {
		w.advance()
		if least.left <= 0 && w.end(least) {
			w.plan()
		}
	})
}

// end takes a flow off the link and gives its chunk to the box, and reports whether it was
// there.
func (w *world) end(f *flow) bool {
	at := slices.Index(w.flows, f)
	if at < 0 {
		return false
	}
	w.flows = slices.Delete(w.flows, at, at+1)
	if w.rnd.Float64() < w.CorruptRate {
		w.after(w.originLatency(f.to), func() { f.to.fetched(f.chunk, -1, fault.Corrupt) })
		return true
	}
	f.to.receive(f.chunk, -1, 0, w.originLatency(f.to))
	return true
}

// cancel takes a box's fetch of a chunk off the origin's link.
func (w *world) cancel(b *box, chunk int) {
	w.advance()
	w.flows = slices.DeleteFunc(w.flows, func(f *flow) bool { return f.to == b && f.chunk == chunk })
	w.plan()
	w.after(0, func() { b.fetched(chunk, -1, fault.Cancelled) })
}

// dropFlows ends all fetches of boxes that do not reach the origin any more.
func (w *world) dropFlows() {
	w.advance()
	kept := w.flows[:0]
	for _, f := range w.flows {
		if w.reachOrigin(f.to) {
			kept = append(kept, f)
			continue
		}
		w.after(w.originLatency(f.to), func() { f.to.fetched(f.chunk, -1, fault.Closed) })
	}
	w.flows = kept
	w.plan()
}

func (w *world) cut(int) {
	w.dropFlows()
	w.after(noticeIn, w.part)
}

// part ends the sessions of boxes that do not hear each other.
func (w *world) part() {
	for _, b := range w.boxes {
		for i, p := range b.peers {
			if o := w.boxes[i]; p != nil && !w.reach(b, o) {
				b.peers[i] = nil
				b.plan.PeerDisconnected(o.member.Name)
			}
		}
		b.look()
	}
}

// meet opens sessions again after a cut.
func (w *world) meet() {
	var members []weights.Member
	for _, b := range w.boxes {
		members = append(members, b.member)
	}
	for _, b := range w.boxes {
		if b.plan == nil || b.lost {
			continue
		}
		for _, m := range weights.Swarm.Neighbours(b.member, members) {
			i := slices.IndexFunc(members, func(o weights.Member) bool { return o.Name == m.Name })
			b.dial(w.boxes[i])
		}
	}
}
