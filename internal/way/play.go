package way

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/weights"
)

// Metrics is what a play came to.
type Metrics struct {
	First, Median, Last time.Duration // When so many of the boxes that live had the version.
	OriginChunks        int           // Chunks that left the origin whole.
	OriginFailures      int           // Fetches from it that brought nothing.
	CrossHallChunks     int           // Chunks that a box of another hall sent.
	LowerBound          time.Duration
}

// Ratio is the time until all had the version over the bound.
func (f *Metrics) Ratio() float64 { return float64(f.Last) / float64(f.LowerBound) }

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
	*Scenario
	rnd   *rand.Rand
	now   time.Duration
	queue events
	seq   int
	boxes []*box
	flows []*flow // Of the origin's link.
	moved time.Duration
	Metrics
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

// Run plays a plan.
func (p Scenario) Run() Metrics {
	w := &world{Scenario: &p, rnd: rand.New(rand.NewPCG(p.Seed, 2))}
	w.Metrics.LowerBound = p.LowerBound()
	w.setUp()
	for len(w.queue) > 0 && w.now < mostTime && !w.done() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.sum()
	return w.Metrics
}

func (w *world) setUp() {
	var members []weights.Member
	for i := range w.Scenario.Boxes {
		members = append(members, weights.Member{Name: fmt.Sprintf("10.0.%d.%d", w.hall(i), i), Hall: fmt.Sprint(w.hall(i))})
	}
	joined := map[int]time.Duration{}
	for _, j := range w.LateJoins {
		joined[j.Box] = j.At
	}
	for i, m := range members {
		b := &box{w: w, i: i, member: m, peers: make([]*peer, w.Scenario.Boxes), open: map[fetch]bool{}}
		w.boxes = append(w.boxes, b)
		begin := time.Duration(w.rnd.Int64N(int64(w.StartJitter) + 1))
		w.after(max(begin, joined[i]), func() { b.begin(members) })
	}
	for _, l := range w.Lost {
		w.after(l.At, func() { w.boxes[l.Box].lose() })
	}
	for _, s := range w.OriginOutages {
		w.after(s.From, w.dropFlows)
	}
	for _, c := range w.Partitions {
		w.after(c.From, func() { w.cut(c.Hall) })
		w.after(c.To, w.meet)
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
		w.First, w.Median, w.Last = at[0], at[len(at)/2], at[len(at)-1]
	}
}
