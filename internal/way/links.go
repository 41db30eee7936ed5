package way

import (
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

// flow is the transfer of a chunk on the origin's link, whose capacity all flows share
// equally.
type flow struct {
	to        *box
	chunk     int
	remaining float64 // Bytes.
}

// reachable reports whether two boxes can exchange messages now.
func (sim *simulation) reachable(a, b *box) bool {
	if a.lost || b.lost {
		return false
	}
	ha, hb := sim.hall(a.index), sim.hall(b.index)
	for _, c := range sim.Partitions {
		if c.contains(sim.now) && ha != hb && (c.Hall == ha || c.Hall == hb) {
			return false
		}
	}
	return true
}

// reachOrigin reports whether a box can reach the origin now.
func (sim *simulation) reachOrigin(b *box) bool {
	for _, s := range sim.OriginOutages {
		if s.contains(sim.now) {
			return false
		}
	}
	for _, c := range sim.Partitions {
		if h := sim.hall(b.index); c.contains(sim.now) && h != 0 && (c.Hall == h || c.Hall == 0) {
			return false
		}
	}
	return !b.lost
}

func (sim *simulation) latency(a, b *box) time.Duration {
	if sim.hall(a.index) == sim.hall(b.index) {
		return sim.InHallLatency
	}
	return sim.CrossHallLatency
}

func (sim *simulation) originLatency(b *box) time.Duration {
	if sim.hall(b.index) == 0 {
		return sim.InHallLatency
	}
	return sim.CrossHallLatency
}

// onLink returns the transfer time of a chunk on a share of a box's link.
func (sim *simulation) onLink(b *box, share float64) time.Duration {
	rate := sim.BoxRate * share
	if f := sim.LinkFactor[b.index]; f > 0 {
		rate *= f
	}
	return time.Duration(float64(sim.ChunkBytes) / rate * float64(time.Second))
}

// serve starts the flow of a chunk on the origin's link.
func (sim *simulation) serve(b *box, chunk int) {
	if !sim.reachOrigin(b) {
		sim.after(sim.dialFailsAfter(b), func() { b.fetchEnded(chunk, -1, fault.Unreachable) })
		return
	}
	sim.advance()
	sim.flows = append(sim.flows, &flow{b, chunk, float64(sim.ChunkBytes)})
	sim.scheduleFlowEnd()
}

// dialFailsAfter returns how long a dial to the unreachable origin takes: if it is silent, the
// timeout of link.RetryDialer.
func (sim *simulation) dialFailsAfter(b *box) time.Duration {
	if !sim.OriginSilent {
		return sim.originLatency(b)
	}
	if !b.dialFailed {
		b.dialFailed = true
		return dialTimeout
	}
	return redialTimeout
}

// advance subtracts from all flows the bytes carried since the last change.
func (sim *simulation) advance() {
	if n := len(sim.flows); n > 0 {
		each := sim.OriginRate * (sim.now - sim.advancedAt).Seconds() / float64(n)
		for _, f := range sim.flows {
			f.remaining -= each
		}
	}
	sim.advancedAt = sim.now
}

// scheduleFlowEnd schedules the end of the flow that ends first.
func (sim *simulation) scheduleFlowEnd() {
	if len(sim.flows) == 0 {
		return
	}
	least := sim.flows[0]
	for _, f := range sim.flows {
		if f.remaining < least.remaining {
			least = f
		}
	}
	endsIn := time.Duration(max(0, least.remaining) * float64(len(sim.flows)) / sim.OriginRate * float64(time.Second))
	sim.after(endsIn+time.Microsecond, func() {
		sim.advance()
		if least.remaining <= 0 && sim.finishFlow(least) {
			sim.scheduleFlowEnd()
		}
	})
}

// finishFlow removes a flow from the link and delivers its chunk. It reports whether the flow
// was still there.
func (sim *simulation) finishFlow(f *flow) bool {
	at := slices.Index(sim.flows, f)
	if at < 0 {
		return false
	}
	sim.flows = slices.Delete(sim.flows, at, at+1)
	if sim.rnd.Float64() < sim.CorruptRate {
		sim.after(sim.originLatency(f.to), func() { f.to.fetchEnded(f.chunk, -1, fault.Corrupt) })
		return true
	}
	sim.recordSent(f.chunk)
	f.to.receive(f.chunk, -1, 0, sim.originLatency(f.to))
	return true
}

// recordSent records that the origin has sent a chunk.
func (sim *simulation) recordSent(chunk int) {
	if sim.OriginFirst == 0 && !slices.ContainsFunc(sim.OriginOutages, func(s Span) bool { return sim.now < s.To }) {
		sim.OriginFirst = sim.now
	}
	if !sim.sent.Has(chunk) {
		sim.sent.Set(chunk)
		sim.OriginLast = sim.now
	}
}

// crossHall returns when a chunk that a box has sent by now has left the link between its hall
// and that of the receiver. Chunks on that link follow one another.
func (sim *simulation) crossHall(from, to int) time.Duration {
	a, b := sim.hall(from), sim.hall(to)
	if a == b || sim.HallPairRate == 0 {
		return sim.now
	}
	onLink := time.Duration(float64(sim.ChunkBytes) / sim.HallPairRate * float64(time.Second))
	pair := [2]int{a, b}
	sim.pairFreeAt[pair] = max(sim.now, sim.pairFreeAt[pair]+onLink)
	return sim.pairFreeAt[pair]
}

// cancel removes a box's fetch of a chunk from the origin's link.
func (sim *simulation) cancel(b *box, chunk int) {
	sim.advance()
	sim.flows = slices.DeleteFunc(sim.flows, func(f *flow) bool { return f.to == b && f.chunk == chunk })
	sim.scheduleFlowEnd()
	sim.after(0, func() { b.fetchEnded(chunk, -1, fault.Cancelled) })
}

// dropFlows ends all fetches of boxes that can no longer reach the origin.
func (sim *simulation) dropFlows() {
	sim.advance()
	kept := sim.flows[:0]
	for _, f := range sim.flows {
		if sim.reachOrigin(f.to) {
			kept = append(kept, f)
			continue
		}
		sim.after(sim.originLatency(f.to), func() { f.to.fetchEnded(f.chunk, -1, fault.ConnectionLost) })
	}
	sim.flows = kept
	sim.scheduleFlowEnd()
}

func (sim *simulation) partition(int) {
	sim.dropFlows()
	sim.after(detectionDelay, sim.dropSessions)
}

// dropSessions ends the sessions of boxes that cannot reach each other.
func (sim *simulation) dropSessions() {
	for _, b := range sim.boxes {
		for i, p := range b.peers {
			if o := sim.boxes[i]; p != nil && !sim.reachable(b, o) {
				b.peers[i] = nil
				b.plan.PeerDisconnected(o.member.Name)
			}
		}
		b.step()
	}
}

// reconnect opens sessions again after a partition.
func (sim *simulation) reconnect() {
	var members []weights.Member
	for _, b := range sim.boxes {
		members = append(members, b.member)
	}
	for _, b := range sim.boxes {
		if b.plan == nil || b.lost {
			continue
		}
		for _, m := range weights.Swarm.Neighbours(b.member, members) {
			i := slices.IndexFunc(members, func(o weights.Member) bool { return o.Name == m.Name })
			b.dial(sim.boxes[i])
		}
	}
}
