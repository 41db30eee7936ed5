package way

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

// Figures is what a play came to.
type Figures struct {
	First, Half, All time.Duration // When so many of the boxes that live had the version.
	Fetched          int           // Chunks that left the origin whole.
	Failed           int           // Fetches from it that brought nothing.
	Crossed          int           // Chunks that a box of another hall sent.
	Bound            time.Duration
}

// Ratio is the time until all had the version over the bound.
func (f *Figures) Ratio() float64 { return float64(f.All) / float64(f.Bound) }

// How the agents of a box are set.
const (
	flush       = 25 * time.Millisecond
	stagger     = 150 * time.Millisecond
	uploadQueue = 4
	parallel    = 6
	atOrigin    = 3
	linkShare   = 0.85                    // Of a box's link that uploads take.
	noticeIn    = 1500 * time.Millisecond // A neighbour that says nothing is given up.
	mostTime    = 60 * time.Second        // A play ends then.
)

// world is a play while it runs.
type world struct {
	*Plan
	rnd   *rand.Rand
	now   time.Duration
	queue events
	seq   int
	boxes []*box
	flows []*flow // Of the origin's link.
	moved time.Duration
	Figures
}

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
	news    weights.News
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

// flow is a chunk on the origin's link, which its flows share.
type flow struct {
	to    *box
	chunk int
	left  float64 // Bytes.
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, d), w.seq, do})
}

// Play plays a plan.
func (p Plan) Play() Figures {
	w := &world{Plan: &p, rnd: rand.New(rand.NewPCG(p.Seed, 2))}
	w.Figures.Bound = p.Bound()
	w.setUp()
	for len(w.queue) > 0 && w.now < mostTime && !w.done() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.sum()
	return w.Figures
}

func (w *world) setUp() {
	var members []weights.Member
	for i := range w.Plan.Boxes {
		members = append(members, weights.Member{Name: fmt.Sprintf("10.0.%d.%d", w.hall(i), i), Hall: fmt.Sprint(w.hall(i))})
	}
	joined := map[int]time.Duration{}
	for _, j := range w.Joined {
		joined[j.Box] = j.At
	}
	for i, m := range members {
		b := &box{w: w, i: i, member: m, peers: make([]*peer, w.Plan.Boxes), open: map[fetch]bool{}}
		w.boxes = append(w.boxes, b)
		begin := time.Duration(w.rnd.Int64N(int64(w.Begin) + 1))
		w.after(max(begin, joined[i]), func() { b.begin(members) })
	}
	for _, l := range w.Lost {
		w.after(l.At, func() { w.boxes[l.Box].lose() })
	}
	for _, s := range w.Away {
		w.after(s.From, w.dropFlows)
	}
	for _, c := range w.Cut {
		w.after(c.From, func() { w.cut(c.Hall) })
		w.after(c.To, w.meet)
	}
}

func (b *box) begin(members []weights.Member) {
	w := b.w
	if b.lost {
		return
	}
	copyIn := time.Duration(w.copyBytes() / w.OriginRate * float64(time.Second))
	b.plan = &weights.Plan{
		Self: b.member.Name, Strategy: weights.Swarm, Chunks: w.Chunks, Begin: epoch, Inject: copyIn, PerChunk: copyIn / time.Duration(w.Chunks),
		Rand: rand.New(rand.NewPCG(w.Seed, uint64(b.i)+3)), Parallel: parallel, AtOrigin: atOrigin, Adapt: true, Stagger: stagger,
	}
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
		if m.Hall == b.member.Hall {
			b.plan.Near = append(b.plan.Near, m.Name)
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
		p := &peer{news: from.plan.Known(from.w.clock())}
		from.peers[to.i] = p
		for i := range from.w.Chunks {
			if from.plan.Have().Has(i) {
				p.unsent = append(p.unsent, i)
			}
		}
		from.send(to, p)
	}
}

// reach reports whether two boxes hear each other now.
func (w *world) reach(a, b *box) bool {
	if a.lost || b.lost {
		return false
	}
	ha, hb := w.hall(a.i), w.hall(b.i)
	for _, c := range w.Cut {
		if c.holds(w.now) && ha != hb && (c.Hall == ha || c.Hall == hb) {
			return false
		}
	}
	return true
}

// reachOrigin reports whether a box reaches the origin now.
func (w *world) reachOrigin(b *box) bool {
	for _, s := range w.Away {
		if s.holds(w.now) {
			return false
		}
	}
	for _, c := range w.Cut {
		if h := w.hall(b.i); c.holds(w.now) && h != 0 && (c.Hall == h || c.Hall == 0) {
			return false
		}
	}
	return !b.lost
}

func (w *world) latency(a, b *box) time.Duration {
	if w.hall(a.i) == w.hall(b.i) {
		return w.InHall
	}
	return w.Across
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
	n := b.plan.TakeNews()
	if n.Empty() {
		return
	}
	for i, p := range b.peers {
		if p == nil || i == but {
			continue
		}
		p.news.Left = append(p.news.Left, n.Left...)
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
		p.unsent, p.news = nil, weights.News{}
		if b.lost || !w.reach(b, to) {
			return
		}
		w.after(w.latency(b, to), func() { to.hear(b, chunks, news, queue) })
	})
}

func (b *box) hear(from *box, chunks []int, news weights.News, queue int) {
	if b.lost || b.peers[from.i] == nil {
		return
	}
	has := weights.NewBitmap(b.w.Chunks)
	for _, c := range chunks {
		has.Set(c)
	}
	b.plan.PeerHas(b.w.clock(), from.member.Name, has, queue)
	b.plan.Learn(b.w.clock(), news)
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

func (w *world) originLatency(b *box) time.Duration {
	if w.hall(b.i) == 0 {
		return w.InHall
	}
	return w.Across
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

// onLink is the time that a chunk takes on a share of a box's link.
func (w *world) onLink(b *box, share float64) time.Duration {
	rate := w.BoxRate * share
	if f := w.Squeeze[b.i]; f > 0 {
		rate *= f
	}
	return time.Duration(float64(w.ChunkBytes) / rate * float64(time.Second))
}

// receive takes a chunk in over the box's own link.
func (b *box) receive(chunk, from int, took, latency time.Duration) {
	w := b.w
	own := w.onLink(b, 1)
	arrives := max(w.now+latency, b.downFree+own, w.now+own-took)
	b.downFree = arrives
	w.after(arrives-w.now, func() {
		if b.plan != nil && from >= 0 {
			b.plan.Received(max(took, own))
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
	b.plan.Fetched(w.clock(), chunk, name, code)
	if from < 0 && code == "" {
		w.Fetched++
	} else if from < 0 {
		w.Failed++
	}
	if from >= 0 && code == "" && w.hall(from) != w.hall(b.i) {
		w.Crossed++
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
	if w.rnd.Float64() < w.Spoilt {
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

// lose takes a box's power for good.
func (b *box) lose() {
	b.lost = true
	b.w.dropFlows()
	b.w.after(noticeIn, b.w.part)
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
				b.plan.PeerGone(o.member.Name)
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

func (w *world) done() bool {
	return !slices.ContainsFunc(w.boxes, func(b *box) bool { return !b.lost && b.whole == 0 })
}

func (w *world) sum() {
	var at []time.Duration
	for _, b := range w.boxes {
		switch {
		case b.lost:
		case b.whole == 0:
			at = append(at, mostTime)
		default:
			at = append(at, b.whole)
		}
	}
	slices.Sort(at)
	if len(at) > 0 {
		w.First, w.Half, w.All = at[0], at[len(at)/2], at[len(at)-1]
	}
}
