package way

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

type box struct {
	w         *world
	i         int
	member    weights.Member
	plan      *weights.Plan
	peers     []*peer // By the neighbour's index; nil where there is no session.
	waiting   []upload
	uploading bool
	downFree  time.Duration
	wakeAt    time.Duration
	lost      bool
	whole     time.Duration // Zero while it is not.
	open      map[fetch]bool
}

// peer is one direction of a session.
type peer struct {
	unsent  []int
	news    weights.Gossip
	nextAt  time.Duration // No message before it.
	planned bool
}

type fetch struct {
	chunk int
	from  int // -1 is the origin.
}

type upload struct {
	to    *box
	chunk int
}

func (b *box) begin(members []weights.Member) {
	w := b.w
	if b.lost {
		return
	}
	copyIn := time.Duration(w.copyBytes() / w.OriginRate * float64(time.Second))
	b.plan = &weights.Plan{
		Self: b.member.Name, Strategy: weights.Swarm, Chunks: w.Chunks, StartAt: epoch, OriginCopyTime: copyIn, ChunkTime: copyIn / time.Duration(w.Chunks),
		Rand: rand.New(rand.NewPCG(w.Seed, uint64(b.i)+3)), Parallel: parallel, OriginParallel: atOrigin, AdaptiveParallel: true, Stagger: stagger,
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
		b.dial(w.boxes[i])
	}
	for _, o := range w.boxes { // Those that dialled it before it began.
		if o.plan != nil && slices.ContainsFunc(weights.Swarm.Neighbours(o.member, members), func(m weights.Member) bool { return m.Name == b.member.Name }) {
			b.dial(o)
		}
	}
	b.look()
}

// dial opens a session with another box that has begun.
func (b *box) dial(o *box) {
	if o == b || o.plan == nil || !b.w.reach(b, o) || b.peers[o.i] != nil {
		return
	}
	for _, s := range [][2]*box{{b, o}, {o, b}} {
		from, to := s[0], s[1]
		p := &peer{news: from.plan.GossipSnapshot(from.w.clock())}
		from.peers[to.i] = p
		for i := range from.w.Chunks {
			if from.plan.Have().Has(i) {
				p.unsent = append(p.unsent, i)
			}
		}
		from.send(to, p)
	}
}

// look acts on the box's planner.
func (b *box) look() {
	if b.lost || b.plan == nil {
		return
	}
	w := b.w
	todo, wake := b.plan.Next(w.clock())
	for _, a := range todo {
		b.fetch(a)
	}
	b.tell(-1)
	at := wake.Sub(epoch)
	if b.wakeAt <= w.now || at < b.wakeAt {
		b.wakeAt = max(at, w.now+time.Microsecond)
		w.after(b.wakeAt-w.now, b.look)
	}
}

// tell passes on what the planner has learnt.
func (b *box) tell(but int) {
	for _, c := range b.plan.TakeYielded() {
		b.w.cancel(b, c)
	}
	n := b.plan.TakeGossip()
	if n.Empty() {
		return
	}
	for i, p := range b.peers {
		if p == nil || i == but {
			continue
		}
		p.news.Seeded = append(p.news.Seeded, n.Seeded...)
		p.news.Claims = append(p.news.Claims, n.Claims...)
		b.send(b.w.boxes[i], p)
	}
}

// send plans the next message to a neighbour.
func (b *box) send(to *box, p *peer) {
	if p.planned {
		return
	}
	p.planned = true
	w := b.w
	w.after(p.nextAt-w.now, func() {
		p.planned, p.nextAt = false, w.now+flush
		chunks, news, queue := p.unsent, p.news, len(b.waiting)
		p.unsent, p.news = nil, weights.Gossip{}
		if b.lost || !w.reach(b, to) {
			return
		}
		w.after(w.latency(b, to), func() { to.hear(b, chunks, news, queue) })
	})
}

func (b *box) hear(from *box, chunks []int, news weights.Gossip, queue int) {
	if b.lost || b.peers[from.i] == nil {
		return
	}
	has := weights.NewBitmap(b.w.Chunks)
	for _, c := range chunks {
		has.Set(c)
	}
	b.plan.PeerHas(b.w.clock(), from.member.Name, has, queue)
	b.plan.ApplyGossip(b.w.clock(), news)
	b.tell(from.i)
	b.look()
}

func (b *box) fetch(a weights.Action) {
	w := b.w
	if a.From == weights.Origin {
		b.open[fetch{a.Chunk, -1}] = true
		w.after(w.originLatency(b), func() { w.serve(b, a.Chunk) })
		return
	}
	i := slices.IndexFunc(w.boxes, func(o *box) bool { return o.member.Name == a.From })
	o := w.boxes[i]
	b.open[fetch{a.Chunk, i}] = true
	if !w.reach(b, o) {
		w.after(noticeIn, func() { b.fetched(a.Chunk, i, fault.Stalled) })
		return
	}
	w.after(w.latency(b, o), func() { o.serve(upload{b, a.Chunk}) })
}

// serve takes a request for a chunk, unless too many wait.
func (b *box) serve(u upload) {
	if b.lost {
		b.w.after(noticeIn, func() { u.to.fetched(u.chunk, b.i, fault.Stalled) })
		return
	}
	if len(b.waiting) >= uploadQueue {
		b.w.after(b.w.latency(b, u.to), func() { u.to.fetched(u.chunk, b.i, fault.Busy) })
		return
	}
	b.waiting = append(b.waiting, u)
	b.upload()
}

func (b *box) upload() {
	if b.uploading || len(b.waiting) == 0 || b.lost {
		return
	}
	w := b.w
	u := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.uploading = true
	took := w.onLink(b, linkShare)
	w.after(took, func() {
		b.uploading = false
		if b.lost || !w.reach(b, u.to) {
			w.after(noticeIn, func() { u.to.fetched(u.chunk, b.i, fault.Stalled) })
		} else {
			u.to.receive(u.chunk, b.i, took, w.latency(b, u.to))
		}
		b.upload()
	})
}

// receive takes a chunk in over the box's own link.
func (b *box) receive(chunk, from int, took, latency time.Duration) {
	w := b.w
	own := w.onLink(b, 1)
	arrives := max(w.now+latency, b.downFree+own, w.now+own-took)
	b.downFree = arrives
	w.after(arrives-w.now, func() {
		if b.plan != nil && from >= 0 {
			b.plan.ObserveTransferTime(max(took, own))
		}
		b.fetched(chunk, from, "")
	})
}

// fetched tells the planner how a fetch ended.
func (b *box) fetched(chunk, from int, code fault.Code) {
	w := b.w
	if b.lost || !b.open[fetch{chunk, from}] {
		return
	}
	delete(b.open, fetch{chunk, from})
	name := weights.Origin
	if from >= 0 {
		name = w.boxes[from].member.Name
	}
	had := b.plan.Have().Has(chunk)
	b.plan.FetchEnded(w.clock(), chunk, name, code)
	if from < 0 && code == "" {
		w.OriginChunks++
	} else if from < 0 {
		w.OriginFailures++
	}
	if from >= 0 && code == "" && w.hall(from) != w.hall(b.i) {
		w.CrossHallChunks++
	}
	if code == "" && !had {
		for i, p := range b.peers {
			if p != nil {
				p.unsent = append(p.unsent, chunk)
				b.send(w.boxes[i], p)
			}
		}
		if b.plan.Complete() {
			b.whole = w.now
		}
	}
	b.tell(-1)
	b.look()
}

// lose takes a box's power for good.
func (b *box) lose() {
	b.lost = true
	b.w.dropFlows()
	b.w.after(noticeIn, b.w.part)
}
