package way

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

type box struct {
	sim            *simulation
	index          int
	member         weights.Member
	plan           *weights.Plan
	peers          []*peer // By index of the neighbour; nil where there is no session.
	waiting        []upload
	uploading      bool
	downlinkFreeAt time.Duration
	wakeAt         time.Duration
	lost           bool
	dialFailed     bool          // The last dial to the origin failed.
	completedAt    time.Duration // Zero while incomplete.
	pending        map[fetch]bool
}

// peer is one direction of a session.
type peer struct {
	unsent    []int
	gossip    weights.Gossip
	sendAfter time.Duration // The next message is sent no earlier.
	scheduled bool
}

type fetch struct {
	chunk int
	from  int // Index of a box; -1 is the origin.
}

type upload struct {
	to    *box
	chunk int
}

func (b *box) start(members []weights.Member) {
	sim := b.sim
	if b.lost {
		return
	}
	copyTime := time.Duration(sim.copyBytes() / sim.OriginRate * float64(time.Second))
	b.plan = &weights.Plan{
		Self: b.member.Name, Strategy: weights.Swarm, Chunks: sim.Chunks, StartAt: epoch, OriginCopyTime: copyTime, ChunkTime: copyTime / time.Duration(sim.Chunks),
		Rand: rand.New(rand.NewPCG(sim.Seed, uint64(b.index)+3)), Parallel: parallel, OriginParallel: atOrigin, AdaptiveParallel: true, Stagger: stagger,
	}
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
		if m.Hall == b.member.Hall {
			b.plan.HallMembers = append(b.plan.HallMembers, m.Name)
		}
	}
	b.plan.Init(nil, names)
	for _, m := range weights.Swarm.Neighbours(b.member, members) {
		i := slices.IndexFunc(members, func(o weights.Member) bool { return o.Name == m.Name })
		b.dial(sim.boxes[i])
	}
	for _, o := range sim.boxes { // Boxes that dialled this one before it started.
		if o.plan != nil && slices.ContainsFunc(weights.Swarm.Neighbours(o.member, members), func(m weights.Member) bool { return m.Name == b.member.Name }) {
			b.dial(o)
		}
	}
	b.step()
}

// dial opens a session with another box that has started.
func (b *box) dial(o *box) {
	if o == b || o.plan == nil || !b.sim.reachable(b, o) || b.peers[o.index] != nil {
		return
	}
	for _, s := range [][2]*box{{b, o}, {o, b}} {
		from, to := s[0], s[1]
		p := &peer{gossip: from.plan.GossipSnapshot(from.sim.clock())}
		from.peers[to.index] = p
		for i := range from.sim.Chunks {
			if from.plan.Have().Has(i) {
				p.unsent = append(p.unsent, i)
			}
		}
		from.scheduleSend(to, p)
	}
}

// step starts the fetches that the plan returns.
func (b *box) step() {
	if b.lost || b.plan == nil {
		return
	}
	sim := b.sim
	b.plan.SingleFetch = sim.SingleFetch.contains(sim.now)
	todo, wake := b.plan.Next(sim.clock())
	for _, a := range todo {
		b.fetch(a)
	}
	b.spreadGossip(-1)
	at := wake.Sub(epoch)
	if b.wakeAt <= sim.now || at < b.wakeAt {
		b.wakeAt = max(at, sim.now+time.Microsecond)
		sim.after(b.wakeAt-sim.now, b.step)
	}
}

// spreadGossip queues new gossip of the plan for all neighbours except one, and cancels
// fetches left to other boxes.
func (b *box) spreadGossip(except int) {
	for _, c := range b.plan.TakeYielded() {
		b.sim.cancel(b, c)
	}
	n := b.plan.TakeGossip()
	if n.Empty() {
		return
	}
	for i, p := range b.peers {
		if p == nil || i == except {
			continue
		}
		p.gossip.Seeded = append(p.gossip.Seeded, n.Seeded...)
		p.gossip.Claims = append(p.gossip.Claims, n.Claims...)
		b.scheduleSend(b.sim.boxes[i], p)
	}
}

// scheduleSend schedules the next message to a neighbour.
func (b *box) scheduleSend(to *box, p *peer) {
	if p.scheduled {
		return
	}
	p.scheduled = true
	sim := b.sim
	sim.after(p.sendAfter-sim.now, func() {
		p.scheduled, p.sendAfter = false, sim.now+flush
		chunks, gossip, queue := p.unsent, p.gossip, len(b.waiting)
		p.unsent, p.gossip = nil, weights.Gossip{}
		if b.lost || !sim.reachable(b, to) {
			return
		}
		sim.after(sim.latency(b, to), func() { to.receiveGossip(b, chunks, gossip, queue) })
	})
}

func (b *box) receiveGossip(from *box, chunks []int, gossip weights.Gossip, queue int) {
	if b.lost || b.peers[from.index] == nil {
		return
	}
	has := weights.NewBitmap(b.sim.Chunks)
	for _, c := range chunks {
		has.Set(c)
	}
	b.plan.PeerHas(b.sim.clock(), from.member.Name, has, queue)
	b.plan.ApplyGossip(b.sim.clock(), gossip)
	b.spreadGossip(from.index)
	b.step()
}

func (b *box) fetch(a weights.Action) {
	sim := b.sim
	if a.From == weights.Origin {
		b.pending[fetch{a.Chunk, -1}] = true
		sim.after(sim.originLatency(b), func() { sim.serve(b, a.Chunk) })
		return
	}
	i := slices.IndexFunc(sim.boxes, func(o *box) bool { return o.member.Name == a.From })
	o := sim.boxes[i]
	b.pending[fetch{a.Chunk, i}] = true
	if !sim.reachable(b, o) {
		sim.after(detectionDelay, func() { b.fetchEnded(a.Chunk, i, fault.LinkStalled) })
		return
	}
	sim.after(sim.latency(b, o), func() { o.handleRequest(upload{b, a.Chunk}) })
}

// handleRequest queues a request for a chunk, or refuses it if too many are waiting.
func (b *box) handleRequest(u upload) {
	if b.lost {
		b.sim.after(detectionDelay, func() { u.to.fetchEnded(u.chunk, b.index, fault.LinkStalled) })
		return
	}
	full := len(b.waiting) >= uploadQueue
	if b.sim.SingleFetch.contains(b.sim.now) {
		full = b.uploading
	}
	if full {
		b.sim.after(b.sim.latency(b, u.to), func() { u.to.fetchEnded(u.chunk, b.index, fault.Busy) })
		return
	}
	b.waiting = append(b.waiting, u)
	b.upload()
}

func (b *box) upload() {
	if b.uploading || len(b.waiting) == 0 || b.lost {
		return
	}
	sim := b.sim
	u := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.uploading = true
	share := linkShare
	if sim.Idle.contains(sim.now) {
		share = idleLinkShare
	}
	took := sim.onLink(b, share)
	sim.after(took, func() {
		b.uploading = false
		if b.lost || !sim.reachable(b, u.to) {
			sim.after(detectionDelay, func() { u.to.fetchEnded(u.chunk, b.index, fault.LinkStalled) })
		} else {
			u.to.receive(u.chunk, b.index, took, sim.latency(b, u.to))
		}
		b.upload()
	})
}

// receive receives a chunk over the box's own link.
func (b *box) receive(chunk, from int, took, latency time.Duration) {
	sim := b.sim
	own := sim.onLink(b, 1)
	left := sim.now
	if from >= 0 {
		left = sim.crossHall(from, b.index)
	}
	arrives := max(left+latency, b.downlinkFreeAt+own, sim.now+own-took)
	b.downlinkFreeAt = arrives
	sim.after(arrives-sim.now, func() {
		if b.plan != nil && from >= 0 {
			b.plan.ObserveTransferTime(max(took, own))
		}
		b.fetchEnded(chunk, from, "")
	})
}

// fetchEnded reports the end of a fetch to the plan and announces a new chunk.
func (b *box) fetchEnded(chunk, from int, code fault.Code) {
	sim := b.sim
	if b.lost || !b.pending[fetch{chunk, from}] {
		return
	}
	delete(b.pending, fetch{chunk, from})
	name := weights.Origin
	if from >= 0 {
		name = sim.boxes[from].member.Name
	}
	had := b.plan.Have().Has(chunk)
	b.plan.FetchEnded(sim.clock(), chunk, name, code)
	if from < 0 && code == "" {
		sim.OriginChunks++
	} else if from < 0 {
		sim.OriginFailures++
	}
	if from >= 0 && code == "" && sim.hall(from) != sim.hall(b.index) {
		sim.CrossHallChunks++
	}
	if code == "" && !had {
		for i, p := range b.peers {
			if p != nil {
				p.unsent = append(p.unsent, chunk)
				b.scheduleSend(sim.boxes[i], p)
			}
		}
		if b.plan.Complete() {
			b.completedAt = sim.now
		}
	}
	b.spreadGossip(-1)
	b.step()
}

// powerOff makes the box fail permanently.
func (b *box) powerOff() {
	b.lost = true
	b.sim.dropFlows()
	b.sim.after(detectionDelay, b.sim.dropSessions)
}
