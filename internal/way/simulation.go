package way

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/weights"
)

// Metrics are the results of a run.
type Metrics struct {
	First, Median, Last time.Duration // When the first, the median and the last live box had the version.
	OriginFirst         time.Duration // When the origin first sent a chunk after its last outage.
	OriginLast          time.Duration // When the origin had sent each chunk at least once.
	OriginChunks        int           // Chunks fetched from the origin.
	OriginFailures      int           // Failed fetches from the origin.
	CrossHallChunks     int           // Chunks sent between halls by boxes.
	LowerBound          time.Duration
}

// Ratio returns Last as a multiple of LowerBound.
func (f *Metrics) Ratio() float64 { return float64(f.Last) / float64(f.LowerBound) }

// Configuration of the boxes, as in their agents, and limits of a run.
const (
	flush          = 25 * time.Millisecond
	stagger        = 150 * time.Millisecond
	uploadQueue    = 1
	parallel       = 6
	atOrigin       = 3
	linkShare      = 0.85                    // Share of a box's link that uploads use.
	idleLinkShare  = 0.95                    // The same while replicas run no requests.
	dialTimeout    = 600 * time.Millisecond  // Of a dial to the origin.
	redialTimeout  = 200 * time.Millisecond  // Of a dial to the origin after a failed one.
	detectionDelay = 1500 * time.Millisecond // Time until the failure of a neighbour is detected.
	maxTime        = 60 * time.Second        // Limit of a run.
)

// simulation is the state of a run.
type simulation struct {
	*Scenario
	rnd        *rand.Rand
	now        time.Duration
	queue      events
	seq        int
	boxes      []*box
	flows      []*flow                  // Flows on the origin's link.
	sent       weights.Bitmap           // Chunks that the origin has sent.
	pairFreeAt map[[2]int]time.Duration // When the link from one hall to another is idle.
	advancedAt time.Duration
	Metrics
}

type event struct {
	at  time.Duration
	seq int
	run func()
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

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + max(0, d), sim.seq, run})
}

// Run runs the scenario.
func (p Scenario) Run() Metrics {
	sim := &simulation{Scenario: &p, rnd: rand.New(rand.NewPCG(p.Seed, 2))}
	sim.Metrics.LowerBound = p.LowerBound()
	sim.setUp()
	for len(sim.queue) > 0 && sim.now < maxTime && !sim.done() {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.computeMetrics()
	return sim.Metrics
}

func (sim *simulation) setUp() {
	sim.sent, sim.pairFreeAt = weights.NewBitmap(sim.Chunks), map[[2]int]time.Duration{}
	var members []weights.Member
	for i := range sim.Scenario.Boxes {
		members = append(members, weights.Member{Name: fmt.Sprintf("10.0.%d.%d", sim.hall(i), i), Hall: fmt.Sprint(sim.hall(i))})
	}
	joined := map[int]time.Duration{}
	for _, j := range sim.LateJoins {
		joined[j.Box] = j.At
	}
	for i, m := range members {
		b := &box{sim: sim, index: i, member: m, peers: make([]*peer, sim.Scenario.Boxes), pending: map[fetch]bool{}}
		sim.boxes = append(sim.boxes, b)
		start := time.Duration(sim.rnd.Int64N(int64(sim.StartJitter) + 1))
		sim.after(max(start, joined[i]), func() { b.start(members) })
	}
	for _, l := range sim.Lost {
		sim.after(l.At, func() { sim.boxes[l.Box].powerOff() })
	}
	for _, s := range sim.OriginOutages {
		sim.after(s.From, sim.dropFlows)
	}
	for _, c := range sim.Partitions {
		sim.after(c.From, func() { sim.partition(c.Hall) })
		sim.after(c.To, sim.reconnect)
	}
}

func (sim *simulation) done() bool {
	return !slices.ContainsFunc(sim.boxes, func(b *box) bool { return !b.lost && b.completedAt == 0 })
}

func (sim *simulation) computeMetrics() {
	var at []time.Duration
	for _, b := range sim.boxes {
		switch {
		case b.lost:
		case b.completedAt == 0:
			at = append(at, maxTime)
		default:
			at = append(at, b.completedAt)
		}
	}
	slices.Sort(at)
	if len(at) > 0 {
		sim.First, sim.Median, sim.Last = at[0], at[len(at)/2], at[len(at)-1]
	}
}
