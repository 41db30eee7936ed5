package way

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Scenario describes one play. Times count from the naming of the version.
type Scenario struct {
	Seed             uint64
	Boxes            int
	Halls            int // Box i stands in hall i modulo Halls; the origin in hall 0.
	Chunks           int
	ChunkBytes       int
	OriginRate       float64       // Bytes a second that the origin's link carries.
	BoxRate          float64       // The same of each box's, either way.
	InHallLatency    time.Duration // Of a message, one way.
	CrossHallLatency time.Duration // The same between halls.
	StartJitter      time.Duration // Boxes begin at moments drawn up to then: they have their manifests.

	OriginOutages []Span          // The origin cannot be reached.
	CorruptRate   float64         // Share of the origin's answers that match no digest.
	Partitions    []HallPartition // Halls that reach no other.
	Lost          []BoxEvent      // Boxes that lose power for good.
	LateJoins     []BoxEvent      // Boxes that begin later.
	LinkFactor    map[int]float64 // Boxes whose links carry only such a part of BoxRate.
}

// Span is from a moment until before another.
type Span struct{ From, To time.Duration }

// HallPartition is a hall that reaches no other for a while.
type HallPartition struct {
	Hall int
	Span
}

// BoxEvent is something that happens to a box at a moment.
type BoxEvent struct {
	Box int
	At  time.Duration
}

func (s Span) holds(at time.Duration) bool { return at >= s.From && at < s.To }

func (p *Scenario) hall(box int) int { return box % p.Halls }

// copyBytes is the size of the version.
func (p *Scenario) copyBytes() float64 { return float64(p.Chunks * p.ChunkBytes) }

// String describes the faults, for a table.
func (p *Scenario) String() string {
	return fmt.Sprintf("seed=%d boxes=%d halls=%d away=%v spoilt=%.2f cut=%v lost=%d joined=%d squeezed=%d",
		p.Seed, p.Boxes, p.Halls, p.OriginOutages, p.CorruptRate, p.Partitions, len(p.Lost), len(p.LateJoins), len(p.LinkFactor))
}

// LowerBound is when all boxes that are not lost could have the version at best: the origin's
// link is busy whenever it can be reached until one copy has left it, and then or
// meanwhile each box's link carries one copy. A hall that is cut off from the origin
// before that has it no sooner than the cut ends. It is a fluid bound: that a chunk is
// passed on only when it is whole, and from box to box, is not in it.
func (p *Scenario) LowerBound() time.Duration {
	left := time.Duration(p.copyBytes() / p.OriginRate * float64(time.Second))
	at := time.Duration(0)
	for left > 0 {
		end, away := p.nextAway(at)
		if away {
			at = end
			continue
		}
		if end == 0 || at+left <= end {
			at += left
			break
		}
		left -= end - at
		at = end
	}
	bound := at
	for _, c := range p.Partitions {
		if c.From < at {
			bound = max(bound, c.To)
		}
	}
	onLink := time.Duration(p.copyBytes() / p.BoxRate * float64(time.Second))
	lost := map[int]bool{}
	for _, l := range p.Lost {
		lost[l.Box] = true
	}
	joined := map[int]time.Duration{}
	for _, j := range p.LateJoins {
		joined[j.Box] = j.At
	}
	for b := range p.Boxes {
		if lost[b] {
			continue
		}
		link := onLink
		if f := p.LinkFactor[b]; f > 0 {
			link = time.Duration(float64(link) / f)
		}
		bound = max(bound, joined[b]+link)
	}
	return bound
}

// nextAway returns whether the origin is away at a moment, and until when that holds; 0 is
// for ever.
func (p *Scenario) nextAway(at time.Duration) (end time.Duration, away bool) {
	for _, s := range p.OriginOutages {
		if s.holds(at) {
			return s.To, true
		}
		if s.From > at && (end == 0 || s.From < end) {
			end = s.From
		}
	}
	return end, false
}

// ScarceOrigin is a plan without faults: an origin whose link carries less than a box's.
func ScarceOrigin(seed uint64) Scenario {
	return Scenario{
		Seed: seed, Boxes: 45, Halls: 3, Chunks: 96, ChunkBytes: 24576, OriginRate: 4.38e6 / 8, BoxRate: 7.3e6 / 8,
		InHallLatency: 500 * time.Microsecond, CrossHallLatency: 1500 * time.Microsecond, StartJitter: 150 * time.Millisecond,
	}
}

// RandomScenario draws a plan with some faults.
func RandomScenario(seed uint64) Scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	p := ScarceOrigin(seed)
	p.Boxes = 12 + r.IntN(70)
	p.OriginRate *= 0.6 + 1.2*r.Float64()
	at := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	if r.IntN(2) == 0 {
		from := at(4 * time.Second)
		p.OriginOutages = []Span{{from, from + 300*time.Millisecond + at(6*time.Second)}}
	}
	if r.IntN(3) == 0 {
		p.CorruptRate = 0.1 * r.Float64()
	}
	if r.IntN(4) == 0 {
		from := at(4 * time.Second)
		p.Partitions = []HallPartition{{r.IntN(p.Halls), Span{from, from + time.Second + at(5*time.Second)}}}
	}
	taken := r.Perm(p.Boxes)
	take := func(share float64) []int {
		n := int(share * float64(p.Boxes))
		out := taken[:n]
		taken = taken[n:]
		return out
	}
	if r.IntN(3) == 0 {
		for _, b := range take(0.2 * r.Float64()) {
			p.Lost = append(p.Lost, BoxEvent{b, at(5 * time.Second)})
		}
	}
	if r.IntN(3) == 0 {
		for _, b := range take(0.2 * r.Float64()) {
			p.LateJoins = append(p.LateJoins, BoxEvent{b, at(4 * time.Second)})
		}
	}
	if r.IntN(3) == 0 {
		p.LinkFactor = map[int]float64{}
		for _, b := range take(0.15 * r.Float64()) {
			p.LinkFactor[b] = 0.3 + 0.6*r.Float64()
		}
	}
	return p
}
